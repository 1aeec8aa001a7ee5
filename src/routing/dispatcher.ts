import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type RetryBudgets } from '../limits/retrybudget.js';
import { type Chunk } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentDirectory, type AgentView } from '../membership/directory.js';
import {
  type AttemptFailure,
  type AttemptDependencies,
  type RunningAttempt,
  startAttempt,
  toDispatch,
} from './attempt.js';
import { type TargetHealth } from './health.js';
import { awaitFirstStep, createHedgeTimer, findHedgeAgents, type HedgeResult } from './hedging.js';
import {
  createProgress,
  expiredRefusal,
  failureOf,
  finalRefusal,
  isPersistentRefusal,
  isStaleViewRefusal,
  noTargetFailure,
  type Progress,
} from './outcomes.js';
import { type AttemptPurpose, type Choice, type PlacementPolicy } from './policies.js';
import { createProber } from './probe.js';
import { type CompletionRequest } from './request.js';

/** Event of a running completion, for the code that responds to the caller. */
export type CompletionEvent =
  | { readonly kind: 'accepted'; readonly target: string; readonly attempt: number }
  | {
      readonly kind: 'text';
      /** Increases over all attempts of the request; a caller resumes after this number. */
      readonly seq: number;
      readonly text: string;
      readonly tokens: number;
    }
  | {
      readonly kind: 'end';
      readonly seq: number;
      readonly finishReason: string;
      readonly promptTokens: number;
      readonly cachedTokens: number;
      readonly outputTokens: number;
    };

/** Returns whether an agent may serve a request. */
export type AgentFilter = (agent: AgentView) => boolean;

/**
 * Runs completions: chooses targets, hedges, retries, and continues interrupted streams, on another
 * target if there is one.
 */
export interface Dispatcher {
  /**
   * Yields events until `end`; throws CancelledError when the token is cancelled and RefusalError
   * for every other outcome. Events come from one attempt at a time: when a hedge is started, the
   * losing attempt is cancelled before any of its output is passed on.
   */
  run(
    req: CompletionRequest,
    mayServe: AgentFilter,
    token: CancellationToken,
  ): AsyncGenerator<CompletionEvent>;
}

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly directory: AgentDirectory;
  readonly policy: PlacementPolicy;
  readonly health: TargetHealth;
  readonly budgets: Pick<RetryBudgets, 'of'>;
}

/**
 * Maximum consecutive failures of attempts or placements, after which the request is not retried;
 * delivered text resets the count. Refusals within `maxStaleViewRetries` do not count, and an
 * attempt and its hedge that both fail count once.
 */
const maxFailuresWithoutText = 4;

/**
 * Attempts, including hedges, after which a request is not retried, except for refusals within
 * `maxStaleViewRetries`; bounds the retries when a target interrupts every stream.
 */
const maxAttempts = 12;

/**
 * Refusals for a stale view since the last delivered text that are retried without delay and
 * without using the budget.
 */
const maxStaleViewRetries = 2;

/** Maximum chunks sent with a continuation; the agent's replay window has the same size. */
const maxDeliveredChunks = 256;

const retryBaseMs = 20;

const retryMaxMs = 500;

function appendChunks(progress: Progress, chunks: readonly Chunk[]): void {
  progress.chunks.push(...chunks);
  if (progress.chunks.length < 2 * maxDeliveredChunks) return;
  progress.chunks = progress.chunks.slice(-maxDeliveredChunks);
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, random, log, directory, policy, health, budgets } = options;
  const hedgeTimer = createHedgeTimer();
  const deps: AttemptDependencies = {
    clock,
    log,
    directory,
    health,
    onFirstToken: (expectedMs, actualMs) => hedgeTimer.observe(expectedMs, actualMs),
  };

  const prober = createProber({ deps, policy, budgets });

  const findEligibleAgents = (mayServe: AgentFilter, progress: Progress): readonly AgentView[] => {
    const serving = directory.usable().filter((agent) => {
      if (!mayServe(agent)) return false;
      const version = agent.status?.weightsVersion;
      return progress.weightsVersion === '' || version === progress.weightsVersion;
    });
    const untried = serving.filter((agent) => !progress.failedAddresses.has(agent.address));
    return untried.length > 0 ? untried : serving;
  };

  const dispatch = (
    req: CompletionRequest,
    choice: Choice,
    progress: Progress,
    token: CancellationToken,
  ): RunningAttempt => {
    progress.attempt += 1;
    progress.possiblyRunAttempts += 1;
    // A continuation uses the weights of the delivered text; agents with other weights refuse it.
    const weightsVersion = progress.weightsVersion || choice.weightsVersion;
    const init = toDispatch(req, choice, {
      attempt: progress.attempt,
      weightsVersion,
      remainingMs: req.deadline.remainingMs(),
      deliveredText: progress.deliveredText,
      deliveredTokens: progress.deliveredTokens,
      delivered: progress.chunks.slice(-maxDeliveredChunks),
    });
    return startAttempt(deps, choice, init, token, req.isIdempotent === false);
  };

  /** Records a failed attempt in the progress of its request and logs it. */
  const recordFailure = (
    req: CompletionRequest,
    progress: Progress,
    { target, attempt, choice }: RunningAttempt,
    failure: AttemptFailure,
  ): void => {
    if (failure.notRun) progress.possiblyRunAttempts -= 1;
    // One refusal for a stale view shows no fault of the target. From the second one of the request
    // on, the refusing target is avoided, because policies that choose by status would choose it
    // again.
    if (!isStaleViewRefusal(failure) || progress.staleViewRefusals > 0)
      progress.failedAddresses.add(choice.agent.address);
    const { requestId, team } = req;
    log.info({ requestId, team, target, attempt, err: failure.message }, 'attempt failed');
  };

  /** Starts an attempt and, when its first token is late, possibly a hedge. */
  const startWithHedge = async (
    req: CompletionRequest,
    mayServe: AgentFilter,
    choice: Choice,
    progress: Progress,
    token: CancellationToken,
  ): Promise<HedgeResult> => {
    const primary = dispatch(req, choice, progress, token);
    if (choice.probe && req.isIdempotent !== false) prober.probe(req, choice.probe);
    const delayMs = hedgeTimer.delayMs(choice.expectedFirstTokenMs);
    const mayHedge = req.isIdempotent !== false && progress.deliveredText === '';
    if (delayMs === undefined || !mayHedge) {
      return { attempt: primary, step: await primary.next(), failed: [] };
    }
    const startHedge = async (isAnswered: () => boolean): Promise<RunningAttempt | undefined> => {
      health.observeLate(primary.target, choice.expectedFirstTokenMs, delayMs);
      const agents = findHedgeAgents(findEligibleAgents(mayServe, progress), choice.agent);
      if (agents.length === 0 || budgets.of(req.model).available < 1) return undefined;
      const placement = await policy.choose(req, agents, token, 'hedge').catch(() => undefined);
      if (placement?.kind !== 'chosen' || isAnswered() || token.isCancellationRequested) {
        return undefined;
      }
      return budgets.of(req.model).tryWithdraw()
        ? dispatch(req, placement, progress, token)
        : undefined;
    };
    return awaitFirstStep(primary, { clock, delayMs, startHedge });
  };

  /** Runs one attempt, with its hedge, to the end; returns a failure for an incomplete response. */
  async function* runAttempt(
    req: CompletionRequest,
    mayServe: AgentFilter,
    choice: Choice,
    progress: Progress,
    token: CancellationToken,
  ): AsyncGenerator<CompletionEvent, AttemptFailure | undefined> {
    const result = await startWithHedge(req, mayServe, choice, progress, token);
    const { attempt: running } = result;
    for (const { attempt, step } of result.failed) {
      if (step.kind === 'failed') recordFailure(req, progress, attempt, step.failure);
    }
    let { step } = result;
    try {
      if (step.kind !== 'failed') {
        yield { kind: 'accepted', target: running.target, attempt: running.attempt };
      }
      while (step.kind === 'text') {
        appendChunks(progress, running.takeChunks());
        progress.weightsVersion = running.choice.weightsVersion;
        progress.deliveredText += step.text;
        progress.deliveredTokens += step.tokens;
        progress.failuresSinceText = 0;
        progress.staleViewRefusals = 0;
        yield step;
        step = await running.next();
      }
    } finally {
      running.cancel('caller stopped reading');
    }
    token.throwIfCancelled();
    if (step.kind === 'failed') {
      recordFailure(req, progress, running, step.failure);
      return step.failure;
    }
    const { finishReason, promptTokens, cachedTokens } = step.end;
    const { seq } = step;
    const outputTokens = progress.deliveredTokens;
    yield { kind: 'end', seq, finishReason, promptTokens, cachedTokens, outputTokens };
    return undefined;
  }

  /** Waits before the next attempt; throws the final refusal when no further one is allowed. */
  const prepareRetry = async (
    req: CompletionRequest,
    progress: Progress,
    failure: AttemptFailure,
    token: CancellationToken,
  ): Promise<void> => {
    if (!failure.isPlacementFailure && isStaleViewRefusal(failure)) {
      progress.staleViewRefusals += 1;
      if (progress.staleViewRefusals <= maxStaleViewRetries) return;
    }
    progress.failuresSinceText += 1;
    const isContinuation = progress.deliveredText !== '';
    const mayRetry = progress.possiblyRunAttempts === 0 || req.isIdempotent !== false;
    const isExhausted =
      progress.failuresSinceText >= maxFailuresWithoutText || progress.attempt >= maxAttempts;
    if (!mayRetry || isExhausted) throw finalRefusal(progress, failure);
    if (failure.isPlacementFailure && isPersistentRefusal(failure) && !isContinuation)
      throw finalRefusal(progress, failure);
    if (isContinuation) budgets.of(req.model).charge();
    else if (!budgets.of(req.model).tryWithdraw()) throw finalRefusal(progress, failure);
    const delayMs = fullJitter(random, retryBaseMs, retryMaxMs, progress.failuresSinceText - 1);
    await sleep(clock, Math.min(delayMs, req.deadline.remainingMs()), token);
  };

  async function* runUntilEnd(
    req: CompletionRequest,
    mayServe: AgentFilter,
    progress: Progress,
    token: CancellationToken,
  ): AsyncGenerator<CompletionEvent> {
    for (;;) {
      token.throwIfCancelled();
      let failure: AttemptFailure | undefined = noTargetFailure;
      const agents = findEligibleAgents(mayServe, progress);
      if (agents.length > 0) {
        const purpose: AttemptPurpose = progress.attempt === 0 ? 'first' : 'retry';
        const placement = await policy.choose(req, agents, token, purpose);
        failure =
          placement.kind === 'chosen'
            ? yield* runAttempt(req, mayServe, placement, progress, token)
            : failureOf(placement);
      }
      if (!failure) return;
      await prepareRetry(req, progress, failure, token);
    }
  }

  return {
    async *run(req, mayServe, token) {
      budgets.of(req.model).deposit();
      const progress = createProgress();
      const source = createCancellationSource(token);
      let isExpired = false;
      const timer = clock.setTimer(req.deadline.remainingMs(), () => {
        isExpired = true;
        source.cancel('deadline passed');
      });
      try {
        yield* runUntilEnd(req, mayServe, progress, source.token);
      } catch (err) {
        if (isExpired && !token.isCancellationRequested) throw expiredRefusal(progress);
        throw err;
      } finally {
        timer.dispose();
        source.dispose();
      }
    },
  };
}
