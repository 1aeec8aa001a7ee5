import { type Clock } from '../base/clock.js';
import { createHeavyHitters } from './hotprefix.js';

/** Groups prompts that share a prefix, so that each group fits on one target. */
export interface PrefixGroups {
  /**
   * Records a prompt by its keys, shallowest first, and returns the index of the key of its
   * group: the shallowest one whose share of the traffic is below that of a target.
   */
  place(keys: readonly bigint[], targets: number): number;
}

/**
 * Largest part of one target's fair share of the traffic that a group may have. Smaller groups
 * balance better over the targets; larger ones share more of their upper levels.
 */
const groupShare = 0.5;

const sketch = { windowMs: 5_000, size: 2_048 } as const;

/** Key that every prompt is counted under, to know the total. */
const totalKey = -1n;

export function createPrefixGroups(clock: Clock): PrefixGroups {
  const hitters = createHeavyHitters(clock, sketch);
  return {
    place(keys, targets) {
      hitters.record(totalKey);
      for (const key of keys) hitters.record(key);
      const limit = (hitters.count(totalKey) / targets) * groupShare;
      for (const [index, key] of keys.entries()) {
        if (hitters.count(key) <= Math.max(1, limit)) return index;
      }
      return keys.length - 1;
    },
  };
}
