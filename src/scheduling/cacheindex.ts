/** Index of the blocks that one incarnation of an engine caches. */
import { type CacheEvent } from '../ports/engine.js';
import { createBlockSet } from './blockset.js';

/** Blocks that the engine's current incarnation holds, as far as its events vouch for them. */
export interface CacheIndex {
  readonly size: number;
  /**
   * Applies an event. A gap, a new incarnation or new weights clear the index first; events of an
   * earlier incarnation or of replaced weights change nothing, nor does a snapshot that is older
   * than the index. Returns true after a gap: the index then lacks blocks until a snapshot comes.
   */
  apply(event: CacheEvent): boolean;
  /** Records what the engine's state says; a change clears the index. */
  setIncarnation(incarnation: string, weightsVersion: string): void;
  /** Forgets all blocks, for example when the event stream was interrupted. */
  clear(): void;
  /** Returns the greatest of the depths up to which all given blocks are cached, or 0. */
  cachedDepth(hashes: readonly bigint[], depths: readonly number[]): number;
  has(hash: bigint): boolean;
}

export interface CacheIndexOptions {
  /** Called with each block that an event reports as evicted. */
  readonly onEvicted?: (hash: bigint) => void;
  /** Called after a change of incarnation or weights. */
  readonly onReplaced?: () => void;
}

/** Earlier incarnations to recognise; late events come from the last few only. */
const maxEarlierIncarnations = 16;

/** Sequence number while the position in the event stream is not known. */
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
      // The state can name new weights before the events of the old ones have all arrived.
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
    // The position stays, so that an event from before the interruption is known as late.
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
