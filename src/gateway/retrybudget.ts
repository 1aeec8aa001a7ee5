import { type Clock } from '../base/clock.js';

/**
 * This entry's part of the repeats that all entries together may send: a share of its own requests
 * and its part of a fixed number, within a sliding window.
 */
export interface RetryBudget {
  /** Records one request of a caller. */
  deposit(): void;
  /** Takes one repeat; returns false when the window has none left. */
  tryWithdraw(): boolean;
  /** Counts a repeat that is sent in any case: a stream that a caller has in part. */
  charge(): void;
}

export interface RetryLimits {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats of all entries together beside the share. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the limit that is used; clocks and windows of the entries do not begin together. */
const limitFraction = 0.8;

export function createRetryBudget(
  clock: Clock,
  limits: RetryLimits,
  gatewayCount: () => number,
): RetryBudget {
  let requests: number[] = [];
  let retries: number[] = [];

  const trimToWindow = (times: number[]): number[] => {
    const first = times.findIndex((at) => clock.now() - at < limits.windowMs);
    if (first === 0) return times;
    return first < 0 ? [] : times.slice(first);
  };

  return {
    deposit() {
      requests.push(clock.now());
      if (requests.length % 64 === 0) requests = trimToWindow(requests);
    },
    tryWithdraw() {
      requests = trimToWindow(requests);
      retries = trimToWindow(retries);
      const slack = limits.slack / Math.max(1, gatewayCount());
      const allowed = limitFraction * (requests.length * limits.ratio + slack);
      if (retries.length + 1 > allowed) return false;
      retries.push(clock.now());
      return true;
    },
    charge() {
      retries.push(clock.now());
    },
  };
}
