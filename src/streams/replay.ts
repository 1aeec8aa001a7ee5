import { type CancellationToken } from '../base/cancellation.js';
import { type Chunk } from '../gen/cicadatide/v1/agent_pb.js';

/** Numbered chunks of one attempt, kept so that a reader can resume after a lost connection. */
export interface ReplayBuffer {
  readonly lastSeq: number;
  /** True once a terminal chunk was appended. */
  readonly ended: boolean;
  /** Number of current readers. */
  readonly readers: number;
  append(part: Chunk['part']): void;
  /** Reads the chunks after a sequence number until the terminal one. */
  read(afterSeq: number, token: CancellationToken): AsyncIterable<Chunk>;
  /** Resolves when the slowest reader is fewer than `limit` chunks behind. */
  waitForRoom(limit: number, token: CancellationToken): Promise<void>;
}

export function createReplayBuffer(
  requestId: string,
  attempt: number,
  toChunk: (fields: { seq: number; part: Chunk['part'] }) => Chunk,
): ReplayBuffer {
  const chunks: Chunk[] = [];
  const waiters = new Set<() => void>();
  let ended = false;
  let readers = 0;
  let readSeq = 0;

  const wakeAll = (): void => {
    const waiting = [...waiters];
    waiters.clear();
    for (const wake of waiting) wake();
  };

  const waitForChange = (token: CancellationToken): Promise<void> =>
    new Promise((resolve) => {
      const link = token.onCancellationRequested(wakeAll);
      waiters.add(() => {
        link.dispose();
        resolve();
      });
    });

  async function* read(afterSeq: number, token: CancellationToken): AsyncGenerator<Chunk> {
    readers += 1;
    let next = afterSeq;
    try {
      while (!token.isCancellationRequested) {
        const chunk = chunks[next];
        if (chunk) {
          next += 1;
          readSeq = Math.max(readSeq, next);
          wakeAll();
          yield chunk;
          continue;
        }
        if (ended) return;
        await waitForChange(token);
      }
    } finally {
      readers -= 1;
      wakeAll();
    }
  }

  return {
    get lastSeq() {
      return chunks.length;
    },
    get ended() {
      return ended;
    },
    get readers() {
      return readers;
    },
    append(part) {
      if (ended) return;
      chunks.push(toChunk({ seq: chunks.length + 1, part }));
      if (part.case === 'end' || part.case === 'failure') ended = true;
      wakeAll();
    },
    read,
    async waitForRoom(limit, token) {
      while (chunks.length - readSeq >= limit) {
        token.throwIfCancelled();
        await waitForChange(token);
      }
    },
  };
}
