/** Prompt part that several requests may share, by a hash of its salt and id. */
export interface SharedPart {
  readonly hash: number;
  readonly tokens: number;
}

/** Memory of one or more requests at one engine, in tokens. */
export interface MemoryUse {
  /** Parts that are in memory once for all requests which use them. */
  readonly shared: readonly SharedPart[];
  /** Tokens that belong to these requests alone: the rest of the prompts, and the output. */
  readonly ownTokens: number;
  /** Those of the own tokens that are not parts which the cache model records. */
  readonly unlistedTokens: number;
}

/** Sums the memory uses of one engine. */
export interface MemoryLedger {
  readonly heldTokens: number;
  readonly unlistedTokens: number;
  readonly isEmpty: boolean;
  /** Shared parts in memory, for the hints. */
  readonly parts: readonly SharedPart[];
  /** Tokens that a use would add to those held. */
  addedTokens(use: MemoryUse): number;
  add(use: MemoryUse): void;
  /** Removes a use that was added before. */
  remove(use: MemoryUse): void;
}

interface CountedPart {
  readonly tokens: number;
  count: number;
}

export function createMemoryLedger(): MemoryLedger {
  const parts = new Map<number, CountedPart>();
  let uses = 0;
  let sharedTokens = 0;
  let ownTokens = 0;
  let unlistedTokens = 0;

  return {
    get heldTokens() {
      return sharedTokens + ownTokens;
    },
    get unlistedTokens() {
      return unlistedTokens;
    },
    get isEmpty() {
      return uses === 0;
    },
    get parts() {
      return [...parts].map(([hash, { tokens }]) => ({ hash, tokens }));
    },
    addedTokens(use) {
      let total = use.ownTokens;
      for (const { hash, tokens } of use.shared) if (!parts.has(hash)) total += tokens;
      return total;
    },
    add(use) {
      uses += 1;
      ownTokens += use.ownTokens;
      unlistedTokens += use.unlistedTokens;
      for (const { hash, tokens } of use.shared) {
        const known = parts.get(hash);
        if (known) {
          known.count += 1;
          continue;
        }
        parts.set(hash, { tokens, count: 1 });
        sharedTokens += tokens;
      }
    },
    remove(use) {
      uses -= 1;
      ownTokens -= use.ownTokens;
      unlistedTokens -= use.unlistedTokens;
      for (const { hash } of use.shared) {
        const known = parts.get(hash);
        if (!known) continue;
        known.count -= 1;
        if (known.count > 0) continue;
        parts.delete(hash);
        sharedTokens -= known.tokens;
      }
    },
  };
}
