import { type CancellationToken } from '../../src/base/cancellation.js';
import { type Clock } from '../../src/base/clock.js';
import { CancelledError } from '../../src/base/errors.js';

/** Process that can be suspended: its timers and replies wait until it is resumed. */
export interface SuspendableProcess {
  readonly clock: Clock;
  isSuspended: boolean;
  /** Runs due timers before the replies that arrived, as the event loop of Node does. */
  resume(): void;
  /** Delivers the result of a call after a delay, unless the token is cancelled before. */
  deliver<T>(call: Promise<T>, delayMs: number, token?: CancellationToken): Promise<T>;
}

export function createSuspendableProcess(site: Clock): SuspendableProcess {
  let timers: (() => void)[] = [];
  let replies: (() => void)[] = [];
  const process: SuspendableProcess = {
    isSuspended: false,
    clock: {
      ...site,
      setTimer: (delayMs, callback) => {
        let disposed = false;
        const run = (): void => {
          if (!disposed) callback();
        };
        const timer = site.setTimer(delayMs, () => {
          if (process.isSuspended) timers.push(run);
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
      process.isSuspended = false;
      const due = [...timers, ...replies];
      timers = [];
      replies = [];
      for (const run of due) run();
    },
    deliver: (call, delayMs, token) =>
      new Promise((resolve, reject) => {
        token?.onCancellationRequested((reason) => reject(new CancelledError(reason)));
        const arrive = (settle: () => void) =>
          site.setTimer(delayMs, () => {
            if (process.isSuspended) replies.push(settle);
            else settle();
          });
        call.then(
          (value) => arrive(() => resolve(value)),
          (err: unknown) => arrive(() => reject(err)),
        );
      }),
  };
  return process;
}
