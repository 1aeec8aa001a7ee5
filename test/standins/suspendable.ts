import { type CancellationToken } from '../../src/base/cancellation.js';
import { type Clock } from '../../src/base/clock.js';
import { CancelledError } from '../../src/base/errors.js';

/** Process that can be suspended; due timers and replies are deferred until `resume`. */
export interface SuspendableProcess {
  readonly clock: Clock;
  isSuspended: boolean;
  /** Runs due timers before received replies, as the event loop of Node.js does. */
  resume(): void;
  /** Delivers the result of a call after a delay, or rejects once the token is cancelled. */
  deliver<T>(call: Promise<T>, delayMs: number, token?: CancellationToken): Promise<T>;
}

export function createSuspendableProcess(baseClock: Clock): SuspendableProcess {
  let timers: (() => void)[] = [];
  let replies: (() => void)[] = [];
  const suspendable: SuspendableProcess = {
    isSuspended: false,
    clock: {
      ...baseClock,
      setTimer: (delayMs, callback) => {
        let disposed = false;
        const run = (): void => {
          if (!disposed) callback();
        };
        const timer = baseClock.setTimer(delayMs, () => {
          if (suspendable.isSuspended) timers.push(run);
          else run();
        });
        return {
          dispose() {
            disposed = true;
            timer.dispose();
          },
        };
      },
    },
    resume() {
      suspendable.isSuspended = false;
      const callbacks = [...timers, ...replies];
      timers = [];
      replies = [];
      for (const run of callbacks) run();
    },
    deliver: (call, delayMs, token) =>
      new Promise((resolve, reject) => {
        token?.onCancellationRequested((reason) => reject(new CancelledError(reason)));
        const settleAfterDelay = (settle: () => void) =>
          baseClock.setTimer(delayMs, () => {
            if (suspendable.isSuspended) replies.push(settle);
            else settle();
          });
        call.then(
          (value) => settleAfterDelay(() => resolve(value)),
          (err: unknown) => settleAfterDelay(() => reject(err)),
        );
      }),
  };
  return suspendable;
}
