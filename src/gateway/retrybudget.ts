import { type Clock } from '../base/clock.js';

/** Decision on one repeat, with its inputs. */
export interface RepeatDecision {
  readonly isAllowed: boolean;
  /** Repeats in the window, without this one. */
  readonly repeats: number;
  /** Repeats that this gateway may send in the window. */
  readonly allowed: number;
  /** Requests in the window. */
  readonly requests: number;
  /** Gateways that share the fixed number; undefined while that is not known. */
  readonly gateways: number | undefined;
}

/**
 * This gateway's part of the retries that all gateways together may send: a fraction of its own
 * requests and its part of a fixed number, within a sliding window.
 */
export interface RetryBudget {
  /** Records one request of a caller. */
  deposit(): void;
  /** Withdraws one retry, unless the window has none left. */
  tryWithdraw(): RepeatDecision;
  /** Counts the continuation of a broken stream at its backup, which needs no budget. */
  charge(): RepeatDecision;
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
  gatewayCount: () => number | undefined,
): RetryBudget {
  let requests: number[] = [];
  let retries: number[] = [];

  const trimToWindow = (times: number[]): number[] => {
    const first = times.findIndex((at) => clock.now() - at < limits.windowMs);
    if (first === 0) return times;
    return first < 0 ? [] : times.slice(first);
  };

  const decide = (): RepeatDecision => {
    requests = trimToWindow(requests);
    retries = trimToWindow(retries);
    const gateways = gatewayCount();
    const slack = limits.slack / Math.max(1, gateways ?? 1);
    const allowed = limitFraction * (requests.length * limits.ratio + slack);
    return {
      isAllowed: retries.length + 1 <= allowed,
      repeats: retries.length,
      allowed,
      requests: requests.length,
      gateways,
    };
  };

  return {
    deposit() {
      requests.push(clock.now());
      if (requests.length % 64 === 0) requests = trimToWindow(requests);
    },
    tryWithdraw() {
      const decision = decide();
      if (decision.isAllowed) retries.push(clock.now());
      return decision;
    },
    charge() {
      const decision = { ...decide(), isAllowed: true };
      retries.push(clock.now());
      return decision;
    },
  };
}
