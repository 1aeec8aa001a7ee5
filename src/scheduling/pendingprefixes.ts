/** Prefixes that running requests are computing and will leave in the engine's cache. */
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';

/** Prefix of one running request. Disposing it before `done` means that the request failed. */
export interface PendingPrefix extends Disposable {
  /** Records that the prefill ended, so the blocks are cached though no event says so yet. */
  done(): void;
}

/** How far a prompt is covered, in blocks. */
export interface PrefixCover {
  /** Depth that is cached now. */
  readonly cached: number;
  /** Depth that will be cached once the running computations end; at least `cached`. */
  readonly pending: number;
  /** Time at which the pending depth is expected to be cached. */
  readonly readyAt: number;
}

/** Prefixes under computation on the engine's current incarnation. */
export interface PendingPrefixes {
  /** Changes whenever a prefix is added, done or dropped. */
  readonly version: number;
  /** Records the blocks that a request that starts now will store. */
  add(hashes: readonly bigint[], readyAt: number): PendingPrefix;
  /** Covers a sampled chain; without depths every block of the chain is given. */
  cover(
    hashes: readonly bigint[],
    depths: readonly number[] | undefined,
    isCached: (hash: bigint) => boolean,
  ): PrefixCover;
  /** Drops a finished block that an event reports as evicted. */
  evict(hash: bigint): void;
  /** Drops everything, when the incarnation or its weights change. */
  clear(): void;
}

/** Time after the prefill in which the cache event is expected; events arrive late. */
const eventLagMs = 1_000;

/** A computation that takes longer than this multiple of its estimate is not waited for. */
const overdueFactor = 2;

interface Entry {
  readonly hashes: readonly bigint[];
  readonly readyAt: number;
  /** From this time on, nothing relies on a computation that has not ended. */
  readonly overdueAt: number;
  done: boolean;
}

export function createPendingPrefixes(clock: Clock): PendingPrefixes {
  const entries = new Set<Entry>();
  const owners = new Map<bigint, Entry>();
  let version = 0;

  const own = (entry: Entry): void => {
    for (const hash of entry.hashes) if (!owners.has(hash)) owners.set(hash, entry);
  };

  const drop = (entry: Entry): void => {
    if (!entries.delete(entry)) return;
    version += 1;
    for (const hash of entry.hashes) if (owners.get(hash) === entry) owners.delete(hash);
    // Other requests may be computing some of the same blocks.
    for (const other of entries) if (!other.done) own(other);
  };

  return {
    get version() {
      return version;
    },
    add(hashes, readyAt) {
      const now = clock.now();
      const overdueAt = now + (readyAt - now) * overdueFactor;
      const entry: Entry = { hashes, readyAt, overdueAt, done: false };
      entries.add(entry);
      own(entry);
      version += 1;
      return {
        done() {
          if (entry.done || !entries.has(entry)) return;
          entry.done = true;
          version += 1;
          clock.setTimer(eventLagMs, () => drop(entry));
        },
        dispose() {
          if (!entry.done) drop(entry);
        },
      };
    },
    cover(hashes, depths, isCached) {
      const now = clock.now();
      let cached = 0;
      let pending = 0;
      let readyAt = now;
      for (const [index, hash] of hashes.entries()) {
        const depth = depths ? (depths[index] ?? 0) : index + 1;
        if (isCached(hash)) {
          if (cached === pending) cached = depth;
          pending = depth;
          continue;
        }
        const owner = owners.get(hash);
        if (!owner) break;
        if (owner.done) {
          if (cached === pending) cached = depth;
        } else {
          if (now >= owner.overdueAt) break;
          readyAt = Math.max(readyAt, owner.readyAt);
        }
        pending = depth;
      }
      return { cached, pending, readyAt };
    },
    evict(hash) {
      if (owners.get(hash)?.done) owners.delete(hash);
    },
    clear() {
      entries.clear();
      owners.clear();
      version += 1;
    },
  };
}
