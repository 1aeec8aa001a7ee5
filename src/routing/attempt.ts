import { Code, ConnectError } from '@connectrpc/connect';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { isConnectionRefused } from '../base/connections.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type Chunk, RefusalReason, type StreamEnd } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentDirectory } from '../membership/directory.js';
import { type DispatchInit, streamAttempt } from '../streams/attempt.js';
import { targetOf } from './candidates.js';
import { type TargetHealth } from './health.js';
import { type Choice } from './policies.js';
import { type CompletionRequest } from './request.js';

/** Reason why an attempt failed. */
export interface AttemptFailure {
  readonly message: string;
  /** True when the engine certainly did not run the request. */
  readonly notRun: boolean;
  readonly reasons: readonly RefusalReason[];
  readonly retryAfterMs: number | undefined;
  /** True when placement found no target, so no attempt was dispatched. */
  readonly isPlacementFailure?: boolean;
}

/** One step of an attempt; `end` and `failed` are terminal. */
export type AttemptStep =
  | {
      readonly kind: 'text';
      readonly seq: number;
      readonly text: string;
      readonly tokens: number;
    }
  | { readonly kind: 'end'; readonly seq: number; readonly end: StreamEnd }
  | { readonly kind: 'failed'; readonly failure: AttemptFailure };

/** A dispatched attempt. */
export interface RunningAttempt {
  readonly choice: Choice;
  readonly attempt: number;
  readonly target: string;
  /** Returns the numbered, non-terminal chunks that were received since the last call. */
  takeChunks(): readonly Chunk[];
  /** Returns the next step. After cancellation it is a `failed` step; the promise never rejects. */
  next(): Promise<AttemptStep>;
  /** Cancels the attempt locally and at the agent, unless it has ended. */
  cancel(reason: string): void;
}

export interface AttemptDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly directory: AgentDirectory;
  readonly health: TargetHealth;
  /** Called with the expected and the actual time to the first token. */
  readonly onFirstToken: (expectedMs: number, actualMs: number) => void;
}

/** Dispatch fields that belong neither to the request nor to the choice. */
export interface AttemptFields {
  readonly attempt: number;
  readonly weightsVersion: string;
  readonly remainingMs: number;
  readonly deliveredText: string;
  readonly deliveredTokens: number;
  /** Newest chunks of earlier attempts; the chunk numbers of this attempt continue after them. */
  readonly delivered: Chunk[];
}

/** Builds the dispatch request of one attempt. */
export function toDispatch(
  req: CompletionRequest,
  choice: Choice,
  fields: AttemptFields,
): DispatchInit {
  const { requestId, team, model, adapter, kind, body, salt } = req;
  const { promptTokens, outputTokens, priority } = req;
  return {
    requestId,
    team,
    model,
    adapter,
    kind,
    body,
    salt,
    promptTokens,
    outputTokens,
    priority,
    reservationId: choice.reservationId,
    incarnation: choice.incarnation,
    blockHashes: [...req.blockHashes(fields.weightsVersion)],
    ...fields,
    remainingMs: Math.floor(fields.remainingMs),
  };
}

/**
 * When the reader takes longer than this to request the next chunk, the time between chunks does
 * not show the pace of the target, so no gap is recorded.
 */
const maxReaderDelayMs = 5;

const cancelTimeoutMs = 1_000;

/**
 * Dispatches an attempt and records its timings in the target health. With `isOnlyRun` the request
 * may not run again, so the attempt waits for a silent agent until the token is cancelled.
 */
export function startAttempt(
  deps: AttemptDependencies,
  choice: Choice,
  init: DispatchInit,
  token: CancellationToken,
  isOnlyRun = false,
): RunningAttempt {
  const { clock, log, directory, health, onFirstToken } = deps;
  const { agent } = choice;
  const target = targetOf(agent);
  const source = createCancellationSource(token);
  const tracked = directory.trackRequest(agent.address);
  const chunks = streamAttempt(agent.connection, init, source.token, { clock, isOnlyRun });
  const startedAt = clock.now();
  let terminalStep: AttemptStep | undefined;
  let hasFirstToken = false;
  let deliveredAt = 0;
  let pendingChunks: Chunk[] = [];

  const finish = (step: AttemptStep): AttemptStep => {
    terminalStep = step;
    tracked.dispose();
    source.dispose();
    // The generator is suspended at its last chunk; without `return` its call would stay open.
    chunks.return(undefined).catch(() => undefined);
    return step;
  };

  const fail = (message: string, notRun: boolean, reasons: readonly RefusalReason[] = []) =>
    finish({ kind: 'failed', failure: { message, notRun, reasons, retryAfterMs: undefined } });

  /** Requests the agent to cancel the attempt, because its result is no longer needed. */
  const cancelAtAgent = (): void => {
    const { requestId, attempt, team } = init;
    agent.connection.client
      .cancel({ requestId, attempt, team }, { timeoutMs: cancelTimeoutMs })
      .catch((err: unknown) => {
        log.debug(
          { requestId, attempt, err: errMessage(err) },
          'cancel request did not reach the agent',
        );
      });
  };

  const cancel = (reason: string): void => {
    if (terminalStep) return;
    fail(reason, false);
    source.cancel(reason);
    cancelAtAgent();
  };
  const cancelSubscription = token.onCancellationRequested(cancel);

  const cancellation = new Promise<undefined>((resolve) => {
    source.token.onCancellationRequested(() => resolve(undefined));
  });

  const recordTiming = (tokens: number, pulledAt: number): void => {
    const now = clock.now();
    if (!hasFirstToken) {
      const firstTokenMs = now - startedAt;
      health.observeFirstToken(target, choice.expectedFirstTokenMs, firstTokenMs);
      onFirstToken(choice.expectedFirstTokenMs, firstTokenMs);
    } else if (pulledAt - deliveredAt <= maxReaderDelayMs) {
      health.observeGap(target, (now - pulledAt) / Math.max(1, tokens));
    }
    hasFirstToken = true;
    deliveredAt = now;
  };

  const pull = async (): Promise<AttemptStep> => {
    for (;;) {
      const pulledAt = clock.now();
      const result = await Promise.race([chunks.next(), cancellation]);
      if (terminalStep) return terminalStep;
      if (!result || result.done)
        return fail('agent stream ended before its terminal chunk', false);
      const { part, seq } = result.value;
      if (part.case === 'accepted' || part.case === 'text') pendingChunks.push(result.value);
      if (part.case === 'text') {
        const { text, tokens } = part.value;
        recordTiming(tokens, pulledAt);
        return { kind: 'text', seq, text, tokens };
      }
      if (part.case === 'end') return finish({ kind: 'end', seq, end: part.value });
      if (part.case !== 'failure') continue;
      const { message, notRun, refusal, retryAfterMs } = part.value;
      const reasons = refusal === RefusalReason.UNSPECIFIED ? [] : [refusal];
      const failure = { message, notRun, reasons, retryAfterMs: retryAfterMs || undefined };
      return finish({ kind: 'failed', failure });
    }
  };

  return {
    choice,
    attempt: init.attempt,
    target,
    takeChunks() {
      const newest = pendingChunks;
      pendingChunks = [];
      return newest;
    },
    async next() {
      if (terminalStep) return terminalStep;
      try {
        return await pull();
      } catch (err) {
        if (terminalStep) return terminalStep;
        const unavailable = ConnectError.from(err).code === Code.Unavailable;
        if (unavailable) directory.reportFailure(agent.address, errMessage(err));
        else cancelAtAgent();
        return fail(errMessage(err), isConnectionRefused(err));
      } finally {
        if (terminalStep) cancelSubscription.dispose();
      }
    },
    cancel(reason) {
      cancel(reason);
      cancelSubscription.dispose();
    },
  };
}
