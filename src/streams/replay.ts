import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { ReplayWindowError } from '../base/errors.js';
import { type Chunk } from '../gen/cicadatide/v1/agent_pb.js';

/**
 * Buffers the numbered chunks of one attempt so that readers can resume after a lost connection.
 * Chunks that all readers have received are dropped once they are outside the window.
 */
export interface ReplayBuffer {
  readonly lastSeq: number;
  /** Sequence number of the oldest buffered chunk. */
  readonly firstSeq: number;
  /** True once a terminal chunk was appended. */
  readonly hasEnded: boolean;
  /** True once a failure was appended. */
  readonly hasFailed: boolean;

  readonly readerCount: number;
  append(part: Chunk['part']): void;
  /**
   * Reads the chunks after a sequence number until the terminal one, with a progress chunk at the
   * start and one in each interval without a numbered chunk. Rejects with ReplayWindowError when
   * the buffer does not contain the chunks after that number.
   */
  read(afterSeq: number, token: CancellationToken): AsyncIterable<Chunk>;
  /** Resolves when the slowest reader is fewer than `limit` chunks behind the writer. */
  waitForRoom(limit: number, token: CancellationToken): Promise<void>;
}

/** Without a clock no periodic progress chunks are sent. */
export interface ReplayOptions {
  readonly clock?: Clock;
  /** Returns the contents of a progress chunk. */
  readonly progress?: () => Chunk['part'];
  /** Chunks that earlier attempts delivered; the sequence numbers of this attempt follow theirs. */
  readonly delivered?: readonly Chunk[];
  /** Minimum number of chunks that are kept behind the slowest reader. */
  readonly windowChunks?: number;
}

/** A few seconds of one stream at usual speeds, for callers that lose their entry. */
const defaultWindowChunks = 256;

/** Readers time out after 2 s without a message, so several are sent in that time. */
export const progressIntervalMs = 500;

export function createReplayBuffer(
  requestId: string,
  attempt: number,
  toChunk: (fields: { seq: number; part: Chunk['part'] }) => Chunk,
  options: ReplayOptions = {},
): ReplayBuffer {
  const { clock, progress, delivered = [], windowChunks = defaultWindowChunks } = options;
  // Rebuilt with this attempt's number, because readers drop chunks of other attempts.
  const chunks = delivered.map(({ seq, part }) => toChunk({ seq, part }));
  const waiters = new Set<() => void>();
  const readerPositions = new Set<{ seq: number }>();
  let firstSeq = chunks[0]?.seq ?? 1;
  let lastSeq = chunks.at(-1)?.seq ?? 0;
  /** Final position of the last reader that closed; used while there is no reader. */
  let lastReaderSeq = lastSeq;
  let terminal: 'end' | 'failure' | undefined;

  const notifyWaiters = (): void => {
    const waiting = [...waiters];
    waiters.clear();
    for (const notify of waiting) notify();
  };

  const slowestSeq = (): number => {
    if (readerPositions.size === 0) return lastReaderSeq;
    let slowest = lastSeq;
    for (const { seq } of readerPositions) slowest = Math.min(slowest, seq);
    return slowest;
  };

  const dropOldChunks = (): void => {
    const excess = slowestSeq() - windowChunks - firstSeq + 1;
    // Dropping chunks in batches keeps the cost per chunk constant.
    if (excess < windowChunks / 2) return;
    chunks.splice(0, excess);
    firstSeq += excess;
  };

  const waitForChange = (token: CancellationToken, timeoutMs?: number): Promise<void> =>
    new Promise((resolve) => {
      const registration = token.onCancellationRequested(notifyWaiters);
      const state: { notify?: () => void } = {};
      const timer =
        timeoutMs === undefined ? undefined : clock?.setTimer(timeoutMs, () => state.notify?.());
      state.notify = () => {
        waiters.delete(state.notify as () => void);
        timer?.dispose();
        registration.dispose();
        resolve();
      };
      waiters.add(state.notify);
      if (token.isCancellationRequested) state.notify();
    });

  const progressChunk = (): Chunk | undefined =>
    progress && toChunk({ seq: lastSeq, part: progress() });

  async function* read(afterSeq: number, token: CancellationToken): AsyncGenerator<Chunk> {
    if (afterSeq < firstSeq - 1 || afterSeq > lastSeq) {
      throw new ReplayWindowError(
        `request ${requestId} keeps chunks ${firstSeq} to ${lastSeq} of attempt ${attempt}`,
      );
    }
    const position = { seq: afterSeq };
    readerPositions.add(position);
    let idleSince = clock?.now() ?? 0;
    try {
      const first = progressChunk();
      if (first) yield first;
      while (!token.isCancellationRequested) {
        const chunk = chunks[position.seq + 1 - firstSeq];
        if (chunk) {
          yield chunk;
          position.seq += 1;
          dropOldChunks();
          idleSince = clock?.now() ?? 0;
          notifyWaiters();
          continue;
        }
        if (terminal) return;
        const idleMs = clock ? clock.now() - idleSince : 0;
        // At least 1 ms: a wait that is too short to advance a simulated clock would repeat forever.
        await waitForChange(token, Math.max(1, progressIntervalMs - idleMs));
        if (!clock || terminal || clock.now() - idleSince < progressIntervalMs) continue;
        idleSince = clock.now();
        const idleProgress = progressChunk();
        if (idleProgress) yield idleProgress;
      }
    } finally {
      readerPositions.delete(position);
      if (readerPositions.size === 0) lastReaderSeq = position.seq;
      notifyWaiters();
    }
  }

  return {
    get lastSeq() {
      return lastSeq;
    },
    get firstSeq() {
      return firstSeq;
    },
    get hasEnded() {
      return terminal !== undefined;
    },
    get hasFailed() {
      return terminal === 'failure';
    },
    get readerCount() {
      return readerPositions.size;
    },
    append(part) {
      if (terminal) return;
      lastSeq += 1;
      chunks.push(toChunk({ seq: lastSeq, part }));
      if (part.case === 'end' || part.case === 'failure') terminal = part.case;
      notifyWaiters();
    },
    read,
    async waitForRoom(limit, token) {
      while (lastSeq - slowestSeq() >= limit) {
        token.throwIfCancelled();
        await waitForChange(token);
      }
    },
  };
}
