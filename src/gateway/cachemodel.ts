import { type Clock } from '../base/clock.js';
import { type CacheChange, type PromptPart } from '../ports/wire.js';

/**
 * Models the prompt caches of engines and KV stores from the requests that all gateways sent there.
 * These cache locations evict the least recently used parts, so a model with the same capacity
 * predicts their content without querying them.
 */
export interface CacheModel {
  /** Sets the memory of an engine in tokens; removes least recently used parts that do not fit. */
  setCapacity(engineId: string, tokens: number): void;
  /** Sets the memory of a KV store in tokens, all of which caches prompts. */
  setStoreCapacity(storeName: string, tokens: number): void;
  /**
   * Records that a location prefills or receives these parts, in this order, and has them after
   * `readyMs`. Returns the number of tokens that were not cached there before.
   */
  recordUse(location: string, salt: string, parts: readonly PromptPart[], readyMs: number): number;
  /** Records that a location sent these parts, so that it evicts those that it has later. */
  recordRead(location: string, salt: string, parts: readonly PromptPart[]): void;
  /** Adds the changes that a location reports; parts already in the model are newer and stay. */
  importChanges(location: string, changes: readonly CacheChange[]): void;
  /** Returns the cached prefix of a prompt by location; locations without one are left out. */
  findPrefixes(salt: string, parts: readonly PromptPart[]): ReadonlyMap<string, CachedPrefix>;
  /** Removes all entries of a location: an engine or KV store whose cache was cleared. */
  clear(location: string): void;
}

/** Leading tokens of a prompt that one location caches. */
export interface CachedPrefix {
  /** Tokens that it has, or will have once it has prefilled or received its parts. */
  readonly cachedTokens: number;
  /** Tokens that it can already send to another location. */
  readonly transferableTokens: number;
  /** Those of `cachedTokens` that it has even if running requests hold most of its memory. */
  readonly trustedTokens: number;
}

interface CacheEntry {
  readonly tokens: number;
  /** When the location has the part. */
  readonly readyAt: number;
  /** `addedTokens` of the location at the last use. */
  readonly usedAt: number;
}

interface LocationCache {
  memoryTokens: number;
  /** Running requests use a part of the memory of an engine. */
  isEngine: boolean;
  usedTokens: number;
  /** Tokens that were ever added. */
  addedTokens: number;
  /** Fraction of the memory whose content is certain. */
  trustedFraction: number;
  /** In order of last use, least recent first. */
  readonly entries: Map<string, CacheEntry>;
}

/** Memory of a location in tokens until its own is set; `cacheFraction` applies to it. */
const defaultCapacityTokens = 100_000;

/**
 * Largest fraction of an engine's memory that caches prompts. Generated tokens of finished requests
 * stay there too, and the model does not record them.
 */
const cacheFraction = 0.85;

/** Smallest fraction: the prompts of running requests are themselves entries of the model. */
const minCacheFraction = 0.1;

/**
 * Fraction of this that an engine is taken to have in any case: running requests use memory too, and
 * what engines evict for them is not reported. With 0.4, at most 1% of the prefill was repeated in
 * test/gateway/cacheload.test.ts when running requests held up to 0.6 of the memory.
 */
const trustedFraction = 0.4;

/** Locations cache whole blocks of tokens, so a complete part has slightly fewer tokens. */
const completeRatio = 0.9;

/**
 * `unlistedTokens` returns the tokens of running requests at an engine that are not entries of the
 * model: generated tokens, and prompts that no other request may use.
 */
export function createCacheModel(
  clock: Clock,
  unlistedTokens: (engineId: string) => number = () => 0,
): CacheModel {
  const locations = new Map<string, LocationCache>();

  const locationOf = (name: string): LocationCache => {
    const known = locations.get(name);
    if (known) return known;
    const location = {
      memoryTokens: defaultCapacityTokens,
      isEngine: true,
      usedTokens: 0,
      addedTokens: 0,
      trustedFraction,
      entries: new Map(),
    };
    locations.set(name, location);
    return location;
  };

  const isComplete = (entry: CacheEntry, tokens: number): boolean =>
    entry.tokens >= tokens * completeRatio;

  const keyOf = (salt: string, partId: string): string => `${salt}/${partId}`;

  const capacityOf = (name: string, { memoryTokens, isEngine }: LocationCache): number => {
    if (!isEngine) return memoryTokens;
    const freeTokens = memoryTokens - unlistedTokens(name);
    return Math.max(
      memoryTokens * minCacheFraction,
      Math.min(memoryTokens * cacheFraction, freeTokens),
    );
  };

  const trim = (name: string, location: LocationCache): void => {
    const capacityTokens = capacityOf(name, location);
    for (const [key, { tokens }] of location.entries) {
      if (location.usedTokens <= capacityTokens) return;
      location.entries.delete(key);
      location.usedTokens -= tokens;
    }
  };

  const setMemory = (name: string, tokens: number, isEngine: boolean): void => {
    const location = locationOf(name);
    location.memoryTokens = tokens;
    location.isEngine = isEngine;
    trim(name, location);
  };

  return {
    setCapacity: (name, tokens) => setMemory(name, tokens, true),
    setStoreCapacity(name, tokens) {
      setMemory(name, tokens, false);
      locationOf(name).trustedFraction = 1;
    },
    recordUse(name, salt, parts, readyMs) {
      const location = locationOf(name);
      let added = 0;
      // A part is of no use without those before it, so locations evict the last ones first.
      for (const { id, tokens } of [...parts].reverse()) {
        const key = keyOf(salt, id);
        const known = location.entries.get(key);
        const isCached = known !== undefined && isComplete(known, tokens);
        // Inserted again to keep the map in order of last use.
        if (known) location.entries.delete(key);
        if (!isCached) added += tokens - (known?.tokens ?? 0);
        const entry = isCached ? known : { tokens, readyAt: clock.now() + readyMs };
        location.entries.set(key, { ...entry, usedAt: location.addedTokens });
      }
      location.usedTokens += added;
      location.addedTokens += added;
      trim(name, location);
      return added;
    },
    recordRead(name, salt, parts) {
      const location = locations.get(name);
      if (!location) return;
      const { entries, addedTokens } = location;
      for (const { id } of [...parts].reverse()) {
        const key = keyOf(salt, id);
        const entry = entries.get(key);
        if (!entry) continue;
        entries.delete(key);
        entries.set(key, { ...entry, usedAt: addedTokens });
      }
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
      for (const { salt, partId, cachedTokens } of changes) {
        const entry = { tokens: cachedTokens, readyAt: -Infinity, usedAt: location.addedTokens };
        put(keyOf(salt, partId), cachedTokens > 0 ? entry : undefined);
      }
      for (const [key, entry] of newer) put(key, entry);
      trim(name, location);
    },
    findPrefixes(salt, parts) {
      const keys = parts.map(({ id }) => keyOf(salt, id));
      const now = clock.now();
      const prefixes = new Map<string, CachedPrefix>();
      for (const [name, location] of locations) {
        const { entries, addedTokens } = location;
        const trustedAge = capacityOf(name, location) * location.trustedFraction;
        let isTrusted = true;
        let trustedTokens = 0;
        let cachedTokens = 0;
        let transferableTokens = 0;
        let isReady = true;
        for (const [index, { tokens }] of parts.entries()) {
          const entry = entries.get(keys[index] as string);
          if (!entry) break;
          const cachedPartTokens = Math.min(tokens, entry.tokens);
          cachedTokens += cachedPartTokens;
          isTrusted &&= addedTokens - entry.usedAt <= trustedAge;
          if (isTrusted) trustedTokens += cachedPartTokens;
          isReady &&= entry.readyAt <= now;
          if (isReady) transferableTokens += cachedPartTokens;
          if (!isComplete(entry, tokens)) break;
        }
        if (cachedTokens > 0)
          prefixes.set(name, { cachedTokens, transferableTokens, trustedTokens });
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
