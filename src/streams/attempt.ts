/**
 * Streams of attempts as an entry reads them. A stream without progress, or one that broke, is
 * resumed on a new connection where it stood before the attempt counts as failed.
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

/** Fields of a dispatch as an entry fills them. */
export type DispatchInit = Omit<DispatchRequest, '$typeName' | '$unknown'>;

/** An attempt that runs already, and the chunk after which its stream is wanted. */
export interface ResumeInit {
  readonly requestId: string;
  readonly attempt: number;
  readonly team: string;
  readonly afterSeq: number;
}

type AgentConnection = PeerConnection<AgentClient>;

type OpenStream = (signal: AbortSignal) => AsyncIterable<Chunk>;

/** Silence that counts as a dead connection; the agent sends progress every 500 ms. */
const silenceMs = 2_000;

/** Time for a resumed stream to show progress; with the silence at most 3 s on a dead connection. */
const recoveryMs = 1_000;

const retryDelayMs = 50;

/** Resumes without any new chunk between them, after which the attempt has failed. */
const maxIdleResumes = 3;

/** Errors of a resume that no repetition changes. */
const finalCodes: ReadonlySet<Code> = new Set([
  Code.NotFound,
  Code.OutOfRange,
  Code.FailedPrecondition,
  Code.InvalidArgument,
  Code.Unauthenticated,
]);

/** Time of the last reset by connection, so that streams do not break each other's new one. */
const resets = new WeakMap<AgentConnection, number>();

function resetOnce(connection: AgentConnection, openedAt: number, clock: Clock): void {
  const last = resets.get(connection);
  if (last !== undefined && last >= openedAt) return;
  resets.set(connection, clock.now());
  connection.reset('a stream made no progress');
}

const silent = (): ConnectError => new ConnectError('no progress on the stream', Code.Unavailable);

/** Time for a stream to close by itself after its terminal chunk. */
const closeTimeoutMs = 1_000;

/**
 * Ends the call of a stream. After the terminal chunk the sender closes it, so the end is awaited:
 * cancelling a finished call creates and discards several errors with their stack traces.
 */
function closeStream(
  iterator: AsyncIterator<Chunk>,
  source: CancellationSource,
  ended: boolean,
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
  if (ended) {
    close().catch(() => undefined);
    return;
  }
  abort();
  source.dispose();
}

async function* follow(
  connection: AgentConnection,
  init: ResumeInit,
  dispatch: OpenStream | undefined,
  token: CancellationToken,
  clock: Clock,
): AsyncGenerator<Chunk> {
  const { requestId, attempt, team } = init;
  const chunks = createReassembly(requestId, attempt, init.afterSeq);
  const resume: OpenStream = (signal) =>
    connection.client.resume({ requestId, attempt, team, afterSeq: chunks.lastSeq }, { signal });
  let open = dispatch ?? resume;
  let idleResumes = 0;
  let allowedMs = dispatch ? silenceMs : recoveryMs;
  /** End of the time in which a broken stream may be recovered; undefined while it is healthy. */
  let recoverUntil: number | undefined;

  for (;;) {
    const source = createCancellationSource(token);
    const openedAt = clock.now();
    let progressAt = openedAt;
    let failure: unknown;
    let ended = false;
    let iterator: AsyncIterator<Chunk> | undefined;
    try {
      iterator = open(source.token.signal)[Symbol.asyncIterator]();
      for (;;) {
        const waitMs = progressAt + allowedMs - clock.now();
        const next = waitMs > 0 ? await withTimeout(clock, waitMs, iterator.next()) : undefined;
        if (!next) {
          resetOnce(connection, openedAt, clock);
          throw silent();
        }
        if (next.done) throw new ConnectError('stream ended without its end', Code.Unavailable);
        const released = chunks.accept(next.value);
        if (released.length > 0 || chunks.isCurrent(next.value)) {
          progressAt = clock.now();
          allowedMs = silenceMs;
          recoverUntil = undefined;
        }
        for (const chunk of released) {
          idleResumes = 0;
          yield chunk;
          if (chunk.part.case === 'end' || chunk.part.case === 'failure') {
            ended = true;
            return;
          }
        }
        // The time that the consumer took is not silence of the agent.
        if (released.length > 0) progressAt = clock.now();
      }
    } catch (err) {
      token.throwIfCancelled();
      failure = err;
    } finally {
      if (iterator) closeStream(iterator, source, ended, clock);
    }
    const isFinal = finalCodes.has(ConnectError.from(failure).code);
    if (isConnectionRefused(failure) && open !== dispatch) {
      // The dispatch was sent before, so this refusal does not prove that the request never ran.
      throw new ConnectError('the agent is not reachable any more', Code.Unavailable);
    }
    if (isFinal || isConnectionRefused(failure)) throw failure;
    recoverUntil ??= clock.now() + recoveryMs;
    idleResumes += 1;
    if (clock.now() >= recoverUntil || idleResumes > maxIdleResumes) throw failure;
    chunks.restart();
    if (idleResumes > 1) await sleep(clock, retryDelayMs * idleResumes, token);
    allowedMs = Math.max(1, recoverUntil - clock.now());
    open = resume;
  }
}

/**
 * Dispatches one attempt and yields its numbered chunks in order, each once, until the terminal
 * one. Rejects with the error of the last connection when the stream could not be recovered.
 */
export function streamAttempt(
  connection: AgentConnection,
  init: DispatchInit,
  token: CancellationToken,
  clock: Clock = systemClock,
): AsyncGenerator<Chunk> {
  const { requestId, attempt, team } = init;
  const afterSeq = init.delivered.at(-1)?.seq ?? 0;
  const dispatch: OpenStream = (signal) => connection.client.dispatch(init, { signal });
  return follow(connection, { requestId, attempt, team, afterSeq }, dispatch, token, clock);
}

/** Yields the numbered chunks of a running attempt after the given one. */
export function resumeAttempt(
  connection: AgentConnection,
  init: ResumeInit,
  token: CancellationToken,
  clock: Clock = systemClock,
): AsyncGenerator<Chunk> {
  return follow(connection, init, undefined, token, clock);
}
