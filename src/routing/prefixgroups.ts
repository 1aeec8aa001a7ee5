import { type Clock } from '../base/clock.js';
import { createHeavyHitters } from './hotprefix.js';

/** Groups prompts that share a prefix, so that each group fits on one target. */
export interface PrefixGroups {
  /**
   * Records a prompt by its keys, shallowest first, and returns the index of the key of its
   * group: the one at a quarter of the length or, where that prefix has more of the traffic than
   * a target should get, the first deeper one that has not. A new entry starts with the quarter,
   * so it agrees with older ones on all prefixes that are not hot.
   */
  assignGroup(keys: readonly bigint[], targetCount: number): number;
}

/**
 * Largest part of one target's fair share of the traffic that a group may have. Smaller groups
 * balance better over the targets; larger ones share more of their upper levels.
 */
const maxGroupFraction = 0.5;

/** Prompts of one prefix that are needed as evidence before its group is split. */
const minSplitCount = 4;

const sketch = { windowMs: 5_000, size: 2_048 } as const;

/** Key that every prompt is counted under, to know the total. */
const totalKey = -1n;

/** Index of the key at a quarter of the length; each second step doubles the depth. */
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
