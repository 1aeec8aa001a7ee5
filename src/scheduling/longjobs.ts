/** Detects long jobs by comparing their cost with the running median. */

/** Classifies jobs by their cost. */
export interface LongJobDetector {
  /** Adds the cost of an arrived job to the running median. */
  record(costMs: number): void;
  isLong(costMs: number): boolean;
}

/** Costs in the running median; large enough that a few long jobs in a row don't shift it. */
const windowSize = 128;

/** With fewer costs the median is not reliable, and no job is classified as long. */
const minSamples = 8;

/**
 * A job is long above this multiple of the median. Long jobs of the measured workload have about 50
 * times the output tokens of short ones (measure/parameters.ts).
 */
const longFactor = 8;

export function createLongJobDetector(): LongJobDetector {
  const recentCosts: number[] = [];
  const sortedCosts: number[] = [];
  let nextIndex = 0;

  const insert = (costMs: number): void => {
    const index = sortedCosts.findIndex((other) => other >= costMs);
    sortedCosts.splice(index < 0 ? sortedCosts.length : index, 0, costMs);
  };

  return {
    record(costMs) {
      const oldest = recentCosts[nextIndex];
      if (oldest !== undefined) sortedCosts.splice(sortedCosts.indexOf(oldest), 1);
      recentCosts[nextIndex] = costMs;
      nextIndex = (nextIndex + 1) % windowSize;
      insert(costMs);
    },
    isLong(costMs) {
      if (sortedCosts.length < minSamples) return false;
      return costMs > (sortedCosts[Math.floor(sortedCosts.length / 2)] as number) * longFactor;
    },
  };
}
