import { blockTokens } from '../../src/routing/blocks.js';

/** Prompt of one request for which the lower bound is computed. */
export interface LowerBoundRequest {
  readonly hashes: readonly bigint[];
  /** Tokens after the last full block, which are always computed. */
  readonly tailTokens: number;
}

/** Returns for each access the index of the next access to the same block, or Infinity. */
function nextUses(accesses: readonly bigint[]): readonly number[] {
  const next = new Array<number>(accesses.length);
  const nextIndexOf = new Map<bigint, number>();
  for (let index = accesses.length - 1; index >= 0; index -= 1) {
    const hash = accesses[index] as bigint;
    next[index] = nextIndexOf.get(hash) ?? Infinity;
    nextIndexOf.set(hash, index);
  }
  return next;
}

function findFarthestNextUse(
  cached: ReadonlyMap<bigint, number>,
): readonly [bigint | undefined, number] {
  let hash: bigint | undefined;
  let use = -1;
  for (const [candidate, nextUse] of cached) {
    if (nextUse <= use) continue;
    hash = candidate;
    use = nextUse;
  }
  return [hash, use];
}

/**
 * Fewest misses of a cache with perfect knowledge of future accesses, which may skip caching a
 * block (Belady's MIN algorithm with bypass).
 */
export function leastMisses(
  accesses: readonly bigint[],
  capacity: number,
  initial: readonly bigint[] = [],
): number {
  const next = nextUses(accesses);
  const firstUse = new Map<bigint, number>();
  for (const [index, hash] of accesses.entries()) {
    if (!firstUse.has(hash)) firstUse.set(hash, index);
  }
  const reusedSoonest = [...new Set(initial)]
    .map((hash) => ({ hash, use: firstUse.get(hash) ?? Infinity }))
    .filter(({ use }) => use < Infinity)
    .sort((a, b) => a.use - b.use)
    .slice(0, capacity);
  const cached = new Map(reusedSoonest.map(({ hash, use }) => [hash, use]));
  let misses = 0;
  for (const [index, hash] of accesses.entries()) {
    const use = next[index] as number;
    if (cached.has(hash)) {
      cached.set(hash, use);
      continue;
    }
    misses += 1;
    if (use === Infinity) continue;
    if (cached.size >= capacity) {
      const [victim, victimUse] = findFarthestNextUse(cached);
      if (victim === undefined || victimUse <= use) continue;
      cached.delete(victim);
    }
    cached.set(hash, use);
  }
  return misses;
}

/**
 * Returns a lower bound on the prompt tokens that any placement must compute for a request
 * sequence.
 *
 * The caches of all engines are modelled as one cache of `capacity` blocks that evicts with
 * perfect knowledge of future accesses. It initially contains the warm-up blocks that are reused
 * soonest. Blocks count individually, although a real cache can use a block only together with
 * all blocks before it, and are available at once, although a real block must be computed first.
 * Each of these simplifications can only lower the count, so no router can do better with the
 * same total cache.
 */
export function leastRecomputedTokens(
  warmUp: readonly LowerBoundRequest[],
  measured: readonly LowerBoundRequest[],
  capacity: number,
): number {
  const accesses = measured.flatMap(({ hashes }) => hashes);
  const initial = warmUp.flatMap(({ hashes }) => hashes);
  const tails = measured.reduce((sum, request) => sum + request.tailTokens, 0);
  return leastMisses(accesses, capacity, initial) * blockTokens + tails;
}
