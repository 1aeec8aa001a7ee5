import { randomUUID } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage, TargetRefusedError } from '../base/errors.js';
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
import { type HeaderList, type ServicePort } from '../ports/service.js';

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

/** Time that the outcome of an attempt is kept in memory. */
const attemptRetentionMs = 600_000;

/** Largest response body that is kept for repeats. */
const maxKeptBytes = 1_048_576;

interface Attempt {
  readonly team: string;
  state: AttemptState;
  status: number;
  headers: HeaderList;
  body: Uint8Array[];
  bytes: number;
}

function toPart(part: CallPart['part']): CallPart {
  return create(CallPartSchema, { part });
}

function failurePart(message: string, notRun: boolean, refusal: RefusalReason): CallPart {
  return create(CallPartSchema, {
    part: { case: 'failure', value: { message, notRun, refusal, retryAfterMs: 500 } },
  });
}

async function* bodyOf(parts: AsyncIterator<CallPart>): AsyncGenerator<Uint8Array> {
  for (;;) {
    const { done, value } = await parts.next();
    if (done || value.part.case === 'end') return;
    if (value.part.case === 'data') yield value.part.value;
  }
}

export function createServiceWorker(options: ServiceWorkerOptions): ServiceWorker {
  const { clock, log, service, places } = options;
  const incarnation = randomUUID().slice(0, 8);
  const attempts = new Map<string, Attempt>();
  let running = 0;
  let leaving = false;

  const refusalFor = (head: CallHead): RefusalReason => {
    if (leaving) return RefusalReason.LEAVING;
    if (head.incarnation !== incarnation) return RefusalReason.INCARNATION;
    if (attempts.has(head.attemptId)) return RefusalReason.DUPLICATE;
    if (running >= places) return RefusalReason.QUEUE_FULL;
    if (head.remainingMs === 0) return RefusalReason.DEADLINE;
    return RefusalReason.UNSPECIFIED;
  };

  const addAttempt = (attemptId: string, team: string, state: AttemptState): Attempt => {
    const attempt: Attempt = { team, state, status: 0, headers: [], body: [], bytes: 0 };
    attempts.set(attemptId, attempt);
    clock.setTimer(attemptRetentionMs, () => attempts.delete(attemptId));
    return attempt;
  };

  const keep = (attempt: Attempt, data: Uint8Array): void => {
    attempt.bytes += data.length;
    if (attempt.bytes <= maxKeptBytes) attempt.body.push(data);
  };

  async function* execute(
    head: CallHead,
    body: AsyncIterable<Uint8Array>,
    token: CancellationToken,
  ): AsyncGenerator<CallPart> {
    const attempt = addAttempt(head.attemptId, head.team, AttemptState.RUNNING);
    const { method, path } = head;
    const headers = head.headers.map(({ name, value }) => [name, value] as const);
    running += 1;
    try {
      const res = await service.send({ method, path, headers, body }, token);
      attempt.status = res.status;
      attempt.headers = res.headers;
      const responseHeaders = res.headers.map(([name, value]) => ({ name, value }));
      yield create(CallPartSchema, {
        part: { case: 'response', value: { status: res.status, headers: responseHeaders } },
      });
      for await (const data of res.body) {
        keep(attempt, data);
        yield toPart({ case: 'data', value: data });
      }
      attempt.state = AttemptState.COMPLETED;
      yield create(CallPartSchema, { part: { case: 'end', value: {} } });
    } catch (err) {
      const notRun = err instanceof TargetRefusedError;
      attempt.state = notRun ? AttemptState.NEVER_RUN : AttemptState.UNKNOWN;
      const { requestId, team, attemptId } = head;
      log.warn({ requestId, team, attempt: attemptId, err: errMessage(err) }, 'call failed');
      yield failurePart(errMessage(err), notRun, RefusalReason.UNSPECIFIED);
    } finally {
      running -= 1;
      if (attempt.state === AttemptState.RUNNING) attempt.state = AttemptState.UNKNOWN;
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
    const refusal = refusalFor(head);
    if (refusal !== RefusalReason.UNSPECIFIED) {
      yield failurePart('agent rejected the call before hand-over', true, refusal);
      return;
    }
    yield* execute(head, bodyOf(iterator), token);
  }

  return {
    incarnation,
    places,
    get running() {
      return running;
    },
    call,
    result(attemptId, team) {
      const known = attempts.get(attemptId);
      if (known && known.team !== team) {
        return create(ResultReplySchema, { state: AttemptState.UNKNOWN, incarnation });
      }
      // Recording the id makes a delayed dispatch of this attempt a duplicate, which is refused.
      const attempt = known ?? addAttempt(attemptId, team, AttemptState.NEVER_RUN);
      const whole = attempt.bytes <= maxKeptBytes;
      return create(ResultReplySchema, {
        state: whole ? attempt.state : AttemptState.UNKNOWN,
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
      attempts.clear();
    },
  };
}
