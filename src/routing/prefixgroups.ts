import { type Clock } from '../base/clock.js';
import { createHeavyHitters } from './hotprefix.js';

/** Groups prompts that share a prefix, so that each group fits on one target. */
export interface PrefixGroups {
  /**
   * Records a prompt by its keys, shallowest first, and returns the index of the key of its group:
   * the key at a quarter of the length or, when that prefix has more traffic than a target should
   * receive, the first deeper key that does not, or else the deepest key. A new entry starts at the
   * quarter, so it agrees with older entries on all prefixes that are not hot.
   */
  assignGroup(keys: readonly bigint[], targetCount: number): number;
}

/**
 * Maximum traffic of a group, as a fraction of the traffic per target. Smaller groups balance
 * better over the targets; larger ones share more of their upper levels.
 */
const maxGroupFraction = 0.5;

/** A group is split only if more prompts than this were counted with its prefix. */
const minSplitCount = 4;

const sketch = { windowMs: 5_000, size: 2_048 } as const;

/** Key under which every prompt is counted, to obtain the total. */
const totalKey = -1n;

/**
 * Returns the index of the key at a quarter of the length, or of the shallowest key; every second
 * key doubles the depth.
 */
function quarterIndex(keys: readonly bigint[]): number {
  return Math.max(0, keys.length - 1 - 4);
}

export function createPrefixGroups(clock: Clock): PrefixGroups {
  const hitters = createHeavyHitters(clock, sketch);
  return {
    assignGroup(keys, targetCount) {
      hitters.record(totalKey);
      for (const key of keys) hitters.record(key);
      const maxGroupCount = (hitters.count(totalKey) / targetCount) * maxGroupFraction;
      const limit = Math.max(minSplitCount, maxGroupCount);
      let index = quarterIndex(keys);
      while (index < keys.length - 1 && hitters.count(keys[index] as bigint) > limit) index += 1;
      return index;
    },
  };
}
