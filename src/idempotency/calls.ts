/**
 * Runs non-idempotent calls of plain services at most once: claim, one dispatch, settle. `not-run`
 * is returned only for an attempt that was never dispatched, whose connection was refused, or
 * that the bound agent rejected or reports as never run.
 */
import { randomUUID } from 'node:crypto';
import { type CancellationToken, noCancellation } from '../base/cancellation.js';
import { type Clock, sleep, withTimeout } from '../base/clock.js';
import { type Deadline } from '../base/deadline.js';
import { type Logger } from '../base/logging.js';
import { refusal } from '../base/refusals.js';
import { type AgentView } from '../membership/directory.js';
import { type HeaderList } from '../ports/service.js';
import { type Claim, type ClaimRow, type ClaimStore } from './claims.js';
import { type DispatchOutcome, dispatchOnce } from './dispatch.js';
import { type BufferedBody } from './fingerprint.js';
import { type OutcomeSource } from './outcomes.js';
import { type ResultStore, type ServiceResult } from './results.js';

/** One non-idempotent request of a caller. */
export interface AtMostOnceCall {
  readonly requestId: string;
  readonly team: string;
  readonly key: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: BufferedBody;
  readonly fingerprint: string;
  readonly priority: number;
  readonly deadline: Deadline;
}

/** Receives the response of a call. */
export interface ResponseSink {
  head(status: number, headers: HeaderList, target: string, replayed: boolean): void;
  /** Resolves when the caller can receive more data. */
  data(bytes: Uint8Array): Promise<void>;
}

export interface AtMostOnceRunner {
  /**
   * Resolves when the whole response was written to the sink; throws RefusalError otherwise, or
   * CancelledError when the token cancels the wait. The token cancels the claim and the wait for an
   * earlier request's attempt but not an own attempt, which continues to its deadline when the
   * caller disconnects, so that a repeated request can get its outcome.
   */
  run(
    call: AtMostOnceCall,
    chooseAgent: () => AgentView,
    sink: ResponseSink,
    token: CancellationToken,
  ): Promise<void>;
}

export interface AtMostOnceOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly claims: ClaimStore;
  readonly results: ResultStore;
  readonly outcomes: OutcomeSource;
}

/**
 * Time that a repeated request waits for the earlier request to settle a running claim before each
 * query to the agent; an unknown claim is queried at once. A query for an attempt that has not
 * arrived yet makes the agent reject it, so this exceeds a normal dispatch.
 */
const outcomeQueryDelayMs = 2_000;

const pollBaseMs = 50;

const pollMaxMs = 1_000;

/**
 * Maximum attempts of a settling write. Without it the claim stays `running`, and repeated requests
 * query the agent, which keeps the outcome for a limited time.
 */
const maxSettleAttempts = 20;

/**
 * Time that the end of a call waits for the storage of its result, and again for the settling
 * write. Both continue after this time.
 */
const settleWaitMs = 1_500;

export function createAtMostOnceRunner(options: AtMostOnceOptions): AtMostOnceRunner {
  const { clock, log, claims, results, outcomes } = options;

  const storeResult = async (
    claim: Claim,
    result: ServiceResult | undefined,
    token: CancellationToken,
  ): Promise<Partial<ClaimRow>> => {
    const pendingStore = result && results.save(claim.row.attemptId, result, token);
    const storedResult = pendingStore && (await withTimeout(clock, settleWaitMs, pendingStore));
    return { state: 'completed', ...(storedResult && { result: storedResult }) };
  };

  const settleWithTimeout = (claim: Claim, change: Partial<ClaimRow>) =>
    withTimeout(clock, settleWaitMs, claims.settle(claim, change, maxSettleAttempts));

  const outcomeUnknownError = (detail: string) => refusal('outcomeUnknown', detail);

  const replay = async (
    { row }: Claim,
    sink: ResponseSink,
    token: CancellationToken,
  ): Promise<void> => {
    let result: ServiceResult | undefined;
    try {
      result = row.result && (await results.load(row.result, token));
    } catch {
      throw refusal('storeDown', 'the stored result can not be read now', { work: 'completed' });
    }
    if (!result) {
      throw refusal('outcomeUnknown', 'the call completed but its result was not stored', {
        work: 'completed',
      });
    }
    sink.head(result.status, result.headers, row.target, true);
    await sink.data(result.body);
  };

  /** Queries the agent for an open claim; undefined when the attempt may still be running. */
  const resolveOpenClaim = async (
    claim: Claim,
    token: CancellationToken,
  ): Promise<Claim | undefined> => {
    const outcome = await outcomes.query(claim);
    if (outcome.kind === 'running' || outcome.kind === 'silent') return undefined;
    // The next claim replaces exactly this version, so no separate write has to release the key.
    if (outcome.kind === 'neverRun') return { ...claim, row: { ...claim.row, state: 'not-run' } };
    if (outcome.kind === 'unknown') {
      if (claim.row.state !== 'unknown') await claims.settle(claim, { state: 'unknown' });
      throw outcomeUnknownError('the outcome of the first call is unknown');
    }
    const change = await storeResult(claim, outcome.result, token);
    await settleWithTimeout(claim, change);
    return { ...claim, row: { ...claim.row, ...change } };
  };

  /**
   * Waits until the claim of an earlier request is `completed` or `not-run`. Throws a refusal when
   * the fingerprint differs, the outcome is unknown or the deadline passes.
   */
  const waitForClaim = async (
    first: Claim,
    call: AtMostOnceCall,
    token: CancellationToken,
  ): Promise<Claim> => {
    let claim = first;
    let nextQueryAt = clock.now() + outcomeQueryDelayMs;
    for (let pollMs = pollBaseMs; ; pollMs = Math.min(pollMaxMs, pollMs * 2)) {
      if (claim.row.state === 'not-run') return claim;
      if (claim.row.fingerprint !== call.fingerprint) {
        throw refusal('keyReused', 'the Idempotency-Key was used for another request');
      }
      if (claim.row.state === 'completed') return claim;
      if (claim.row.state === 'unknown' || clock.now() >= nextQueryAt) {
        const resolved = await resolveOpenClaim(claim, token);
        if (resolved) return resolved;
        nextQueryAt = clock.now() + outcomeQueryDelayMs;
      }
      const remainingMs = call.deadline.remainingMs();
      if (remainingMs <= 0) throw refusal('inProgress', 'the first call is still running');
      await sleep(clock, Math.min(pollMs, remainingMs), token);
      claim = (await claims.read(call.team, call.key, token).catch(() => undefined)) ?? claim;
    }
  };

  /** Settles a claim whose attempt provably did not run, and throws the refusal. */
  const releaseClaim = async (claim: Claim, dispatched: DispatchOutcome): Promise<never> => {
    const settled = await settleWithTimeout(claim, { state: 'not-run' });
    if (settled === 'conflict') {
      // A repeated request has claimed the key, so the request itself may be running now.
      throw refusal('inProgress', 'another call has claimed this key');
    }
    const { code, message, retryAfterMs } = dispatched;
    throw refusal(code, message, { work: 'not-run', retryAfterMs });
  };

  /** Queries the outcome of an own attempt whose reply was interrupted. */
  const recoverOutcome = async (
    claim: Claim,
    dispatched: DispatchOutcome,
    call: AtMostOnceCall,
    sink: ResponseSink,
    token: CancellationToken,
  ): Promise<void> => {
    for (let pollMs = pollBaseMs; ; pollMs = Math.min(pollMaxMs, pollMs * 2)) {
      const outcome = await outcomes.query(claim);
      if (outcome.kind === 'neverRun') await releaseClaim(claim, dispatched);
      if (outcome.kind === 'completed') {
        const { status, headers, body } = outcome.result;
        if (!dispatched.isHeadSent) sink.head(status, headers, claim.row.target, false);
        await sink.data(body.subarray(dispatched.sentBytes));
        await settleWithTimeout(claim, await storeResult(claim, outcome.result, token));
        return;
      }
      if (outcome.kind === 'unknown' || call.deadline.remainingMs() <= 0) break;
      await sleep(clock, Math.min(pollMs, call.deadline.remainingMs()), token);
    }
    await settleWithTimeout(claim, { state: 'unknown' });
    throw outcomeUnknownError(dispatched.message);
  };

  const execute = async (
    claim: Claim,
    agent: AgentView,
    call: AtMostOnceCall,
    sink: ResponseSink,
    lifetime: CancellationToken,
  ): Promise<void> => {
    const dispatched = await dispatchOnce({ clock, claim, agent, call, sink });
    if (dispatched.kind === 'notRun') await releaseClaim(claim, dispatched);
    if (dispatched.kind === 'broken') {
      await recoverOutcome(claim, dispatched, call, sink, lifetime);
      return;
    }
    await settleWithTimeout(claim, await storeResult(claim, dispatched.result, lifetime));
  };

  return {
    async run(call, chooseAgent, sink, token) {
      let previous: Claim | undefined;
      for (;;) {
        let agent: AgentView;
        try {
          agent = chooseAgent();
        } catch (err) {
          // Without a target, a repeated request can still get a stored result.
          const existing = await claims.read(call.team, call.key, token).catch(() => undefined);
          if (!existing || existing.row.state === 'not-run') throw err;
          const claim = await waitForClaim(existing, call, token);
          if (claim.row.state !== 'completed') throw err;
          await replay(claim, sink, token);
          return;
        }
        const row: ClaimRow = {
          state: 'running',
          attemptId: randomUUID(),
          requestId: call.requestId,
          service: call.service,
          fingerprint: call.fingerprint,
          address: agent.address,
          target: agent.status?.target ?? '',
          incarnation: agent.status?.incarnation ?? '',
          claimedAt: clock.wallTime(),
        };
        const { isAcquired, claim } = await claims.claim(call.team, call.key, row, previous, token);
        if (isAcquired) {
          log.debug({ team: call.team, attempt: row.attemptId }, 'call claimed');
          await execute(claim, agent, call, sink, noCancellation);
          return;
        }
        const awaitedClaim = await waitForClaim(claim, call, token);
        if (awaitedClaim.row.state === 'completed') {
          await replay(awaitedClaim, sink, token);
          return;
        }
        previous = awaitedClaim;
      }
    },
  };
}
