import { type CacheEvent } from '../ports/engine.js';

/** Blocks that the engine's current incarnation holds, as far as its events vouch for them. */
export interface CacheIndex {
  readonly size: number;
  /** Applies an event; a gap, another incarnation or other weights clear the index first. */
  apply(event: CacheEvent): void;
  /** Forgets everything, for example when the event stream was interrupted. */
  clear(): void;
  /** Returns the greatest of the depths whose block is cached, or 0. */
  cachedDepth(hashes: readonly bigint[], depths: readonly number[]): number;
  has(hash: bigint): boolean;
}

export function createCacheIndex(): CacheIndex {
  const blocks = new Set<bigint>();
  let incarnation = '';
  let weightsVersion = '';
  let lastSeq = 0;

  return {
    get size() {
      return blocks.size;
    },
    apply(event) {
      const sameEngine =
        event.incarnation === incarnation && event.weightsVersion === weightsVersion;
      if (!sameEngine || event.seq !== lastSeq + 1) blocks.clear();
      if (sameEngine && event.seq <= lastSeq) return;
      incarnation = event.incarnation;
      weightsVersion = event.weightsVersion;
      lastSeq = event.seq;
      if (event.cleared) blocks.clear();
      for (const hash of event.evicted) blocks.delete(hash);
      for (const hash of event.stored) blocks.add(hash);
    },
    clear() {
      blocks.clear();
      incarnation = '';
      lastSeq = 0;
    },
    cachedDepth(hashes, depths) {
      let deepest = 0;
      for (const [index, hash] of hashes.entries()) {
        if (!blocks.has(hash)) return deepest;
        deepest = depths[index] ?? deepest;
      }
      return deepest;
    },
    has: (hash) => blocks.has(hash),
  };
}
