import { type Clock } from '../base/clock.js';

/**
 * This entry's part of the repeats that all entries together may send: a share of its own requests
 * and its part of a fixed number, within a sliding window.
 */
export interface RepeatBudget {
  /** Records one request of a caller. */
  deposit(): void;
  /** Takes one repeat; returns false when the window has none left. */
  withdraw(): boolean;
  /** Counts a repeat that is sent in any case: a stream that a caller has in part. */
  charge(): void;
}

export interface RepeatLimits {
  /** Repeats for each request. */
  readonly share: number;
  /** Repeats of all entries together beside the share. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the limit that is used; clocks and windows of the entries do not begin together. */
const usedPart = 0.8;

export function createRepeatBudget(
  clock: Clock,
  limits: RepeatLimits,
  entries: () => number,
): RepeatBudget {
  let requests: number[] = [];
  let repeats: number[] = [];

  const trim = (times: number[]): number[] => {
    const first = times.findIndex((at) => clock.now() - at < limits.windowMs);
    if (first === 0) return times;
    return first < 0 ? [] : times.slice(first);
  };

  return {
    deposit() {
      requests.push(clock.now());
      if (requests.length % 64 === 0) requests = trim(requests);
    },
    withdraw() {
      requests = trim(requests);
      repeats = trim(repeats);
      const slack = limits.slack / Math.max(1, entries());
      const allowed = usedPart * (requests.length * limits.share + slack);
      if (repeats.length + 1 > allowed) return false;
      repeats.push(clock.now());
      return true;
    },
    charge() {
      repeats.push(clock.now());
    },
  };
}
