import { type Clock } from '../base/clock.js';

/** Number of events within a sliding window, from a fixed number of buckets. */
export interface WindowCount {
  add(): void;
  /**
   * Events of the window. Its length is exact to one bucket; `oldest` decides whether the bucket
   * that is only partly in the window counts.
   */
  sum(oldest: 'included' | 'left out'): number;
  /** Events of the buckets from one age on, in buckets; those of negative age are empty. */
  sumOfAges(first: number, buckets: number): number;
}

/** Buckets of a window, unless it has another number. */
export const defaultBuckets = 50;

export function createWindowCount(
  clock: Clock,
  windowMs: number,
  bucketsPerWindow = defaultBuckets,
): WindowCount {
  const counts = new Array<number>(bucketsPerWindow + 1).fill(0);
  /** Number of the newest bucket since the start of the clock. */
  let newest = -Infinity;

  const advance = (): void => {
    const bucket = Math.floor((clock.now() * bucketsPerWindow) / windowMs);
    const first = Math.max(newest + 1, bucket - bucketsPerWindow, 0);
    for (let next = first; next <= bucket; next += 1) counts[next % counts.length] = 0;
    newest = Math.max(newest, bucket);
  };

  return {
    add() {
      advance();
      counts[newest % counts.length] = (counts[newest % counts.length] ?? 0) + 1;
    },
    sum(oldest) {
      advance();
      const total = counts.reduce((sum, count) => sum + count, 0);
      if (oldest === 'included') return total;
      return total - (counts[(newest + 1) % counts.length] ?? 0);
    },
    sumOfAges(first, buckets) {
      advance();
      let sum = 0;
      for (let age = Math.max(0, first); age < first + buckets && age <= newest; age += 1)
        sum += counts[(newest - age) % counts.length] ?? 0;
      return sum;
    },
  };
}
