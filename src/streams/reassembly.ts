import { type Chunk } from '../gen/cicadatide/v1/agent_pb.js';

/** Restores the order of the numbered chunks of one attempt and drops duplicates. */
export interface Reassembly {
  /** Sequence number of the last released chunk. */
  readonly lastSeq: number;
  /**
   * Adds a received chunk and returns the chunks that are now in order. Chunks of other requests or
   * attempts, duplicates and progress chunks release nothing.
   */
  accept(chunk: Chunk): readonly Chunk[];
  /** True when the chunk is from this attempt, has `lastSeq` and no chunk is pending. */
  isUpToDate(chunk: Chunk): boolean;
  /** Discards the chunks that wait for a missing one; the resumed stream sends them again. */
  clearPending(): void;
}

/** Chunks that may wait for a missing one; later ones are dropped and sent again after a resume. */
const maxPendingChunks = 256;

export function createReassembly(requestId: string, attempt: number, afterSeq: number): Reassembly {
  const pending = new Map<number, Chunk>();
  let lastSeq = afterSeq;

  const isFromAttempt = (chunk: Chunk): boolean =>
    chunk.requestId === requestId && chunk.attempt === attempt;

  return {
    get lastSeq() {
      return lastSeq;
    },
    accept(chunk) {
      const isNumbered = chunk.part.case !== undefined && chunk.part.case !== 'progress';
      if (!isFromAttempt(chunk) || !isNumbered || chunk.seq <= lastSeq) return [];
      if (chunk.seq > lastSeq + maxPendingChunks) return [];
      pending.set(chunk.seq, chunk);
      const released: Chunk[] = [];
      for (let next = pending.get(lastSeq + 1); next; next = pending.get(lastSeq + 1)) {
        pending.delete(next.seq);
        lastSeq = next.seq;
        released.push(next);
      }
      return released;
    },
    isUpToDate: (chunk) => isFromAttempt(chunk) && chunk.seq === lastSeq && pending.size === 0,
    clearPending: () => pending.clear(),
  };
}
