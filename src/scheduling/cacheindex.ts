/** Index of the blocks that one incarnation of an engine caches. */
import { type CacheEvent } from '../ports/engine.js';
import { createBlockSet } from './blockset.js';

/** Blocks that the engine's current incarnation caches, as reported by its cache events. */
export interface CacheIndex {
  readonly size: number;
  /**
   * Applies an event. A gap, a new incarnation or new weights clear the index first. Ignores events
   * of an earlier incarnation or of replaced weights, and events and snapshots older than the
   * index. Returns true after a gap: the index is then incomplete until it receives a snapshot.
   */
  apply(event: CacheEvent): boolean;
  /**
   * Sets the incarnation and weights from the engine's state; a change clears the index. An earlier
   * incarnation is ignored.
   */
  setIncarnation(incarnation: string, weightsVersion: string): void;
  /** Removes all blocks, for example after an interruption of the event stream. */
  clear(): void;
  /** Returns the greatest depth up to which all given blocks are cached, or 0. */
  cachedDepth(hashes: readonly bigint[], depths: readonly number[]): number;
  has(hash: bigint): boolean;
}

export interface CacheIndexOptions {
  /** Called with each block that an event reports as evicted. */
  readonly onEvicted?: (hash: bigint) => void;
  /** Called after a change of incarnation or weights. */
  readonly onReplaced?: () => void;
}

/** Earlier incarnations to remember; only the last few can still send late events. */
const maxEarlierIncarnations = 16;

/** Sequence number while the position in the event stream is unknown. */
const unknownSeq = -1;

export function createCacheIndex(options: CacheIndexOptions = {}): CacheIndex {
  const { onEvicted, onReplaced } = options;
  const blocks = createBlockSet();
  const earlierIncarnations = new Set<string>();
  let incarnation = '';
  let weightsVersion = '';
  let previousWeightsVersion: string | undefined;
  let lastSeq = unknownSeq;

  const switchTo = (nextIncarnation: string, nextVersion: string): void => {
    const hasNewIncarnation = nextIncarnation !== incarnation;
    if (hasNewIncarnation) {
      if (incarnation) earlierIncarnations.add(incarnation);
      for (const oldest of earlierIncarnations) {
        if (earlierIncarnations.size <= maxEarlierIncarnations) break;
        earlierIncarnations.delete(oldest);
      }
      lastSeq = unknownSeq;
    }
    previousWeightsVersion = hasNewIncarnation ? undefined : weightsVersion;
    incarnation = nextIncarnation;
    weightsVersion = nextVersion;
    blocks.clear();
    onReplaced?.();
  };

  return {
    get size() {
      return blocks.size;
    },
    apply(event) {
      if (earlierIncarnations.has(event.incarnation)) return false;
      const { snapshot = false } = event;
      let hasGap = false;
      if (event.incarnation !== incarnation) switchTo(event.incarnation, event.weightsVersion);
      else if (snapshot ? event.seq < lastSeq : event.seq <= lastSeq) return false;
      else if (snapshot && !event.cleared && event.seq !== lastSeq) return false;
      else if (!snapshot && lastSeq !== unknownSeq && event.seq !== lastSeq + 1) {
        hasGap = true;
        blocks.clear();
      }
      lastSeq = event.seq;
      // The state can report new weights before all events of the old weights have arrived.
      if (event.weightsVersion === previousWeightsVersion) return hasGap;
      if (event.weightsVersion !== weightsVersion) switchTo(incarnation, event.weightsVersion);
      if (event.cleared) blocks.clear();
      for (const hash of event.evicted) {
        blocks.delete(hash);
        onEvicted?.(hash);
      }
      for (const hash of event.stored) blocks.add(hash);
      return hasGap;
    },
    setIncarnation(nextIncarnation, nextVersion) {
      if (earlierIncarnations.has(nextIncarnation)) return;
      const isUnchanged = nextIncarnation === incarnation && nextVersion === weightsVersion;
      if (!isUnchanged) switchTo(nextIncarnation, nextVersion);
    },
    // Keeps `lastSeq`, so that events from before the interruption are recognised as late.
    clear: () => blocks.clear(),
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
