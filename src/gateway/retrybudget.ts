import { type Clock } from '../base/clock.js';
import { createWindowCount, type WindowCount } from './windowcount.js';

/** Decision on one repeat, with its inputs. */
export interface RepeatDecision {
  readonly isAllowed: boolean;
  /** Repeats of the service in the window, without this one. */
  readonly repeats: number;
  /** Repeats that this gateway may send in the window. */
  readonly allowed: number;
  /** Requests for the service in the window. */
  readonly requests: number;
  /** Gateways that share the fixed number; undefined while that is not known. */
  readonly gateways: number | undefined;
}

/**
 * This gateway's part of the repeats that all gateways together may send to a service: a fraction of
 * its own requests for the service and its part of a fixed number, within a sliding window.
 */
export interface RetryBudget {
  /** Records one request of a caller. */
  deposit(service: string): void;
  /** Withdraws one repeat, unless the window has none left. */
  tryWithdraw(service: string): RepeatDecision;
  /** Counts the continuation of a broken stream at its backup, which needs no budget. */
  charge(service: string): RepeatDecision;
  /** Number of services with requests or repeats in memory. */
  readonly size: number;
}

export interface RetryLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries of all gateways together in addition to the ratio, for each service. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Fraction of the limit that is used; clocks and windows of the gateways are not aligned. */
const limitFraction = 0.8;

interface ServiceRecord {
  readonly requests: WindowCount;
  readonly repeats: WindowCount;
}

export interface RetryBudgetOptions {
  readonly clock: Clock;
  readonly limits: RetryLimits;
  /** Number of gateways that share the fixed number; undefined while it is not known. */
  gatewayCount(): number | undefined;
}

export function createRetryBudget({ clock, limits, ...options }: RetryBudgetOptions): RetryBudget {
  const { windowMs } = limits;
  const records = new Map<string, ServiceRecord>();
  let prunedAt = clock.now();

  /** Forgets services without requests and repeats in the window, such as those that are gone. */
  const prune = (): void => {
    if (clock.now() - prunedAt < windowMs) return;
    prunedAt = clock.now();
    for (const [service, { requests, repeats }] of records)
      if (requests.sum('included') + repeats.sum('included') === 0) records.delete(service);
  };

  const recordOf = (service: string): ServiceRecord => {
    prune();
    const known = records.get(service);
    if (known) return known;
    const requests = createWindowCount(clock, windowMs);
    const record = { requests, repeats: createWindowCount(clock, windowMs) };
    records.set(service, record);
    return record;
  };

  const decide = ({ requests, repeats }: ServiceRecord): RepeatDecision => {
    const requestCount = requests.sum('left out');
    const repeatCount = repeats.sum('included');
    const gateways = options.gatewayCount();
    const slack = limits.slack / Math.max(1, gateways ?? 1);
    const allowed = limitFraction * (requestCount * limits.ratio + slack);
    return {
      isAllowed: repeatCount + 1 <= allowed,
      repeats: repeatCount,
      allowed,
      requests: requestCount,
      gateways,
    };
  };

  return {
    deposit: (service) => recordOf(service).requests.add(),
    tryWithdraw(service) {
      const record = recordOf(service);
      const decision = decide(record);
      if (decision.isAllowed) record.repeats.add();
      return decision;
    },
    charge(service) {
      const record = recordOf(service);
      const decision = { ...decide(record), isAllowed: true };
      record.repeats.add();
      return decision;
    },
    get size() {
      return records.size;
    },
  };
}
