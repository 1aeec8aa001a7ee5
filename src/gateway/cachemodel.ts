import { type Clock } from '../base/clock.js';
import { type CacheChange, type PromptPart } from '../ports/wire.js';

/**
 * Models the prompt caches of engines and stores by the requests that all entries sent there. The
 * holders drop the least recently used parts, so a model with their capacity knows what is left
 * without asking them.
 */
export interface CacheModel {
  /** Sets the memory of an engine in tokens; it keeps what it has. */
  setCapacity(engine: string, tokens: number): void;
  /** Sets the memory of a store, all of which is for prompts. */
  setStoreCapacity(store: string, tokens: number): void;
  /**
   * Records that a holder reads or receives these parts, in this order, and has them after
   * `readyMs`. Returns the tokens that it did not have before.
   */
  use(holder: string, salt: string, parts: readonly PromptPart[], readyMs: number): number;
  /** Takes over what a holder says; what is already in the model is newer and stays. */
  learn(holder: string, changes: readonly CacheChange[]): void;
  /** Holders that have leading parts of a prompt. */
  holding(salt: string, parts: readonly PromptPart[]): ReadonlyMap<string, Held>;
  /** Forgets a holder whose memory is empty. */
  forget(holder: string): void;
}

/** Leading tokens of a prompt at one holder. */
export interface Held {
  /** Tokens that it has, or will have once it has read what it got. */
  readonly cached: number;
  /** Tokens that it can already send to another holder. */
  readonly sendable: number;
}

interface Entry {
  readonly tokens: number;
  /** When the holder has read the part. */
  readonly readyAt: number;
}

interface Holder {
  capacity: number;
  tokens: number;
  /** In the order of the last use, the oldest first. */
  readonly entries: Map<string, Entry>;
}

/** Capacity of a holder whose own is not known yet. */
const defaultCapacity = 100_000;

/**
 * Part of the memory that holds finished prompts; the rest belongs to running requests and to the
 * tokens that they make.
 */
const cachePart = 0.85;

/** Holders keep whole blocks of tokens, so a part that is kept whole has a few less. */
const wholeShare = 0.9;

export function createCacheModel(clock: Clock): CacheModel {
  const holders = new Map<string, Holder>();

  const holderOf = (name: string): Holder => {
    const known = holders.get(name);
    if (known) return known;
    const holder = { capacity: defaultCapacity * cachePart, tokens: 0, entries: new Map() };
    holders.set(name, holder);
    return holder;
  };

  const isWhole = (entry: Entry, tokens: number): boolean => entry.tokens >= tokens * wholeShare;

  const keyOf = (salt: string, partId: string): string => `${salt}/${partId}`;

  const trim = (holder: Holder): void => {
    for (const [key, { tokens }] of holder.entries) {
      if (holder.tokens <= holder.capacity) return;
      holder.entries.delete(key);
      holder.tokens -= tokens;
    }
  };

  const limit = (name: string, tokens: number): void => {
    const holder = holderOf(name);
    holder.capacity = tokens;
    trim(holder);
  };

  return {
    setCapacity: (name, tokens) => limit(name, tokens * cachePart),
    setStoreCapacity: limit,
    use(name, salt, parts, readyMs) {
      const holder = holderOf(name);
      let added = 0;
      for (const { id, tokens } of parts) {
        const key = keyOf(salt, id);
        const known = holder.entries.get(key);
        const isKept = known !== undefined && isWhole(known, tokens);
        // Inserted again, so that the map keeps the order of the last uses.
        if (known) holder.entries.delete(key);
        if (!isKept) added += tokens - (known?.tokens ?? 0);
        holder.entries.set(key, isKept ? known : { tokens, readyAt: clock.now() + readyMs });
      }
      holder.tokens += added;
      trim(holder);
      return added;
    },
    learn(name, changes) {
      const holder = holderOf(name);
      const newer = [...holder.entries];
      holder.entries.clear();
      holder.tokens = 0;
      const put = (key: string, entry: Entry | undefined): void => {
        holder.tokens += (entry?.tokens ?? 0) - (holder.entries.get(key)?.tokens ?? 0);
        holder.entries.delete(key);
        if (entry) holder.entries.set(key, entry);
      };
      for (const { salt, partId, keptTokens } of changes) {
        const entry = { tokens: keptTokens, readyAt: -Infinity };
        put(keyOf(salt, partId), keptTokens > 0 ? entry : undefined);
      }
      for (const [key, entry] of newer) put(key, entry);
      trim(holder);
    },
    holding(salt, parts) {
      const keys = parts.map(({ id }) => keyOf(salt, id));
      const now = clock.now();
      const held = new Map<string, Held>();
      for (const [name, { entries }] of holders) {
        let cached = 0;
        let sendable = 0;
        let isRead = true;
        for (const [index, { tokens }] of parts.entries()) {
          const entry = entries.get(keys[index] as string);
          if (!entry) break;
          const kept = Math.min(tokens, entry.tokens);
          cached += kept;
          isRead &&= entry.readyAt <= now;
          if (isRead) sendable += kept;
          if (!isWhole(entry, tokens)) break;
        }
        if (cached > 0) held.set(name, { cached, sendable });
      }
      return held;
    },
    forget(name) {
      const holder = holders.get(name);
      if (!holder) return;
      holder.entries.clear();
      holder.tokens = 0;
    },
  };
}
