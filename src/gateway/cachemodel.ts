import { type Clock } from '../base/clock.js';
import { type PromptPart } from '../ports/wire.js';

/**
 * Models the prompt caches of engines and stores by the requests that all entries sent there. The
 * holders drop the least recently used parts, so a model with their capacity knows what is left
 * without asking them.
 */
export interface CacheModel {
  /** Sets the capacity of a holder in tokens; it keeps what it has. */
  setCapacity(holder: string, tokens: number): void;
  /** Records that a holder reads or receives these parts, in this order. */
  use(holder: string, salt: string, parts: readonly PromptPart[]): void;
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
  /** When the part was first sent to the holder. */
  readonly addedAt: number;
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

/** A prompt is read within this time of its arrival unless the engine is crowded. */
const readMs = 200;

export function createCacheModel(clock: Clock): CacheModel {
  const holders = new Map<string, Holder>();

  const holderOf = (name: string): Holder => {
    const known = holders.get(name);
    if (known) return known;
    const holder = { capacity: defaultCapacity * cachePart, tokens: 0, entries: new Map() };
    holders.set(name, holder);
    return holder;
  };

  const keyOf = (salt: string, partId: string): string => `${salt}/${partId}`;

  const trim = (holder: Holder): void => {
    for (const [key, { tokens }] of holder.entries) {
      if (holder.tokens <= holder.capacity) return;
      holder.entries.delete(key);
      holder.tokens -= tokens;
    }
  };

  return {
    setCapacity(name, tokens) {
      const holder = holderOf(name);
      holder.capacity = tokens * cachePart;
      trim(holder);
    },
    use(name, salt, parts) {
      const holder = holderOf(name);
      for (const { id, tokens } of parts) {
        const key = keyOf(salt, id);
        const known = holder.entries.get(key);
        // Inserted again, so that the map keeps the order of the last uses.
        if (known) holder.entries.delete(key);
        else holder.tokens += tokens;
        holder.entries.set(key, known ?? { tokens, addedAt: clock.now() });
      }
      trim(holder);
    },
    holding(salt, parts) {
      const keys = parts.map(({ id }) => keyOf(salt, id));
      const readBefore = clock.now() - readMs;
      const held = new Map<string, Held>();
      for (const [name, { entries }] of holders) {
        let cached = 0;
        let sendable = 0;
        let isRead = true;
        for (const [index, { tokens }] of parts.entries()) {
          const entry = entries.get(keys[index] as string);
          if (!entry) break;
          cached += tokens;
          isRead &&= entry.addedAt <= readBefore;
          if (isRead) sendable += tokens;
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
