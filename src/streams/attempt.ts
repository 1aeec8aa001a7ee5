/**
 * Reads the streams of attempts at an entry. A stream that is interrupted or makes no progress is
 * resumed after its last chunk before the attempt fails; without progress the connection is closed
 * first, so that the stream resumes on a new one.
 */
import { Code, ConnectError } from '@connectrpc/connect';
import {
  type CancellationSource,
  type CancellationToken,
  createCancellationSource,
} from '../base/cancellation.js';
import { type Clock, sleep, systemClock, withTimeout } from '../base/clock.js';
import { isConnectionRefused } from '../base/connections.js';
import { type Chunk, type DispatchRequest } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentClient, type PeerConnection } from '../ports/agents.js';
import { createReassembly } from './reassembly.js';

/** Fields of a dispatch request that an entry sets. */
export type DispatchInit = Omit<DispatchRequest, '$typeName' | '$unknown'>;

/** A running attempt, and the sequence number after which its stream is read. */
export interface ResumeInit {
  readonly requestId: string;
  readonly attempt: number;
  readonly team: string;
  readonly afterSeq: number;
}

export interface StreamOptions {
  readonly clock?: Clock;
  /**
   * The request may run only once, so nothing else can serve it: a silent stream is resumed until the
   * token is cancelled or the agent rejects it.
   */
  readonly isOnlyRun?: boolean;
}

type AgentConnection = PeerConnection<AgentClient>;

type OpenStream = (signal: AbortSignal) => AsyncIterable<Chunk>;

/**
 * A connection counts as dead when a stream makes no progress for this time; agents send a progress
 * chunk every 500 ms.
 */
const progressTimeoutMs = 2_000;

/** Time for a resumed stream to make progress; a dead connection costs at most 3 s in total. */
const recoveryTimeoutMs = 1_000;

const retryDelayMs = 50;

const maxRetryDelayMs = 500;

/** Consecutive resumes without a new chunk; after one more interruption the attempt fails. */
const maxResumesWithoutChunk = 3;

/** Error codes for which a resume would fail again. */
const nonRetryableCodes: ReadonlySet<Code> = new Set([
  Code.NotFound,
  Code.OutOfRange,
  Code.FailedPrecondition,
  Code.InvalidArgument,
  Code.Unauthenticated,
]);

/** Time of the last reset by connection, so that a stream does not reset a newly opened one. */
const lastResetAt = new WeakMap<AgentConnection, number>();

function resetConnectionOnce(connection: AgentConnection, openedAt: number, clock: Clock): void {
  const last = lastResetAt.get(connection);
  if (last !== undefined && last >= openedAt) return;
  lastResetAt.set(connection, clock.now());
  connection.reset('a stream made no progress');
}

const noProgressError = (): ConnectError =>
  new ConnectError('no progress on the stream', Code.Unavailable);

/** Time for the sender to close a stream after its terminal chunk. */
const closeTimeoutMs = 1_000;

/**
 * Closes the call of a stream. After the terminal chunk this waits for the sender to close it,
 * because cancelling a finished call creates and discards several errors with stack traces.
 */
function closeStream(
  iterator: AsyncIterator<Chunk>,
  source: CancellationSource,
  hasEnded: boolean,
  clock: Clock,
): void {
  const abort = (): void => {
    source.cancel('stream closed');
    iterator.return?.(undefined)?.catch(() => undefined);
  };
  const close = async (): Promise<void> => {
    const last = await withTimeout(clock, closeTimeoutMs, iterator.next());
    if (!last?.done) abort();
    source.dispose();
  };
  if (hasEnded) {
    close().catch(() => undefined);
    return;
  }
  abort();
  source.dispose();
}

async function* streamChunks(
  connection: AgentConnection,
  init: ResumeInit,
  dispatch: OpenStream | undefined,
  token: CancellationToken,
  { clock = systemClock, isOnlyRun = false }: StreamOptions,
): AsyncGenerator<Chunk> {
  const { requestId, attempt, team } = init;
  const reassembly = createReassembly(requestId, attempt, init.afterSeq);
  const resume: OpenStream = (signal) =>
    connection.client.resume(
      { requestId, attempt, team, afterSeq: reassembly.lastSeq },
      { signal },
    );
  let openStream = dispatch ?? resume;
  let resumesWithoutChunk = 0;
  let currentTimeoutMs = dispatch ? progressTimeoutMs : recoveryTimeoutMs;
  /** Time until which an interrupted stream may recover; undefined while it is healthy. */
  let recoveryDeadline: number | undefined;

  for (;;) {
    const source = createCancellationSource(token);
    const openedAt = clock.now();
    let lastProgressAt = openedAt;
    let lastError: unknown;
    let hasEnded = false;
    let iterator: AsyncIterator<Chunk> | undefined;
    try {
      iterator = openStream(source.token.signal)[Symbol.asyncIterator]();
      for (;;) {
        const waitMs = lastProgressAt + currentTimeoutMs - clock.now();
        const next = waitMs > 0 ? await withTimeout(clock, waitMs, iterator.next()) : undefined;
        if (!next) {
          resetConnectionOnce(connection, openedAt, clock);
          throw noProgressError();
        }
        if (next.done)
          throw new ConnectError('stream ended without a terminal chunk', Code.Unavailable);
        const released = reassembly.accept(next.value);
        if (released.length > 0 || reassembly.isUpToDate(next.value)) {
          lastProgressAt = clock.now();
          currentTimeoutMs = progressTimeoutMs;
          recoveryDeadline = undefined;
        }
        for (const chunk of released) {
          resumesWithoutChunk = 0;
          yield chunk;
          if (chunk.part.case === 'end' || chunk.part.case === 'failure') {
            hasEnded = true;
            return;
          }
        }
        // The time that the consumer took does not count as missing progress of the agent.
        if (released.length > 0) lastProgressAt = clock.now();
      }
    } catch (err) {
      token.throwIfCancelled();
      lastError = err;
    } finally {
      if (iterator) closeStream(iterator, source, hasEnded, clock);
    }
    const isNonRetryable = nonRetryableCodes.has(ConnectError.from(lastError).code);
    if (isConnectionRefused(lastError) && openStream !== dispatch) {
      // The dispatch was sent before, so this refusal does not prove that the request never ran.
      throw new ConnectError('the agent is no longer reachable', Code.Unavailable);
    }
    if (isNonRetryable || isConnectionRefused(lastError)) throw lastError;
    recoveryDeadline ??= clock.now() + recoveryTimeoutMs;
    resumesWithoutChunk += 1;
    const isOverdue = clock.now() >= recoveryDeadline;
    if (!isOnlyRun && (isOverdue || resumesWithoutChunk > maxResumesWithoutChunk)) throw lastError;
    reassembly.clearPending();
    if (resumesWithoutChunk > 1) {
      const delayMs = Math.min(maxRetryDelayMs, retryDelayMs * resumesWithoutChunk);
      await sleep(clock, delayMs, token);
    }
    currentTimeoutMs = isOnlyRun ? recoveryTimeoutMs : Math.max(1, recoveryDeadline - clock.now());
    openStream = resume;
  }
}

/**
 * Dispatches one attempt and yields its numbered chunks in order, each once, until the terminal
 * one. Rejects with an error of the last call when the stream cannot be recovered.
 */
export function streamAttempt(
  connection: AgentConnection,
  init: DispatchInit,
  token: CancellationToken,
  options: StreamOptions = {},
): AsyncGenerator<Chunk> {
  const { requestId, attempt, team } = init;
  const afterSeq = init.delivered.at(-1)?.seq ?? 0;
  const dispatch: OpenStream = (signal) => connection.client.dispatch(init, { signal });
  return streamChunks(connection, { requestId, attempt, team, afterSeq }, dispatch, token, options);
}

/** Yields the numbered chunks of a running attempt after the given one. */
export function resumeAttempt(
  connection: AgentConnection,
  init: ResumeInit,
  token: CancellationToken,
  clock: Clock = systemClock,
): AsyncGenerator<Chunk> {
  return streamChunks(connection, init, undefined, token, { clock });
}
