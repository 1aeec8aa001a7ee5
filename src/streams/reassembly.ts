import { type Chunk } from '../gen/cicadatide/v1/agent_pb.js';

/** Puts the numbered chunks of one attempt back in order; each is taken once. */
export interface Reassembly {
  /** Number of the newest chunk that was released in order. */
  readonly lastSeq: number;
  /**
   * Takes one received chunk and returns those that are now in order. Chunks of other requests or
   * attempts, duplicates and progress chunks release nothing.
   */
  accept(chunk: Chunk): readonly Chunk[];
  /** True when a chunk shows that the sender lives and that nothing from it is missing. */
  isCurrent(chunk: Chunk): boolean;
  /** Forgets chunks that wait for a missing one; the resumed stream sends them again. */
  restart(): void;
}

/** Chunks that may wait for a missing one; later ones are dropped and come with a resume. */
const maxWaiting = 256;

export function createReassembly(requestId: string, attempt: number, afterSeq: number): Reassembly {
  const waiting = new Map<number, Chunk>();
  let lastSeq = afterSeq;

  const isOwn = (chunk: Chunk): boolean =>
    chunk.requestId === requestId && chunk.attempt === attempt;

  return {
    get lastSeq() {
      return lastSeq;
    },
    accept(chunk) {
      const isNumbered = chunk.part.case !== undefined && chunk.part.case !== 'progress';
      if (!isOwn(chunk) || !isNumbered || chunk.seq <= lastSeq) return [];
      if (chunk.seq > lastSeq + maxWaiting) return [];
      waiting.set(chunk.seq, chunk);
      const released: Chunk[] = [];
      for (let next = waiting.get(lastSeq + 1); next; next = waiting.get(lastSeq + 1)) {
        waiting.delete(next.seq);
        lastSeq = next.seq;
        released.push(next);
      }
      return released;
    },
    isCurrent: (chunk) => isOwn(chunk) && chunk.seq === lastSeq && waiting.size === 0,
    restart: () => waiting.clear(),
  };
}
