/** Tells long jobs from the rest by the running median of the costs. */

/** Classifies jobs by their cost. */
export interface LongJobDetector {
  /** Adds the cost of an arrived job to the running median. */
  record(costMs: number): void;
  isLong(costMs: number): boolean;
}

/** Costs in the running median; large enough that a few long jobs in a row don't move it. */
const windowSize = 128;

/** Below this number of costs the median says too little. */
const minSamples = 8;

/** A job is long above this multiple of the median; long jobs run about 50 times longer. */
const longFactor = 8;

export function createLongJobDetector(): LongJobDetector {
  const recent: number[] = [];
  const sorted: number[] = [];
  let nextSlot = 0;

  const insert = (costMs: number): void => {
    const index = sorted.findIndex((other) => other >= costMs);
    sorted.splice(index < 0 ? sorted.length : index, 0, costMs);
  };

  return {
    record(costMs) {
      const oldest = recent[nextSlot];
      if (oldest !== undefined) sorted.splice(sorted.indexOf(oldest), 1);
      recent[nextSlot] = costMs;
      nextSlot = (nextSlot + 1) % windowSize;
      insert(costMs);
    },
    isLong(costMs) {
      if (sorted.length < minSamples) return false;
      return costMs > (sorted[Math.floor(sorted.length / 2)] as number) * longFactor;
    },
  };
}
