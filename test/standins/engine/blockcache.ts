/** Prefix cache of limited size with LRU eviction; pinned blocks are never evicted. */
export interface BlockCache {
  readonly size: number;
  readonly hashes: readonly bigint[];
  has(hash: bigint): boolean;
  /** Owner given when the block was stored. */
  ownerOf(hash: bigint): string | undefined;
  /** Number of leading blocks that are cached. */
  cachedDepth(hashes: readonly bigint[]): number;
  /** Prevents eviction of a cached block until it is released as often as it was pinned. */
  pin(hash: bigint): void;
  /** Unpins the blocks of a chain; later blocks are evicted before earlier ones. */
  release(hashes: readonly bigint[]): void;
  /** Stores and pins a block; returns false when the cache is full of pinned blocks. */
  store(hash: bigint, owner: string): boolean;
  clear(): void;
  /** Returns the changes since the previous call. */
  takeChanges(): { readonly stored: readonly bigint[]; readonly evicted: readonly bigint[] };
}

interface Block {
  readonly owner: string;
  pins: number;
}

export function createBlockCache(capacity: number): BlockCache {
  const blocks = new Map<bigint, Block>();
  /** Blocks without pins, least recently used first. */
  const idle = new Set<bigint>();
  let stored: bigint[] = [];
  let evicted: bigint[] = [];

  const pin = (hash: bigint): void => {
    const block = blocks.get(hash);
    if (!block) return;
    block.pins += 1;
    idle.delete(hash);
  };

  return {
    get size() {
      return blocks.size;
    },
    get hashes() {
      return [...blocks.keys()];
    },
    has: (hash) => blocks.has(hash),
    ownerOf: (hash) => blocks.get(hash)?.owner,
    cachedDepth(hashes) {
      let depth = 0;
      while (depth < hashes.length && blocks.has(hashes[depth] as bigint)) depth += 1;
      return depth;
    },
    pin,
    release(hashes) {
      for (let index = hashes.length - 1; index >= 0; index -= 1) {
        const hash = hashes[index] as bigint;
        const block = blocks.get(hash);
        if (!block || block.pins === 0) continue;
        block.pins -= 1;
        if (block.pins === 0) idle.add(hash);
      }
    },
    store(hash, owner) {
      if (blocks.has(hash)) {
        pin(hash);
        return true;
      }
      if (blocks.size >= capacity) {
        const [oldest] = idle;
        if (oldest === undefined) return false;
        idle.delete(oldest);
        blocks.delete(oldest);
        evicted.push(oldest);
      }
      blocks.set(hash, { owner, pins: 1 });
      stored.push(hash);
      return true;
    },
    clear() {
      blocks.clear();
      idle.clear();
      stored = [];
      evicted = [];
    },
    takeChanges() {
      const changes = { stored: stored.filter((hash) => blocks.has(hash)), evicted };
      stored = [];
      evicted = [];
      return changes;
    },
  };
}
