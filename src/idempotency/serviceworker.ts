import { randomUUID } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { createAsyncQueue } from '../base/async.js';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { createDeadline } from '../base/deadline.js';
import {
  DeadlineError,
  errMessage,
  TargetFailedError,
  TargetRefusedError,
} from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import {
  AttemptState,
  type CallHead,
  type CallPart,
  CallPartSchema,
  RefusalReason,
  type ResultReply,
  ResultReplySchema,
} from '../gen/cicadatide/v1/agent_pb.js';
import { type ServicePort } from '../ports/service.js';
import { type Attempt, createAttemptLog } from './attempts.js';
import { type BufferedBody, bufferBody } from './fingerprint.js';

/** Runs calls of the plain service beside this agent. */
export interface ServiceWorker extends Disposable {
  readonly incarnation: string;
  readonly running: number;
  readonly slots: number;
  call(parts: AsyncIterable<CallPart>, token: CancellationToken): AsyncIterable<CallPart>;
  /**
   * Returns the state of an attempt. One that was not received yet is recorded as `NEVER_RUN`, so
   * that it is rejected afterwards; once ids were dropped, it is `UNKNOWN` and not recorded.
   */
  result(attemptId: string, team: string): ResultReply;
  /** Rejects new calls from now on. */
  leave(): void;
}

export interface ServiceWorkerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly service: ServicePort;
  readonly slots: number;
}

/** Body bytes of a non-idempotent call that are buffered before it is sent to the service. */
const maxBufferedBodyBytes = 1_048_576;

/** Response parts that are queued for a slow reader before the call pauses. */
const maxUnreadParts = 64;

const queueSpacePollMs = 10;

function toPart(part: CallPart['part']): CallPart {
  return create(CallPartSchema, { part });
}

function failurePart(message: string, isNotRun: boolean, refusal: RefusalReason): CallPart {
  return create(CallPartSchema, {
    part: { case: 'failure', value: { message, notRun: isNotRun, refusal, retryAfterMs: 500 } },
  });
}

/** Reads the body of a call. A stream that ends early throws, so no truncated body is accepted. */
async function* readBody(parts: AsyncIterator<CallPart>): AsyncGenerator<Uint8Array> {
  for (;;) {
    const { done, value } = await parts.next();
    if (done) throw new TargetFailedError('the call stopped before the end of its body');
    if (value.part.case === 'end') return;
    if (value.part.case === 'data') yield value.part.value;
  }
}

async function* joinBody(head: Uint8Array, rest: AsyncIterable<Uint8Array> | undefined) {
  if (head.length > 0) yield head;
  if (rest) yield* rest;
}

export function createServiceWorker(options: ServiceWorkerOptions): ServiceWorker {
  const { clock, log, service, slots } = options;
  const incarnation = randomUUID().slice(0, 8);
  const attempts = createAttemptLog(clock);
  const lifetime = createCancellationSource();
  let running = 0;
  let leaving = false;

  const refusalFor = (head: CallHead): RefusalReason => {
    if (leaving) return RefusalReason.LEAVING;
    if (head.incarnation !== incarnation) return RefusalReason.INCARNATION;
    if (running >= slots) return RefusalReason.QUEUE_FULL;
    if (head.remainingMs === 0) return RefusalReason.DEADLINE;
    return RefusalReason.UNSPECIFIED;
  };

  /** Sends one request to the service and emits each part of its response. */
  const execute = async (
    head: CallHead,
    body: AsyncIterable<Uint8Array>,
    attempt: Attempt | undefined,
    token: CancellationToken,
    emit: (part: CallPart) => Promise<void>,
  ): Promise<void> => {
    const { method, path } = head;
    const headers = head.headers.map(({ name, value }) => [name, value] as const);
    const tracked = attempt ?? { state: AttemptState.RUNNING };
    try {
      const res = await service.send({ method, path, headers, body }, token);
      if (attempt) Object.assign(attempt, { status: res.status, headers: res.headers });
      const responseHeaders = res.headers.map(([name, value]) => ({ name, value }));
      const response = { status: res.status, headers: responseHeaders };
      await emit(create(CallPartSchema, { part: { case: 'response', value: response } }));
      for await (const data of res.body) {
        if (attempt) attempts.appendBody(attempt, data);
        await emit(toPart({ case: 'data', value: data }));
      }
      tracked.state = AttemptState.COMPLETED;
      await emit(create(CallPartSchema, { part: { case: 'end', value: {} } }));
    } catch (err) {
      if (tracked.state === AttemptState.COMPLETED) return;
      const notRun = err instanceof TargetRefusedError;
      tracked.state = notRun ? AttemptState.NEVER_RUN : AttemptState.UNKNOWN;
      const { requestId, team, attemptId } = head;
      log.warn({ requestId, team, attempt: attemptId, err: errMessage(err) }, 'call failed');
      await emit(failurePart(errMessage(err), notRun, RefusalReason.UNSPECIFIED));
    }
  };

  /**
   * Runs a non-idempotent call to its deadline even when the entry's stream breaks after the body
   * has arrived, so that the outcome stays known. The call is sent to the service only after its
   * body, or the start of a large one, has arrived.
   */
  const runAtMostOnce = async (
    head: CallHead,
    parts: AsyncIterator<CallPart>,
    attempt: Attempt,
    emit: (part: CallPart) => Promise<void>,
  ): Promise<void> => {
    const source = createCancellationSource(lifetime.token);
    const deadline = createDeadline(clock, head.remainingMs);
    const timer = clock.setTimer(head.remainingMs, () => source.cancel('deadline passed'));
    try {
      let body: BufferedBody;
      try {
        const expired = new Promise<never>((_resolve, reject) => {
          source.token.onCancellationRequested((reason) => reject(new DeadlineError(reason)));
        });
        body = await Promise.race([bufferBody(readBody(parts), maxBufferedBodyBytes), expired]);
        // After a pause of this process the timer may not have run yet.
        if (deadline.remainingMs() <= 0) throw new DeadlineError('deadline passed');
      } catch (err) {
        attempt.state = AttemptState.NEVER_RUN;
        await emit(failurePart(errMessage(err), true, RefusalReason.DEADLINE));
        return;
      }
      await execute(head, joinBody(body.head, body.rest), attempt, source.token, emit);
    } finally {
      timer.dispose();
      source.dispose();
    }
  };

  /** Runs a job and streams the parts that it emits; the job continues when the reader stops. */
  async function* streamParts(
    job: (emit: (part: CallPart) => Promise<void>) => Promise<void>,
    token: CancellationToken,
  ): AsyncGenerator<CallPart> {
    const queue = createAsyncQueue<CallPart>();
    let hasReaderStopped = false;
    const emit = async (part: CallPart): Promise<void> => {
      if (!hasReaderStopped) queue.push(part);
      while (!hasReaderStopped && queue.size > maxUnreadParts) {
        await sleep(clock, queueSpacePollMs, lifetime.token);
      }
    };
    const link = token.onCancellationRequested(() => {
      hasReaderStopped = true;
      queue.end();
    });
    running += 1;
    job(emit)
      .catch((err: unknown) => log.error({ err: errMessage(err) }, 'call ended unexpectedly'))
      .finally(() => {
        running -= 1;
        queue.end();
      });
    try {
      yield* queue;
    } finally {
      hasReaderStopped = true;
      link.dispose();
    }
  }

  async function* call(
    parts: AsyncIterable<CallPart>,
    token: CancellationToken,
  ): AsyncGenerator<CallPart> {
    const iterator = parts[Symbol.asyncIterator]();
    const { value: first } = await iterator.next();
    if (first?.part.case !== 'head') {
      yield failurePart('the call has no head part', true, RefusalReason.UNSPECIFIED);
      return;
    }
    const head = first.part.value;
    const existing = head.once ? attempts.find(head.attemptId) : undefined;
    if (existing) {
      // Only a recorded rejection proves that the attempt did not run; other deliveries may have.
      const notRun = existing.state === AttemptState.NEVER_RUN;
      yield failurePart('the attempt was received before', notRun, RefusalReason.DUPLICATE);
      return;
    }
    const refusal = refusalFor(head);
    if (refusal !== RefusalReason.UNSPECIFIED) {
      // The reply reports that this attempt did not run, so a late duplicate must not run either.
      if (head.once) attempts.add(head.attemptId, head.team, AttemptState.NEVER_RUN);
      yield failurePart('agent rejected the call before sending it to the service', true, refusal);
      return;
    }
    if (!head.once) {
      yield* streamParts(
        (emit) => execute(head, readBody(iterator), undefined, token, emit),
        token,
      );
      return;
    }
    const attempt = attempts.add(head.attemptId, head.team, AttemptState.RUNNING);
    yield* streamParts((emit) => runAtMostOnce(head, iterator, attempt, emit), token);
  }

  return {
    incarnation,
    slots,
    get running() {
      return running;
    },
    call,
    result(attemptId, team) {
      const existing = attempts.find(attemptId);
      const isOfOtherTeam = existing !== undefined && existing.team !== team;
      if (isOfOtherTeam || (!existing && attempts.hasDroppedIds)) {
        return create(ResultReplySchema, { state: AttemptState.UNKNOWN, incarnation });
      }
      // Recording the id makes a delayed dispatch of this attempt a duplicate, which is rejected.
      const attempt = existing ?? attempts.add(attemptId, team, AttemptState.NEVER_RUN);
      const isBodyIncomplete =
        attempt.state === AttemptState.COMPLETED && attempt.storedBytes !== attempt.receivedBytes;
      return create(ResultReplySchema, {
        state: isBodyIncomplete ? AttemptState.UNKNOWN : attempt.state,
        incarnation,
        status: attempt.status,
        headers: attempt.headers.map(([name, value]) => ({ name, value })),
        body: Buffer.concat(attempt.body),
      });
    },
    leave() {
      leaving = true;
    },
    dispose() {
      lifetime.cancel('agent stopped');
    },
  };
}
