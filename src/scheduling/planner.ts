/** Converts requests to queue jobs with their expected cache hits and cost. */
import { type Clock } from '../base/clock.js';
import { type EngineState } from '../ports/engine.js';
import { blockTokens } from '../routing/blocks.js';
import { type CacheIndex } from './cacheindex.js';
import { type CostEstimate, type CostModel } from './cost.js';
import { type JobCost, type QueuedJob } from './job.js';
import { type PendingPrefixes, type PrefixCoverage } from './pendingprefixes.js';

/** Fields that offer and dispatch requests have in common. */
export interface PlannedRequest {
  readonly team: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly remainingMs: number;
  readonly blockHashes: readonly bigint[];
  /** Depths of sampled hashes; absent when every block of the prompt is given. */
  readonly blockDepths?: readonly number[];
}

/** Expected work of one request. */
export interface Plan {
  readonly cachedTokens: number;
  readonly cost: CostEstimate;
  /**
   * Expected time until the cached tokens are available; 0 when they are, or when the time at which
   * they were expected has passed.
   */
  readonly readyInMs: number;
}

/** Plans requests against the cache of the engine's current incarnation. */
export interface Planner {
  plan(req: PlannedRequest): Plan;
  /** Queue job of an offer. */
  offeredJob(req: PlannedRequest, plan: Plan): QueuedJob;
  /**
   * Queue job of a dispatch, which is held while another request computes its prefix if the wait
   * is expected to give an earlier first token.
   */
  dispatchedJob(req: PlannedRequest, onStart: (firstTokenAt: number) => void): QueuedJob;
}

export interface PlannerOptions {
  readonly clock: Clock;
  readonly cacheIndex: CacheIndex;
  readonly pendingPrefixes: PendingPrefixes;
  readonly costModel: CostModel;
  readonly currentState: () => EngineState | undefined;
}

function toJobCost({ prefillMs, decodeMs }: CostEstimate): JobCost {
  return { costMs: prefillMs + decodeMs, prefillMs };
}

export function createPlanner(options: PlannerOptions): Planner {
  const { clock, cacheIndex, pendingPrefixes, costModel, currentState } = options;

  const estimate = (req: PlannedRequest, cachedTokens: number): CostEstimate => {
    const state = currentState();
    if (!state) return { prefillMs: 0, decodeMs: 0 };
    return costModel.estimate(state, { ...req, cachedTokens });
  };

  const requestCoverage = (req: PlannedRequest): PrefixCoverage =>
    pendingPrefixes.coverageOf(req.blockHashes, req.blockDepths, cacheIndex.has);

  /**
   * Plans to wait for another request's computation if the first token is then expected earlier
   * than with a concurrent one, which slows both down as they share the engine's prefill speed.
   */
  const planFor = (req: PlannedRequest, coverage: PrefixCoverage): Plan => {
    const cachedTokens = coverage.cachedDepth * blockTokens;
    const immediate = estimate(req, cachedTokens);
    if (coverage.pendingDepth === coverage.cachedDepth)
      return { cachedTokens, cost: immediate, readyInMs: 0 };
    const pendingTokens = coverage.pendingDepth * blockTokens;
    const afterWait = estimate(req, pendingTokens);
    const readyInMs = Math.max(0, coverage.readyAt - clock.now());
    const concurrentPrefillMs = immediate.prefillMs + Math.min(readyInMs, immediate.prefillMs);
    if (readyInMs + afterWait.prefillMs >= concurrentPrefillMs) {
      return { cachedTokens, cost: immediate, readyInMs: 0 };
    }
    return { cachedTokens: pendingTokens, cost: afterWait, readyInMs };
  };

  /**
   * Returns a check that is true while the request waits for another one to compute its prefix. A
   * negative result is reused until the pending prefixes change.
   */
  const createBlockedCheck = (req: PlannedRequest): (() => boolean) => {
    let checkedVersion = -1;
    let isBlocked = false;
    return () => {
      if (!isBlocked && checkedVersion === pendingPrefixes.version) return false;
      checkedVersion = pendingPrefixes.version;
      const coverage = requestCoverage(req);
      isBlocked = planFor(req, coverage).cachedTokens > coverage.cachedDepth * blockTokens;
      return isBlocked;
    };
  };

  const plan = (req: PlannedRequest): Plan => planFor(req, requestCoverage(req));

  const jobOf = (req: PlannedRequest, planned: Plan): QueuedJob => {
    const { team, priority, remainingMs } = req;
    return { team, priority, remainingMs, ...toJobCost(planned.cost) };
  };

  return {
    plan,
    offeredJob: jobOf,
    dispatchedJob: (req, onStart) => ({
      ...jobOf(req, plan(req)),
      onStart,
      isBlocked: createBlockedCheck(req),
      estimate: () => toJobCost(estimate(req, requestCoverage(req).cachedDepth * blockTokens)),
    }),
  };
}
