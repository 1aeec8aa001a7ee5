import { type CancellationToken } from './cancellation.js';
import { CancelledError } from './errors.js';
import { type Disposable, toDisposable } from './lifecycle.js';

/** Source of time; tests can replace it, so that they do not depend on the machine's speed. */
export interface Clock {
  /** Monotonic time in milliseconds with an arbitrary origin; only differences are meaningful. */
  now(): number;
  /** Wall-clock time in milliseconds since the epoch; it jumps when the system clock is set. */
  wallTime(): number;
  setTimer(delayMs: number, callback: () => void): Disposable;
}

export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  setTimer(delayMs, callback) {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return toDisposable(() => clearTimeout(timer));
  },
};

/** Waits for a duration; rejects with CancelledError when the token is cancelled first. */
export function sleep(clock: Clock, delayMs: number, token: CancellationToken): Promise<void> {
  return new Promise((resolve, reject) => {
    const state: { subscription?: Disposable } = {};
    const timer = clock.setTimer(delayMs, () => {
      state.subscription?.dispose();
      resolve();
    });
    state.subscription = token.onCancellationRequested((reason) => {
      timer.dispose();
      reject(new CancelledError(reason));
    });
  });
}

/**
 * Resolves with the promise's value, or with `undefined` once the duration has passed.
 * The promise itself is not cancelled; a late rejection is ignored.
 */
export function withTimeout<T>(
  clock: Clock,
  delayMs: number,
  promise: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = clock.setTimer(delayMs, () => resolve(undefined));
    promise.then(
      (value) => {
        timer.dispose();
        resolve(value);
      },
      (err: unknown) => {
        timer.dispose();
        reject(err);
      },
    );
  });
}
