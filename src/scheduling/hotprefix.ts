/** Space-Saving sketch of the prefixes requested most often within the last second. */
import { type Clock } from '../base/clock.js';

/** A prefix with its estimated number of requests within the window. */
export interface HotPrefix {
  readonly hash: bigint;
  readonly count: number;
}

/** Heavy hitters among prefixes; memory does not depend on the number of prefixes. */
export interface HotPrefixes {
  record(hash: bigint): void;
  /**
   * Estimated number of requests within the last second. The part inherited from a replaced prefix
   * is left out, so a rare prefix never looks hot.
   */
  count(hash: bigint): number;
  /** Prefixes with at least the given count, the most frequent first. */
  hottest(minCount: number): readonly HotPrefix[];
}

/** Length of the window in milliseconds. */
export const hotWindowMs = 1_000;

/** Prefixes counted at once; any prefix above 1/256 of the requests is among them. */
const defaultCapacity = 256;

interface Counter {
  count: number;
  /** Highest count that the prefix may have inherited from the one it replaced. */
  error: number;
}

type Sketch = Map<bigint, Counter>;

function addTo(sketch: Sketch, hash: bigint, capacity: number): void {
  const counter = sketch.get(hash);
  if (counter) {
    counter.count += 1;
    return;
  }
  if (sketch.size < capacity) {
    sketch.set(hash, { count: 1, error: 0 });
    return;
  }
  let rarest = 0n;
  let lowest = Infinity;
  for (const [other, { count }] of sketch) {
    if (count >= lowest) continue;
    rarest = other;
    lowest = count;
    if (lowest === 1) break;
  }
  sketch.delete(rarest);
  sketch.set(hash, { count: lowest + 1, error: lowest });
}

export function createHotPrefixes(clock: Clock, capacity = defaultCapacity): HotPrefixes {
  let current: Sketch = new Map();
  let previous: Sketch = new Map();
  let windowStart = clock.now();

  const rotate = (): void => {
    const elapsed = clock.now() - windowStart;
    if (elapsed < hotWindowMs) return;
    previous = elapsed < 2 * hotWindowMs ? current : new Map();
    current = new Map();
    windowStart += Math.floor(elapsed / hotWindowMs) * hotWindowMs;
  };

  const guaranteed = (sketch: Sketch, hash: bigint): number => {
    const counter = sketch.get(hash);
    return counter ? counter.count - counter.error : 0;
  };

  /** Sliding window: the part of the previous window that is still within the last second. */
  const countOf = (hash: bigint): number => {
    const overlap = 1 - (clock.now() - windowStart) / hotWindowMs;
    return guaranteed(current, hash) + guaranteed(previous, hash) * overlap;
  };

  return {
    record(hash) {
      rotate();
      addTo(current, hash, capacity);
    },
    count(hash) {
      rotate();
      return countOf(hash);
    },
    hottest(minCount) {
      rotate();
      const hot: HotPrefix[] = [];
      for (const hash of new Set([...current.keys(), ...previous.keys()])) {
        const count = countOf(hash);
        if (count >= minCount) hot.push({ hash, count });
      }
      return hot.sort((left, right) => right.count - left.count);
    },
  };
}
