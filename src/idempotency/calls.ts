/**
 * Runs non-idempotent calls of plain services at most once: claim, one dispatch, settle. `not-run`
 * is answered only for an attempt that was never dispatched, whose connection was refused, or
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
import { type Dispatched, dispatchOnce } from './dispatch.js';
import { type BufferedBody } from './fingerprint.js';
import { type OutcomeSource } from './outcomes.js';
import { type ResultKeeper, type ServiceResult } from './results.js';

/** One non-idempotent request of a caller. */
export interface OnceCall {
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

/** Takes the response of a call. */
export interface ResponseSink {
  head(status: number, headers: HeaderList, target: string, replayed: boolean): void;
  /** Resolves when the caller has room for more. */
  data(bytes: Uint8Array): Promise<void>;
}

/** Runs non-idempotent calls. */
export interface OnceCaller {
  /**
   * Resolves when the whole response was given to the sink; throws RefusalError otherwise. The
   * token ends only waiting for another entry's attempt: an own attempt goes on to its deadline
   * when the caller leaves, so that its outcome is known to a repeat.
   */
  run(
    call: OnceCall,
    choose: () => AgentView,
    sink: ResponseSink,
    token: CancellationToken,
  ): Promise<void>;
}

export interface OnceOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly claims: ClaimStore;
  readonly results: ResultKeeper;
  readonly outcomes: OutcomeSource;
}

/**
 * Time that a repeat waits for another entry before it asks the agent. Asking about an attempt
 * that is still on its way makes the agent refuse it, so this exceeds a normal dispatch.
 */
const askAfterMs = 2_000;

const pollBaseMs = 50;

const pollMaxMs = 1_000;

/** Tries of a settling write while the table is down; later repeats still find the outcome. */
const settleTries = 20;

/** Time that a response waits for its settling write before the caller gets its end. */
const settleWaitMs = 1_500;

export function createOnceCaller(options: OnceOptions): OnceCaller {
  const { clock, log, claims, results, outcomes } = options;

  const keepResult = async (
    claim: Claim,
    result: ServiceResult | undefined,
    token: CancellationToken,
  ): Promise<Partial<ClaimRow>> => {
    const keeping = result && results.keep(claim.row.attemptId, result, token);
    const kept = keeping && (await withTimeout(clock, settleWaitMs, keeping));
    return { state: 'completed', ...(kept && { result: kept }) };
  };

  const settleSoon = (claim: Claim, change: Partial<ClaimRow>) =>
    withTimeout(clock, settleWaitMs, claims.settle(claim, change, settleTries));

  const refuseUnknown = (detail: string) => refusal('outcomeUnknown', detail);

  const replay = async (
    { row }: Claim,
    sink: ResponseSink,
    token: CancellationToken,
  ): Promise<void> => {
    let result: ServiceResult | undefined;
    try {
      result = row.result && (await results.load(row.result, token));
    } catch {
      throw refusal('storeDown', 'the kept result can not be read now', { work: 'completed' });
    }
    if (!result) {
      throw refusal('outcomeUnknown', 'the call completed but its result was not kept', {
        work: 'completed',
      });
    }
    sink.head(result.status, result.headers, row.target, true);
    await sink.data(result.body);
  };

  /** Asks the agent about an open claim; undefined when the attempt may still be running. */
  const resolveOpen = async (
    claim: Claim,
    token: CancellationToken,
  ): Promise<Claim | undefined> => {
    const outcome = await outcomes.ask(claim);
    if (outcome.kind === 'running' || outcome.kind === 'silent') return undefined;
    // The take-over replaces exactly this version, so a separate write to free it is not needed.
    if (outcome.kind === 'neverRun') return { ...claim, row: { ...claim.row, state: 'not-run' } };
    if (outcome.kind === 'unknown') {
      if (claim.row.state !== 'unknown') await claims.settle(claim, { state: 'unknown' });
      throw refuseUnknown('the outcome of the first call is not known');
    }
    const change = await keepResult(claim, outcome.result, token);
    await settleSoon(claim, change);
    return { ...claim, row: { ...claim.row, ...change } };
  };

  /** Waits until another process's claim is completed or free. */
  const follow = async (first: Claim, call: OnceCall, token: CancellationToken): Promise<Claim> => {
    let claim = first;
    let askAt = clock.now() + askAfterMs;
    for (let pollMs = pollBaseMs; ; pollMs = Math.min(pollMaxMs, pollMs * 2)) {
      if (claim.row.state === 'not-run') return claim;
      if (claim.row.fingerprint !== call.fingerprint) {
        throw refusal('keyReused', 'the Idempotency-Key was used for another request');
      }
      if (claim.row.state === 'completed') return claim;
      if (claim.row.state === 'unknown' || clock.now() >= askAt) {
        const resolved = await resolveOpen(claim, token);
        if (resolved) return resolved;
        askAt = clock.now() + askAfterMs;
      }
      const remainingMs = call.deadline.remainingMs();
      if (remainingMs <= 0) throw refusal('inProgress', 'the first call is still running');
      await sleep(clock, Math.min(pollMs, remainingMs), token);
      claim = (await claims.read(call.team, call.key, token).catch(() => undefined)) ?? claim;
    }
  };

  /** Settles a claim whose attempt provably did not run, and refuses the request. */
  const releaseClaim = async (claim: Claim, dispatched: Dispatched): Promise<never> => {
    const settled = await settleSoon(claim, { state: 'not-run' });
    if (settled === 'conflict') {
      // A repeat has taken the key over, so the request itself may be running now.
      throw refusal('inProgress', 'another call with this key has taken over');
    }
    const { code, message, retryAfterMs } = dispatched;
    throw refusal(code, message, { work: 'not-run', retryAfterMs });
  };

  /** Asks for the outcome of an own attempt whose reply broke off. */
  const recover = async (
    claim: Claim,
    dispatched: Dispatched,
    call: OnceCall,
    sink: ResponseSink,
    token: CancellationToken,
  ): Promise<void> => {
    for (let pollMs = pollBaseMs; ; pollMs = Math.min(pollMaxMs, pollMs * 2)) {
      const outcome = await outcomes.ask(claim);
      if (outcome.kind === 'neverRun') await releaseClaim(claim, dispatched);
      if (outcome.kind === 'completed') {
        const { status, headers, body } = outcome.result;
        if (!dispatched.started) sink.head(status, headers, claim.row.target, false);
        await sink.data(body.subarray(dispatched.sentBytes));
        await settleSoon(claim, await keepResult(claim, outcome.result, token));
        return;
      }
      if (outcome.kind === 'unknown' || call.deadline.remainingMs() <= 0) break;
      await sleep(clock, Math.min(pollMs, call.deadline.remainingMs()), token);
    }
    await settleSoon(claim, { state: 'unknown' });
    throw refuseUnknown(dispatched.message);
  };

  const execute = async (
    claim: Claim,
    agent: AgentView,
    call: OnceCall,
    sink: ResponseSink,
    lifetime: CancellationToken,
  ): Promise<void> => {
    const dispatched = await dispatchOnce({ clock, claim, agent, call, sink });
    if (dispatched.kind === 'notRun') await releaseClaim(claim, dispatched);
    if (dispatched.kind === 'broken') {
      await recover(claim, dispatched, call, sink, lifetime);
      return;
    }
    await settleSoon(claim, await keepResult(claim, dispatched.result, lifetime));
  };

  return {
    async run(call, choose, sink, token) {
      let previous: Claim | undefined;
      for (;;) {
        let agent: AgentView;
        try {
          agent = choose();
        } catch (err) {
          // Without a target a repeat can still get a kept result.
          const known = await claims.read(call.team, call.key, token).catch(() => undefined);
          if (!known || known.row.state === 'not-run') throw err;
          const claim = await follow(known, call, token);
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
        const { held, claim } = await claims.claim(call.team, call.key, row, previous, token);
        if (held) {
          log.debug({ team: call.team, attempt: row.attemptId }, 'call claimed');
          await execute(claim, agent, call, sink, noCancellation);
          return;
        }
        const other = await follow(claim, call, token);
        if (other.row.state === 'completed') {
          await replay(other, sink, token);
          return;
        }
        previous = other;
      }
    },
  };
}
