import { type Clock } from '../base/clock.js';

/** Rates of frequent keys over about the last window (a second by default), in bounded memory. */
export interface HeavyHitters {
  record(key: bigint): void;
  /**
   * Returns the occurrences per second, computed from lower bounds of the counts because the sketch
   * may overcount; 0 for a key that is not a frequent one.
   */
  rate(key: bigint): number;
  /**
   * Returns the occurrences of a key in the current and the previous window: a lower bound, because
   * the sketch may overcount.
   */
  count(key: bigint): number;
}

/** Window length and size of a sketch. */
export interface SketchOptions {
  readonly windowMs: number;
  /** Keys stored per window; a key with more than 1/size of all occurrences is among them. */
  readonly size: number;
}

const hotSketch: SketchOptions = { windowMs: 1_000, size: 128 };

interface Counter {
  count: number;
  /** Count inherited from an evicted key; it may belong to other keys. */
  error: number;
}

/** One window of the Space-Saving algorithm. */
interface Window {
  readonly counters: Map<bigint, Counter>;
  /** Lower bound of all counts, so that a search for the minimum can stop there. */
  minCount: number;
}

function createWindow(): Window {
  return { counters: new Map(), minCount: 1 };
}

function addOccurrence(window: Window, key: bigint, size: number): void {
  const { counters } = window;
  const counter = counters.get(key);
  if (counter) {
    counter.count += 1;
    return;
  }
  let error = 0;
  if (counters.size >= size) {
    let evicted = 0n;
    error = Infinity;
    for (const [other, { count }] of counters) {
      if (count >= error) continue;
      evicted = other;
      error = count;
      if (count <= window.minCount) break;
    }
    window.minCount = error;
    counters.delete(evicted);
  }
  counters.set(key, { count: error + 1, error });
}

function guaranteedCount(window: Window, key: bigint): number {
  const counter = window.counters.get(key);
  return counter ? counter.count - counter.error : 0;
}

/**
 * Stores the current and the previous window. A rate weights the previous one by its overlap with
 * the time span of one window that ends now.
 */
export function createHeavyHitters(
  clock: Clock,
  { windowMs, size }: SketchOptions = hotSketch,
): HeavyHitters {
  let current = createWindow();
  let previous = createWindow();
  let startedAt = clock.now();

  const rotateWindows = (): void => {
    const age = clock.now() - startedAt;
    if (age < windowMs) return;
    previous = age < 2 * windowMs ? current : createWindow();
    current = createWindow();
    startedAt += Math.floor(age / windowMs) * windowMs;
  };

  return {
    record(key) {
      rotateWindows();
      addOccurrence(current, key, size);
    },
    rate(key) {
      rotateWindows();
      const overlap = 1 - (clock.now() - startedAt) / windowMs;
      const count = guaranteedCount(current, key) + guaranteedCount(previous, key) * overlap;
      return (count * 1_000) / windowMs;
    },
    count(key) {
      rotateWindows();
      return guaranteedCount(current, key) + guaranteedCount(previous, key);
    },
  };
}

/** Computes the number of targets that may serve a prefix. */
export interface HotPrefixes {
  record(key: bigint): void;
  /**
   * Returns a number from 1 to the limit. It changes in steps, so a prefix that is no longer hot
   * gets 1 only after some intervals.
   */
  targetCount(key: bigint, limit: number): number;
}

/** Rate of one prefix at one entry that one target serves before another target is added. */
const requestsPerSecondPerTarget = 8;

/**
 * Interval at which the number of targets changes by one. Targets are added in rendezvous order,
 * which is the same at every entry, so at most one more target prefills the prefix per interval and
 * the entries do not move to new targets all at once.
 */
const adjustIntervalMs = 100;

/** Maximum hot prefixes that are tracked because they need more than 1 target. */
const maxTrackedPrefixes = 64;

export function createHotPrefixes(clock: Clock): HotPrefixes {
  const hitters = createHeavyHitters(clock);
  const states = new Map<bigint, { targetCount: number; changedAt: number }>();

  const removeColdPrefixes = (): void => {
    for (const key of states.keys()) {
      if (hitters.rate(key) < requestsPerSecondPerTarget) states.delete(key);
    }
  };

  return {
    record: (key) => hitters.record(key),
    targetCount(key, limit) {
      const desiredCount = Math.min(
        limit,
        1 + Math.floor(hitters.rate(key) / requestsPerSecondPerTarget),
      );
      const state = states.get(key);
      if (!state) {
        if (desiredCount <= 1) return 1;
        if (states.size >= maxTrackedPrefixes) removeColdPrefixes();
        if (states.size < maxTrackedPrefixes)
          states.set(key, { targetCount: 1, changedAt: clock.now() });
        return 1;
      }
      const steps = Math.floor((clock.now() - state.changedAt) / adjustIntervalMs);
      if (steps >= 1) {
        state.changedAt += steps * adjustIntervalMs;
        if (desiredCount > state.targetCount) state.targetCount += 1;
        else state.targetCount = Math.max(desiredCount, state.targetCount - steps);
      }
      if (state.targetCount <= 1 && desiredCount <= 1) states.delete(key);
      return Math.max(1, Math.min(limit, state.targetCount));
    },
  };
}
