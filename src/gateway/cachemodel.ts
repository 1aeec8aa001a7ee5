import { type Clock } from '../base/clock.js';
import { type CacheChange, type PromptPart } from '../ports/wire.js';

/**
 * Models the prompt caches of engines and stores by the requests that all entries sent there. The
 * holders drop the least recently used parts, so a model with their capacity knows what is left
 * without asking them.
 */
export interface CacheModel {
  /** Sets the memory of an engine in tokens; it keeps what it has. */
  setCapacity(engineId: string, tokens: number): void;
  /** Sets the memory of a store, all of which is for prompts. */
  setStoreCapacity(storeName: string, tokens: number): void;
  /**
   * Records that a holder reads or receives these parts, in this order, and has them after
   * `readyMs`. Returns the tokens that it did not have before.
   */
  recordUse(location: string, salt: string, parts: readonly PromptPart[], readyMs: number): number;
  /** Takes over what a holder says; what is already in the model is newer and stays. */
  importChanges(location: string, changes: readonly CacheChange[]): void;
  /** Holders that have leading parts of a prompt. */
  findPrefixes(salt: string, parts: readonly PromptPart[]): ReadonlyMap<string, CachedPrefix>;
  /** Forgets a holder whose memory is empty. */
  clear(location: string): void;
}

/** Leading tokens of a prompt at one holder. */
export interface CachedPrefix {
  /** Tokens that it has, or will have once it has read what it got. */
  readonly cachedTokens: number;
  /** Tokens that it can already send to another holder. */
  readonly sendableTokens: number;
}

interface CacheEntry {
  readonly tokens: number;
  /** When the holder has read the part. */
  readonly readyAt: number;
}

interface LocationCache {
  capacityTokens: number;
  usedTokens: number;
  /** In the order of the last use, the oldest first. */
  readonly entries: Map<string, CacheEntry>;
}

/** Capacity of a holder whose own is not known yet. */
const defaultCapacityTokens = 100_000;

/**
 * Part of the memory that holds finished prompts; the rest belongs to running requests and to the
 * tokens that they make.
 */
const cacheFraction = 0.85;

/** Holders keep whole blocks of tokens, so a part that is kept whole has a few less. */
const completeRatio = 0.9;

export function createCacheModel(clock: Clock): CacheModel {
  const locations = new Map<string, LocationCache>();

  const locationOf = (name: string): LocationCache => {
    const known = locations.get(name);
    if (known) return known;
    const location = {
      capacityTokens: defaultCapacityTokens * cacheFraction,
      usedTokens: 0,
      entries: new Map(),
    };
    locations.set(name, location);
    return location;
  };

  const isComplete = (entry: CacheEntry, tokens: number): boolean =>
    entry.tokens >= tokens * completeRatio;

  const keyOf = (salt: string, partId: string): string => `${salt}/${partId}`;

  const trim = (location: LocationCache): void => {
    for (const [key, { tokens }] of location.entries) {
      if (location.usedTokens <= location.capacityTokens) return;
      location.entries.delete(key);
      location.usedTokens -= tokens;
    }
  };

  const setCapacityTokens = (name: string, tokens: number): void => {
    const location = locationOf(name);
    location.capacityTokens = tokens;
    trim(location);
  };

  return {
    setCapacity: (name, tokens) => setCapacityTokens(name, tokens * cacheFraction),
    setStoreCapacity: setCapacityTokens,
    recordUse(name, salt, parts, readyMs) {
      const location = locationOf(name);
      let added = 0;
      for (const { id, tokens } of parts) {
        const key = keyOf(salt, id);
        const known = location.entries.get(key);
        const isCached = known !== undefined && isComplete(known, tokens);
        // Inserted again, so that the map keeps the order of the last uses.
        if (known) location.entries.delete(key);
        if (!isCached) added += tokens - (known?.tokens ?? 0);
        location.entries.set(key, isCached ? known : { tokens, readyAt: clock.now() + readyMs });
      }
      location.usedTokens += added;
      trim(location);
      return added;
    },
    importChanges(name, changes) {
      const location = locationOf(name);
      const newer = [...location.entries];
      location.entries.clear();
      location.usedTokens = 0;
      const put = (key: string, entry: CacheEntry | undefined): void => {
        location.usedTokens += (entry?.tokens ?? 0) - (location.entries.get(key)?.tokens ?? 0);
        location.entries.delete(key);
        if (entry) location.entries.set(key, entry);
      };
      for (const { salt, partId, keptTokens } of changes) {
        const entry = { tokens: keptTokens, readyAt: -Infinity };
        put(keyOf(salt, partId), keptTokens > 0 ? entry : undefined);
      }
      for (const [key, entry] of newer) put(key, entry);
      trim(location);
    },
    findPrefixes(salt, parts) {
      const keys = parts.map(({ id }) => keyOf(salt, id));
      const now = clock.now();
      const prefixes = new Map<string, CachedPrefix>();
      for (const [name, { entries }] of locations) {
        let cachedTokens = 0;
        let sendableTokens = 0;
        let isReady = true;
        for (const [index, { tokens }] of parts.entries()) {
          const entry = entries.get(keys[index] as string);
          if (!entry) break;
          const kept = Math.min(tokens, entry.tokens);
          cachedTokens += kept;
          isReady &&= entry.readyAt <= now;
          if (isReady) sendableTokens += kept;
          if (!isComplete(entry, tokens)) break;
        }
        if (cachedTokens > 0) prefixes.set(name, { cachedTokens, sendableTokens });
      }
      return prefixes;
    },
    clear(name) {
      const location = locations.get(name);
      if (!location) return;
      location.entries.clear();
      location.usedTokens = 0;
    },
  };
}
