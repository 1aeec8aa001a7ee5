/** Why a limit last changed. */
export type LimitReason = 'initial' | 'slower-under-load' | 'fine-under-load' | 'no-evidence';

/** One observation of a target under a number of requests. */
export interface LoadSample {
  /** Logarithm of the duration relative to the expected one and to the service at that time. */
  readonly logRatio: number;
  /** Requests at the target including the observed one. */
  readonly concurrency: number;
}

/**
 * Learns how many requests a target handles well at once: fewer than its slots when work takes longer
 * under load than the same target needs with few requests. The load is one that callers share
 * unevenly over targets that slow down long before they are full. Additive increase, multiplicative
 * decrease.
 */
export interface ConcurrencyLimit {
  readonly reason: LimitReason;
  observe(sample: LoadSample, now: number): void;
  /** Limit in requests, from the floor to the slots. */
  read(now: number): number;
}

/** Samples from this fraction of the limit on tell whether the limit is too high or too low. */
const highLoadFraction = 0.7;

/** Samples up to this fraction of the limit are those of a target with few requests. */
const lowLoadFraction = 0.5;

/** Samples under load for one decision: their median is not changed by a single outlier. */
const samplesPerDecision = 3;

/** Samples with few requests that are needed and kept for the comparison. */
const minLowSamples = 2;

const maxLowSamples = 7;

/** Samples with few requests count for this long, in milliseconds. */
const lowSampleAgeMs = 15_000;

/** Work that takes this much longer under load (logarithm of 1.5) reduces the limit. */
const slowerLog = Math.log(1.5);

/** Work that takes at most this much longer (logarithm of 1.2) is fine, and raises the limit. */
const fineLog = Math.log(1.2);

/** Factor of a decrease, the usual one of gradient limits for servers. */
const decreaseFactor = 0.85;

/** Shortest time between two decreases, in milliseconds; in-flight requests began before the first. */
const minDecreaseIntervalMs = 400;

/** Fraction of the slots that the limit never goes below; at least one request. */
const floorFraction = 1 / 8;

/** A number of requests that was fine is a lower bound of the limit for this long, in milliseconds. */
const fineHoldMs = 3_000;

/** Without samples under load the limit is kept for this long, and then returns to the slots. */
const evidenceHoldMs = 5_000;

/** Time in which the limit returns from zero to the slots without evidence, in milliseconds. */
const recoveryMs = 30_000;

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 0;

export function createConcurrencyLimit(slots: number): ConcurrencyLimit {
  const floor = Math.min(slots, Math.max(1, Math.ceil(slots * floorFraction)));
  let limit = slots;
  let reason: LimitReason = 'initial';
  let high: readonly LoadSample[] = [];
  let low: readonly { readonly logRatio: number; readonly at: number }[] = [];
  let decidedAt = 0;
  let decreasedAt = -Infinity;
  let fine = { concurrency: 0, at: -Infinity };

  const read = (now: number): number => {
    const idleMs = now - decidedAt - evidenceHoldMs;
    return idleMs <= 0 ? limit : Math.min(slots, limit + (slots * idleMs) / recoveryMs);
  };

  const decide = (now: number, current: number): void => {
    const gap = median(high.map(({ logRatio }) => logRatio)) - median(low.map((s) => s.logRatio));
    const concurrency = median(high.map((sample) => sample.concurrency));
    high = [];
    if (gap > slowerLog) {
      if (now - decreasedAt < minDecreaseIntervalMs) return;
      const fineConcurrency = now - fine.at < fineHoldMs ? fine.concurrency : 0;
      limit = Math.max(floor, Math.min(current, fineConcurrency), current * decreaseFactor);
      decreasedAt = now;
      reason = 'slower-under-load';
      decidedAt = now;
      return;
    }
    // The expectation beyond the limit includes a queue, so only a shorter time than that is news.
    const isFine = concurrency <= current ? gap < fineLog : gap < -fineLog;
    limit = current;
    decidedAt = now;
    if (!isFine) return;
    fine = { concurrency: Math.min(slots, concurrency), at: now };
    if (current < slots) reason = 'fine-under-load';
    limit = Math.min(slots, Math.max(current + 1, fine.concurrency));
  };

  return {
    get reason() {
      return reason;
    },
    observe(sample, now) {
      const current = read(now);
      if (current > limit) reason = 'no-evidence';
      low = low.filter(({ at }) => now - at < lowSampleAgeMs);
      const lowBound = Math.max(1, current * lowLoadFraction);
      if (sample.concurrency <= lowBound)
        low = [...low.slice(1 - maxLowSamples), { logRatio: sample.logRatio, at: now }];
      else if (sample.concurrency >= current * highLoadFraction) high = [...high, sample];
      if (high.length < samplesPerDecision) return;
      if (low.length >= minLowSamples) decide(now, current);
      else high = high.slice(1);
    },
    read,
  };
}
