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
  readonly places: number;
  call(parts: AsyncIterable<CallPart>, token: CancellationToken): AsyncIterable<CallPart>;
  /** Says what this incarnation knows of an attempt; an unseen one can't run afterwards. */
  result(attemptId: string, team: string): ResultReply;
  /** From now on new calls are refused. */
  leave(): void;
}

export interface ServiceWorkerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly service: ServicePort;
  readonly places: number;
}

/** Body bytes of a call that are awaited before it is handed over. */
const maxHeldBytes = 1_048_576;

/** Parts that a call may run ahead of its reader. */
const maxUnreadParts = 64;

const roomPollMs = 10;

function toPart(part: CallPart['part']): CallPart {
  return create(CallPartSchema, { part });
}

function failurePart(message: string, notRun: boolean, refusal: RefusalReason): CallPart {
  return create(CallPartSchema, {
    part: { case: 'failure', value: { message, notRun, refusal, retryAfterMs: 500 } },
  });
}

/** Body of a call. A stream that stops before the end part fails, so no cut body is executed. */
async function* bodyOf(parts: AsyncIterator<CallPart>): AsyncGenerator<Uint8Array> {
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
  const { clock, log, service, places } = options;
  const incarnation = randomUUID().slice(0, 8);
  const attempts = createAttemptLog(clock);
  const lifetime = createCancellationSource();
  let running = 0;
  let leaving = false;

  const refusalFor = (head: CallHead): RefusalReason => {
    if (leaving) return RefusalReason.LEAVING;
    if (head.incarnation !== incarnation) return RefusalReason.INCARNATION;
    if (running >= places) return RefusalReason.QUEUE_FULL;
    if (head.remainingMs === 0) return RefusalReason.DEADLINE;
    return RefusalReason.UNSPECIFIED;
  };

  /** Sends one request to the service and reports each part of its response. */
  const execute = async (
    head: CallHead,
    body: AsyncIterable<Uint8Array>,
    attempt: Attempt | undefined,
    token: CancellationToken,
    emit: (part: CallPart) => Promise<void>,
  ): Promise<void> => {
    const { method, path } = head;
    const headers = head.headers.map(({ name, value }) => [name, value] as const);
    const record = attempt ?? { state: AttemptState.RUNNING };
    try {
      const res = await service.send({ method, path, headers, body }, token);
      if (attempt) Object.assign(attempt, { status: res.status, headers: res.headers });
      const responseHeaders = res.headers.map(([name, value]) => ({ name, value }));
      const response = { status: res.status, headers: responseHeaders };
      await emit(create(CallPartSchema, { part: { case: 'response', value: response } }));
      for await (const data of res.body) {
        if (attempt) attempts.keep(attempt, data);
        await emit(toPart({ case: 'data', value: data }));
      }
      record.state = AttemptState.COMPLETED;
      await emit(create(CallPartSchema, { part: { case: 'end', value: {} } }));
    } catch (err) {
      if (record.state === AttemptState.COMPLETED) return;
      const notRun = err instanceof TargetRefusedError;
      record.state = notRun ? AttemptState.NEVER_RUN : AttemptState.UNKNOWN;
      const { requestId, team, attemptId } = head;
      log.warn({ requestId, team, attempt: attemptId, err: errMessage(err) }, 'call failed');
      await emit(failurePart(errMessage(err), notRun, RefusalReason.UNSPECIFIED));
    }
  };

  /**
   * Runs a non-idempotent call to its deadline even when the entry's stream breaks, so that the
   * outcome stays known. It is handed over only once its body, or the head of a large one, is here.
   */
  const runOnce = async (
    head: CallHead,
    parts: AsyncIterator<CallPart>,
    attempt: Attempt,
    emit: (part: CallPart) => Promise<void>,
  ): Promise<void> => {
    const source = createCancellationSource(lifetime.token);
    const remaining = createDeadline(clock, head.remainingMs);
    const timer = clock.setTimer(head.remainingMs, () => source.cancel('deadline passed'));
    try {
      let body: BufferedBody;
      try {
        const expired = new Promise<never>((_resolve, reject) => {
          source.token.onCancellationRequested((reason) => reject(new DeadlineError(reason)));
        });
        body = await Promise.race([bufferBody(bodyOf(parts), maxHeldBytes), expired]);
        // After a pause of this process the timer may not have run yet.
        if (remaining.remainingMs() <= 0) throw new DeadlineError('deadline passed');
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

  /** Runs a job beside the stream of its reader; the job goes on when the reader leaves. */
  async function* streamOf(
    job: (emit: (part: CallPart) => Promise<void>) => Promise<void>,
    token: CancellationToken,
  ): AsyncGenerator<CallPart> {
    const queue = createAsyncQueue<CallPart>();
    let left = false;
    const emit = async (part: CallPart): Promise<void> => {
      if (!left) queue.push(part);
      while (!left && queue.size > maxUnreadParts) {
        await sleep(clock, roomPollMs, lifetime.token);
      }
    };
    const link = token.onCancellationRequested(() => {
      left = true;
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
      left = true;
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
      yield failurePart('the call has no head', true, RefusalReason.UNSPECIFIED);
      return;
    }
    const head = first.part.value;
    const known = head.once ? attempts.find(head.attemptId) : undefined;
    if (known) {
      // Only an attempt that was refused before proves anything; another delivery may have run.
      const notRun = known.state === AttemptState.NEVER_RUN;
      yield failurePart('the attempt is known already', notRun, RefusalReason.DUPLICATE);
      return;
    }
    const refusal = refusalFor(head);
    if (refusal !== RefusalReason.UNSPECIFIED) {
      // The answer says that this attempt did not run, so a late duplicate must not run either.
      if (head.once) attempts.add(head.attemptId, head.team, AttemptState.NEVER_RUN);
      yield failurePart('agent rejected the call before hand-over', true, refusal);
      return;
    }
    if (!head.once) {
      yield* streamOf((emit) => execute(head, bodyOf(iterator), undefined, token, emit), token);
      return;
    }
    const attempt = attempts.add(head.attemptId, head.team, AttemptState.RUNNING);
    yield* streamOf((emit) => runOnce(head, iterator, attempt, emit), token);
  }

  return {
    incarnation,
    places,
    get running() {
      return running;
    },
    call,
    result(attemptId, team) {
      const known = attempts.find(attemptId);
      const isForeign = known !== undefined && known.team !== team;
      if (isForeign || (!known && attempts.hasForgotten)) {
        return create(ResultReplySchema, { state: AttemptState.UNKNOWN, incarnation });
      }
      // Recording the id makes a delayed dispatch of this attempt a duplicate, which is refused.
      const attempt = known ?? attempts.add(attemptId, team, AttemptState.NEVER_RUN);
      const isLost =
        attempt.state === AttemptState.COMPLETED && attempt.keptBytes !== attempt.bytes;
      return create(ResultReplySchema, {
        state: isLost ? AttemptState.UNKNOWN : attempt.state,
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
