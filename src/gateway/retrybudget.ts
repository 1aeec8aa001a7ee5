import { type Clock } from '../base/clock.js';

/**
 * This gateway's part of the retries that all gateways together may send: a fraction of its own
 * requests and its part of a fixed number, within a sliding window.
 */
export interface RetryBudget {
  /** Records one request of a caller. */
  deposit(): void;
  /** Withdraws one retry; returns false when the window has none left. */
  tryWithdraw(): boolean;
  /** Counts the continuation of a broken stream at its backup, which needs no budget. */
  charge(): void;
}

export interface RetryLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries of all gateways together in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Fraction of the limit that is used; clocks and windows of the gateways are not aligned. */
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
