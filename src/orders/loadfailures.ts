import { type Clock } from '../base/clock.js';

/**
 * Limits the loads of a version that no engine has survived yet. Weights that crash each engine that
 * loads them would otherwise take one engine after the other down, and all at once when the deadline
 * of the old weights is near.
 */
export interface LoadFailures {
  /** An engine was lost while it loaded the version. */
  recordLost(model: string, version: number): void;
  /**
   * Loads that may begin now; `loading` counts those in progress. `isServed` tells that an engine
   * serves the version, which proves that it can be loaded.
   */
  maxNewLoads(model: string, version: number, isServed: boolean, loading: number): number;
}

/** Losses up to which loads are not limited: engines also crash for other reasons. */
const toleratedLosses = 1;

/** Pause after the last loss before another engine loads the version; doubles with each loss. */
const minPauseMs = 1_000;

const maxPauseMs = 300_000;

export function createLoadFailures(clock: Clock): LoadFailures {
  const losses = new Map<string, { readonly version: number; count: number; lastAt: number }>();
  return {
    recordLost(model, version) {
      const known = losses.get(model);
      const count = known?.version === version ? known.count + 1 : 1;
      losses.set(model, { version, count, lastAt: clock.now() });
    },
    maxNewLoads(model, version, isServed, loading) {
      const known = losses.get(model);
      if (isServed || known?.version !== version) return Infinity;
      const excess = known.count - toleratedLosses;
      if (excess <= 0) return Infinity;
      const pauseMs = Math.min(maxPauseMs, minPauseMs * 2 ** (excess - 1));
      const isDue = loading === 0 && clock.now() - known.lastAt >= pauseMs;
      return isDue ? 1 : 0;
    },
  };
}
