/** One observed duration of work at a target. */
export interface DurationSample {
  /** Natural logarithm of the duration in relation to what was expected of a usual target. */
  readonly logRatio: number;
  /** Weight from 0 to 1; below 1 when something else may have added to the duration. */
  readonly weight: number;
}

/** Learns the logarithm of the duration factor of one target from samples of all gateways. */
export interface DurationFactor {
  /** Sum of the weights of all samples. */
  readonly evidence: number;
  observe(sample: DurationSample, now: number): void;
  /** Current estimate, not yet relative to the other targets of the service. */
  read(now: number): number;
}

/**
 * Newest samples that the recent estimate is taken from. With 12, four requests that hung at once
 * were outweighed by older samples.
 */
const maxRecent = 8;

/**
 * Half-life of a sample's weight in the recent estimate, in milliseconds. A target of a fleet gives
 * about five samples a second, so a change outweighs the older samples after about a second.
 */
const recentHalfLifeMs = 900;

/** Older samples don't outweigh the lasting estimate, in milliseconds: four half-lives. */
const maxRecentAgeMs = 4 * recentHalfLifeMs;

/**
 * Weight of the lasting estimate among the recent samples. One sample alone doesn't outweigh it, so
 * an outlier changes nothing, and it prevails about two seconds after the last sample.
 */
const lastingWeight = 1.1;

/**
 * The lasting estimate is used while the recent one is within this of it (a quarter). It is smoother,
 * and gateways that share noise would all prefer the same target.
 */
const agreementLog = 0.22;

/** Weight of a sample in the lasting estimate, for the first sample and for later ones. */
const initialLearningRate = 0.5;

const finalLearningRate = 0.05;

/** A sample moves the lasting estimate as if it differed by at most this (a factor of two). */
const maxStepLog = 0.7;

/** Half-life of the lasting estimate without samples, in milliseconds: about a minute of idle time. */
const forgettingHalfLifeMs = 45_000;

interface RecentSample extends DurationSample {
  readonly at: number;
}

/** Value at which half of the total weight is reached; the lower one of two equal halves. */
export function weightedMedian(items: readonly (readonly [value: number, weight: number])[]) {
  const sorted = [...items].sort(([a], [b]) => a - b);
  let total = 0;
  for (const [, weight] of sorted) total += weight;
  let sum = 0;
  for (const [value, weight] of sorted) {
    sum += weight;
    if (sum * 2 >= total) return value;
  }
  return 0;
}

export function createDurationFactor(): DurationFactor {
  let recent: readonly RecentSample[] = [];
  let lastingLog = 0;
  let observedAt = 0;
  let evidence = 0;

  const readLasting = (now: number): number =>
    lastingLog * 0.5 ** (Math.max(0, now - observedAt) / forgettingHalfLifeMs);

  return {
    get evidence() {
      return evidence;
    },
    observe({ logRatio, weight }, now) {
      const before = readLasting(now);
      const error = Math.max(-maxStepLog, Math.min(maxStepLog, logRatio - before));
      evidence += weight;
      const rate = Math.max(finalLearningRate, initialLearningRate / Math.sqrt(1 + evidence));
      lastingLog = before + error * rate * weight;
      observedAt = now;
      recent = [...recent.slice(1 - maxRecent), { logRatio, weight, at: now }];
    },
    read(now) {
      const lasting = readLasting(now);
      const newest = recent.at(-1);
      if (!newest || now - newest.at > maxRecentAgeMs) return lasting;
      const items: (readonly [number, number])[] = [[lasting, lastingWeight]];
      for (const { logRatio, weight, at } of recent)
        items.push([logRatio, weight * 0.5 ** ((now - at) / recentHalfLifeMs)]);
      const median = weightedMedian(items);
      return Math.abs(median - lasting) < agreementLog ? lasting : median;
    },
  };
}
