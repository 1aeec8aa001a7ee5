/** Prefixes that running requests compute and that the engine will then have in its cache. */
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';

/** Prefix of one running request; disposing it before `markComputed` means a failed request. */
export interface PendingPrefix extends Disposable {
  /** Records that the prefill ended: the blocks are cached, though no event has reported them. */
  markComputed(): void;
}

/** Length of the prefix of a prompt that is cached or being computed, in blocks. */
export interface PrefixCoverage {
  /** Depth that is cached now. */
  readonly cachedDepth: number;
  /** Depth that will be cached once the running computations end; at least `cachedDepth`. */
  readonly pendingDepth: number;
  /** Time at which the pending depth is expected to be cached. */
  readonly readyAt: number;
}

/** Prefixes under computation on the engine's current incarnation. */
export interface PendingPrefixes {
  /** Changes whenever a prefix is added, computed or removed, but not in `evict`. */
  readonly version: number;
  /** Records the blocks that a request that starts now will store. */
  add(hashes: readonly bigint[], readyAt: number): PendingPrefix;
  /** Returns the coverage of a sampled chain; without depths, `hashes` has every block. */
  coverageOf(
    hashes: readonly bigint[],
    depths: readonly number[] | undefined,
    isCached: (hash: bigint) => boolean,
  ): PrefixCoverage;
  /** Removes a computed block that an event reports as evicted. */
  evict(hash: bigint): void;
  /** Removes everything, when the incarnation or weights change or the engine is not reachable. */
  clear(): void;
}

/** Time after a prefill in which its cache event is expected; events arrive late. */
const eventDelayMs = 1_000;

/** Requests do not wait for a computation that exceeds this multiple of its estimate. */
const overdueFactor = 2;

interface PrefixComputation {
  readonly hashes: readonly bigint[];
  readonly readyAt: number;
  /** From this time on, a computation that has not ended is ignored. */
  readonly overdueAt: number;
  isComputed: boolean;
}

export function createPendingPrefixes(clock: Clock): PendingPrefixes {
  const computations = new Set<PrefixComputation>();
  const computationByHash = new Map<bigint, PrefixComputation>();
  let version = 0;

  const register = (computation: PrefixComputation): void => {
    for (const hash of computation.hashes)
      if (!computationByHash.has(hash)) computationByHash.set(hash, computation);
  };

  const remove = (computation: PrefixComputation): void => {
    if (!computations.delete(computation)) return;
    version += 1;
    for (const hash of computation.hashes)
      if (computationByHash.get(hash) === computation) computationByHash.delete(hash);
    // Other requests may be computing some of the same blocks.
    for (const other of computations) if (!other.isComputed) register(other);
  };

  return {
    get version() {
      return version;
    },
    add(hashes, readyAt) {
      const now = clock.now();
      const overdueAt = now + (readyAt - now) * overdueFactor;
      const computation: PrefixComputation = { hashes, readyAt, overdueAt, isComputed: false };
      computations.add(computation);
      register(computation);
      version += 1;
      return {
        markComputed() {
          if (computation.isComputed || !computations.has(computation)) return;
          computation.isComputed = true;
          version += 1;
          clock.setTimer(eventDelayMs, () => remove(computation));
        },
        dispose() {
          if (!computation.isComputed) remove(computation);
        },
      };
    },
    coverageOf(hashes, depths, isCached) {
      const now = clock.now();
      let cachedDepth = 0;
      let pendingDepth = 0;
      let readyAt = now;
      for (const [index, hash] of hashes.entries()) {
        const depth = depths ? (depths[index] ?? 0) : index + 1;
        if (isCached(hash)) {
          if (cachedDepth === pendingDepth) cachedDepth = depth;
          pendingDepth = depth;
          continue;
        }
        const computation = computationByHash.get(hash);
        if (!computation) break;
        if (computation.isComputed) {
          if (cachedDepth === pendingDepth) cachedDepth = depth;
        } else {
          if (now >= computation.overdueAt) break;
          readyAt = Math.max(readyAt, computation.readyAt);
        }
        pendingDepth = depth;
      }
      return { cachedDepth, pendingDepth, readyAt };
    },
    evict(hash) {
      if (computationByHash.get(hash)?.isComputed) computationByHash.delete(hash);
    },
    clear() {
      computations.clear();
      computationByHash.clear();
      version += 1;
    },
  };
}
