import { type Clock } from '../base/clock.js';
import { createWindowCount, defaultBuckets, type WindowCount } from './windowcount.js';

/**
 * Why a request is sent to a target again. `continuation`: the caller has a part of the stream.
 * `untried`: to a target that has not yet turned the request away. `further-round`: all usable
 * targets have turned it away, and it is sent to one of them again.
 */
export type RepeatKind = 'continuation' | 'untried' | 'further-round';

/** Decision on one repeat, with its inputs. */
export interface RepeatDecision {
  readonly isAllowed: boolean;
  /** Repeats of the service in the window, without this one. */
  readonly repeats: number;
  /** Repeats that this gateway may send in the window, for this kind. */
  readonly allowed: number;
  /** Requests for the service that count in each window with this repeat. */
  readonly requests: number;
  /** Gateways that share the fixed number; undefined while that is not known. */
  readonly gateways: number | undefined;
  /** Time until this gateway may use its part of the fixed number, in milliseconds. */
  readonly slackInMs: number;
}

/**
 * This gateway's part of the repeats that all gateways together may send to a service: a fraction of
 * its own requests for the service and its part of a fixed number, within a sliding window.
 */
export interface RetryBudget {
  /** Records one request of a caller. */
  deposit(service: string): void;
  /** Withdraws one repeat, unless the window has none left for this kind. */
  tryWithdraw(service: string, kind: RepeatKind): RepeatDecision;
  /** Counts a repeat that has arrived at a target of this service without having been meant for it. */
  charge(service: string): void;
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

/**
 * Fraction of the limit up to which each kind may use it, so that the most useful repeats are the
 * last ones that are refused. None uses all of it: clocks and windows of the gateways are not aligned.
 */
const limitFractions: Readonly<Record<RepeatKind, number>> = {
  continuation: 0.95,
  untried: 0.8,
  'further-round': 0.4,
};

/**
 * Share of the fixed number that a gateway uses in its first window: its repeats before a restart are
 * forgotten, and its peers learn of it late. A stream that is not continued is lost for its caller.
 */
const firstWindowShares: Readonly<Record<RepeatKind, number>> = {
  continuation: 0.5,
  untried: 0,
  'further-round': 0,
};

/** Requests are counted in a window, or in one that begins this many buckets earlier if that has more. */
const windowShifts = [0, defaultBuckets / 2, defaultBuckets];

/** Requests that surely count in each window that begins before now and ends from now on. */
function surelyCounted(requests: WindowCount): number {
  let least = Infinity;
  for (let later = 0; later <= defaultBuckets; later += 1) {
    const counts = windowShifts.map((shift) => requests.sumOfAges(shift - later, defaultBuckets));
    least = Math.min(least, Math.max(...counts));
  }
  return least;
}

interface ServiceRecord {
  /** Of two windows. */
  readonly requests: WindowCount;
  readonly repeats: WindowCount;
}

export interface RetryBudgetOptions {
  readonly clock: Clock;
  readonly limits: RetryLimits;
  /** Number of gateways that share the fixed number, at least 1; undefined while it is not known. */
  gatewayCount(): number | undefined;
}

export function createRetryBudget({ clock, limits, ...options }: RetryBudgetOptions): RetryBudget {
  const { windowMs } = limits;
  const startedAt = clock.now();
  const records = new Map<string, ServiceRecord>();
  let prunedAt = startedAt;

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
    const requests = createWindowCount(clock, 2 * windowMs, 2 * defaultBuckets);
    const record = { requests, repeats: createWindowCount(clock, windowMs) };
    records.set(service, record);
    return record;
  };

  return {
    deposit: (service) => recordOf(service).requests.add(),
    tryWithdraw(service, kind) {
      const record = recordOf(service);
      const requests = surelyCounted(record.requests);
      const repeats = record.repeats.sum('included');
      const gateways = options.gatewayCount();
      const slackInMs = Math.max(0, startedAt + windowMs - clock.now());
      const slackShare = slackInMs > 0 ? firstWindowShares[kind] : 1;
      const slack = gateways === undefined ? 0 : (slackShare * limits.slack) / gateways;
      const allowed = limitFractions[kind] * (requests * limits.ratio + slack);
      const isAllowed = repeats + 1 <= allowed;
      if (isAllowed) record.repeats.add();
      return { isAllowed, repeats, allowed, requests, gateways, slackInMs };
    },
    charge: (service) => recordOf(service).repeats.add(),
    get size() {
      return records.size;
    },
  };
}
