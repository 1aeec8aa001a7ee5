import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { ReplayWindowError } from '../base/errors.js';
import { type Chunk } from '../gen/cicadatide/v1/agent_pb.js';

/**
 * Numbered chunks of one attempt, kept so that readers can resume after a lost connection. Chunks
 * that all readers have taken are dropped once they are further back than the window.
 */
export interface ReplayBuffer {
  readonly lastSeq: number;
  /** Number of the oldest chunk that is still kept. */
  readonly firstSeq: number;
  /** True once a terminal chunk was appended. */
  readonly ended: boolean;
  /** True once a failure was appended. */
  readonly failed: boolean;
  /** Number of current readers. */
  readonly readers: number;
  append(part: Chunk['part']): void;
  /**
   * Reads the chunks after a sequence number until the terminal one, with a progress chunk at the
   * start and one in each interval without a numbered chunk. Rejects with ReplayWindowError when
   * the chunk after that number is not kept any more.
   */
  read(afterSeq: number, token: CancellationToken): AsyncIterable<Chunk>;
  /** Resolves when the slowest reader is fewer than `limit` chunks behind. */
  waitForRoom(limit: number, token: CancellationToken): Promise<void>;
}

/** Options of a replay buffer; without a clock no progress chunks are sent. */
export interface ReplayOptions {
  readonly clock?: Clock;
  /** Contents of progress chunks. */
  readonly progress?: () => Chunk['part'];
  /** Chunks that earlier attempts delivered; the numbers of this attempt follow them. */
  readonly delivered?: readonly Chunk[];
  /** Chunks that are kept behind the slowest reader. */
  readonly window?: number;
}

/** Kept for a caller that lost its entry: a few seconds of one stream at usual speeds. */
const defaultWindow = 256;

/** A reader counts 2 s without a message as silence, so several are sent in that time. */
export const progressIntervalMs = 500;

export function createReplayBuffer(
  requestId: string,
  attempt: number,
  toChunk: (fields: { seq: number; part: Chunk['part'] }) => Chunk,
  options: ReplayOptions = {},
): ReplayBuffer {
  const { clock, progress, delivered = [], window = defaultWindow } = options;
  // Rebuilt with the numbers of this attempt, because readers drop chunks of other attempts.
  const chunks = delivered.map(({ seq, part }) => toChunk({ seq, part }));
  const waiters = new Set<() => void>();
  const positions = new Set<{ seq: number }>();
  let firstSeq = chunks[0]?.seq ?? 1;
  let lastSeq = chunks.at(-1)?.seq ?? 0;
  /** Position of the reader that left last. It holds while there is no reader. */
  let leftSeq = lastSeq;
  let terminal: 'end' | 'failure' | undefined;

  const wakeAll = (): void => {
    const waiting = [...waiters];
    waiters.clear();
    for (const wake of waiting) wake();
  };

  const slowestSeq = (): number => {
    if (positions.size === 0) return leftSeq;
    let slowest = lastSeq;
    for (const { seq } of positions) slowest = Math.min(slowest, seq);
    return slowest;
  };

  const trim = (): void => {
    const excess = slowestSeq() - window - firstSeq + 1;
    // Dropping in groups keeps the cost per chunk constant.
    if (excess < window / 2) return;
    chunks.splice(0, excess);
    firstSeq += excess;
  };

  const waitForChange = (token: CancellationToken, timeoutMs?: number): Promise<void> =>
    new Promise((resolve) => {
      const link = token.onCancellationRequested(wakeAll);
      const state: { wake?: () => void } = {};
      const timer =
        timeoutMs === undefined ? undefined : clock?.setTimer(timeoutMs, () => state.wake?.());
      state.wake = () => {
        waiters.delete(state.wake as () => void);
        timer?.dispose();
        link.dispose();
        resolve();
      };
      waiters.add(state.wake);
      if (token.isCancellationRequested) state.wake();
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
    positions.add(position);
    let quietSince = clock?.now() ?? 0;
    try {
      const first = progressChunk();
      if (first) yield first;
      while (!token.isCancellationRequested) {
        const chunk = chunks[position.seq + 1 - firstSeq];
        if (chunk) {
          yield chunk;
          position.seq += 1;
          trim();
          quietSince = clock?.now() ?? 0;
          wakeAll();
          continue;
        }
        if (terminal) return;
        const quietMs = clock ? clock.now() - quietSince : 0;
        // A wait below the precision of the clock would never end on a clock that stands still.
        await waitForChange(token, Math.max(1, progressIntervalMs - quietMs));
        if (!clock || terminal || clock.now() - quietSince < progressIntervalMs) continue;
        quietSince = clock.now();
        const quiet = progressChunk();
        if (quiet) yield quiet;
      }
    } finally {
      positions.delete(position);
      if (positions.size === 0) leftSeq = position.seq;
      wakeAll();
    }
  }

  return {
    get lastSeq() {
      return lastSeq;
    },
    get firstSeq() {
      return firstSeq;
    },
    get ended() {
      return terminal !== undefined;
    },
    get failed() {
      return terminal === 'failure';
    },
    get readers() {
      return positions.size;
    },
    append(part) {
      if (terminal) return;
      lastSeq += 1;
      chunks.push(toChunk({ seq: lastSeq, part }));
      if (part.case === 'end' || part.case === 'failure') terminal = part.case;
      wakeAll();
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
