import { type Clock } from '../base/clock.js';
import { type PromptPart } from '../ports/wire.js';

/** Remembers which engines lately read which parts of prompts. */
export interface CacheIndex {
  /** Records that an engine reads these parts under this salt. */
  record(salt: string, partIds: readonly string[], targetId: string): void;
  /** Leading tokens of a prompt that an engine is believed to keep. */
  cachedTokens(salt: string, parts: readonly PromptPart[], targetId: string): number;
  /** Engines that lately read the part. */
  holders(salt: string, partId: string): readonly string[];
  /** Forgets an engine whose memory is empty. */
  forget(targetId: string): void;
}

/**
 * Engines drop the least recently used parts. With the site's prompts one engine's memory turns
 * over in about 9 s, so an older use is taken as dropped.
 */
const keptMs = 15_000;

/** Bound on the parts that are remembered; far above what one entry sends in `keptMs`. */
const maxParts = 20_000;

export function createCacheIndex(clock: Clock): CacheIndex {
  const uses = new Map<string, Map<string, number>>();

  const keyOf = (salt: string, partId: string): string => `${salt}/${partId}`;

  const isFresh = (at: number | undefined): boolean =>
    at !== undefined && clock.now() - at < keptMs;

  return {
    record(salt, partIds, targetId) {
      for (const id of partIds) {
        const key = keyOf(salt, id);
        const byTarget = uses.get(key) ?? new Map<string, number>();
        // Inserted again, so that the map keeps the order of the last uses.
        uses.delete(key);
        uses.set(key, byTarget.set(targetId, clock.now()));
      }
      for (const [key, byTarget] of uses) {
        const isOld = [...byTarget.values()].every((at) => !isFresh(at));
        if (!isOld && uses.size <= maxParts) break;
        uses.delete(key);
      }
    },
    cachedTokens(salt, parts, targetId) {
      let tokens = 0;
      for (const part of parts) {
        if (!isFresh(uses.get(keyOf(salt, part.id))?.get(targetId))) break;
        tokens += part.tokens;
      }
      return tokens;
    },
    holders(salt, partId) {
      const byTarget = uses.get(keyOf(salt, partId));
      if (!byTarget) return [];
      return [...byTarget].filter(([, at]) => isFresh(at)).map(([id]) => id);
    },
    forget(targetId) {
      for (const byTarget of uses.values()) byTarget.delete(targetId);
    },
  };
}
