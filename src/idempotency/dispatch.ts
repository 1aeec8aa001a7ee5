/** Sends one claimed attempt to its agent, once, and classifies the outcome. */
import { create } from '@bufbuild/protobuf';
import { createCancellationSource } from '../base/cancellation.js';
import { type Clock, withTimeout } from '../base/clock.js';
import { isConnectionRefused } from '../base/connections.js';
import { errMessage } from '../base/errors.js';
import { type RefusalCode } from '../base/refusals.js';
import {
  type CallPart,
  CallPartSchema,
  RefusalReason,
  type StreamFailure,
} from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentView } from '../membership/directory.js';
import { type HeaderList } from '../ports/service.js';
import { type AtMostOnceCall, type ResponseSink } from './calls.js';
import { type Claim } from './claims.js';
import { maxResultBodyBytes, type ServiceResult } from './results.js';

export interface DispatchOutcome {
  /** `notRun` is proven; after `broken` the agent must be queried for the outcome. */
  readonly kind: 'completed' | 'notRun' | 'broken';
  /** Absent when the call did not complete or its body exceeds `maxResultBodyBytes`. */
  readonly result?: ServiceResult;
  readonly code: RefusalCode;
  readonly message: string;
  readonly retryAfterMs?: number;
  /** True when the sink received the response head. */
  readonly isHeadSent: boolean;
  readonly sentBytes: number;
}

export interface DispatchOptions {
  readonly clock: Clock;
  readonly claim: Claim;
  readonly agent: AgentView;
  readonly call: AtMostOnceCall;
  readonly sink: ResponseSink;
}

/**
 * Largest number of bytes of the buffered body in one message to the agent. The rest of a larger
 * body is sent in parts of the size in which they arrive.
 */
const maxPartBytes = 65_536;

/** Time after the deadline in which the agent's own deadline failure can still arrive. */
const deadlineGraceMs = 250;

const refusalCodes: Readonly<Partial<Record<RefusalReason, RefusalCode>>> = {
  [RefusalReason.DEADLINE]: 'deadline',
  [RefusalReason.LEAVING]: 'overloaded',
  [RefusalReason.QUEUE_FULL]: 'overloaded',
  [RefusalReason.INCARNATION]: 'overloaded',
};

/** Message parts of a call: head, body and the end, without which the body is incomplete. */
async function* callParts({ claim, agent, call }: DispatchOptions): AsyncGenerator<CallPart> {
  const head = {
    requestId: call.requestId,
    attemptId: claim.row.attemptId,
    team: call.team,
    service: call.service,
    incarnation: agent.status?.incarnation ?? '',
    method: call.method,
    path: call.path,
    headers: call.headers.map(([name, value]) => ({ name, value })),
    remainingMs: Math.floor(call.deadline.remainingMs()),
    priority: call.priority,
    once: true,
  };
  yield create(CallPartSchema, { part: { case: 'head', value: head } });
  const { head: bodyHead, rest } = call.body;
  for (let offset = 0; offset < bodyHead.length; offset += maxPartBytes) {
    const value = bodyHead.subarray(offset, offset + maxPartBytes);
    yield create(CallPartSchema, { part: { case: 'data', value } });
  }
  for await (const value of rest ?? []) {
    yield create(CallPartSchema, { part: { case: 'data', value } });
  }
  yield create(CallPartSchema, { part: { case: 'end', value: {} } });
}

function failureOutcome(
  failure: StreamFailure,
): Pick<DispatchOutcome, 'kind' | 'code' | 'retryAfterMs'> {
  if (!failure.notRun) return { kind: 'broken', code: 'targetFailed' };
  const code = refusalCodes[failure.refusal] ?? 'targetFailed';
  return { kind: 'notRun', code, retryAfterMs: failure.retryAfterMs };
}

/** Dispatches a claimed attempt; never rejects and never sends the attempt a second time. */
export async function dispatchOnce(options: DispatchOptions): Promise<DispatchOutcome> {
  const { clock, agent, call, sink } = options;
  const progress = { isHeadSent: false, sentBytes: 0 };
  let status = 0;
  let headers: HeaderList = [];
  const bufferedParts: Uint8Array[] = [];
  const remainingMs = call.deadline.remainingMs();
  if (remainingMs < 1) {
    const message = 'the deadline passed before the call was dispatched';
    return { kind: 'notRun', code: 'deadline', message, ...progress };
  }
  const source = createCancellationSource();
  const timer = clock.setTimer(remainingMs + deadlineGraceMs, () =>
    source.cancel('the deadline passed'),
  );
  try {
    const { signal } = source.token;
    const reply = agent.connection.client.call(callParts(options), { signal });
    for await (const { part } of reply) {
      if (part.case === 'response') {
        progress.isHeadSent = true;
        status = part.value.status;
        headers = part.value.headers.map(({ name, value }) => [name, value] as const);
        sink.head(status, headers, agent.status?.target ?? '', false);
      }
      if (part.case === 'data') {
        progress.sentBytes += part.value.length;
        const written = sink.data(part.value);
        if (progress.sentBytes <= maxResultBodyBytes) bufferedParts.push(part.value);
        // Only a result that is too large to store waits for a slow caller.
        else await withTimeout(clock, call.deadline.remainingMs(), written);
      }
      if (part.case === 'end') {
        const isWithinLimit = progress.sentBytes <= maxResultBodyBytes;
        const result = isWithinLimit
          ? { status, headers, body: Buffer.concat(bufferedParts) }
          : undefined;
        return { kind: 'completed', code: 'internal', message: '', result, ...progress };
      }
      if (part.case === 'failure') {
        const { message } = part.value;
        return {
          ...failureOutcome(part.value),
          message: `the call failed: ${message}`,
          ...progress,
        };
      }
    }
    const message = 'the stream of the agent ended without an outcome';
    return { kind: 'broken', code: 'targetFailed', message, ...progress };
  } catch (err) {
    const isRefused = isConnectionRefused(err);
    const message = `the call failed: ${errMessage(err)}`;
    if (isRefused) return { kind: 'notRun', code: 'noTarget', message, ...progress };
    return { kind: 'broken', code: 'targetFailed', message, ...progress };
  } finally {
    timer.dispose();
    source.dispose();
  }
}
