/** Turns requests into queue jobs with their expected cache hits and cost. */
import { type Clock } from '../base/clock.js';
import { type EngineState } from '../ports/engine.js';
import { blockTokens } from '../routing/blocks.js';
import { type CacheIndex } from './cacheindex.js';
import { type CostEstimate, type CostModel } from './cost.js';
import { type JobCost, type QueuedJob } from './job.js';
import { type PendingPrefixes, type PrefixCover } from './pendingprefixes.js';

/** Fields that offers and dispatches have in common. */
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
  /** Time from now after which the cached tokens are there; 0 when they are already. */
  readonly readyInMs: number;
}

/** Plans requests against the cache of the engine's current incarnation. */
export interface Planner {
  plan(req: PlannedRequest): Plan;
  /** Queue job of an offer. */
  offeredJob(req: PlannedRequest, plan: Plan): QueuedJob;
  /** Queue job of a dispatch, which waits for another request that computes its prefix. */
  dispatchedJob(req: PlannedRequest, onStart: (firstTokenAt: number) => void): QueuedJob;
}

export interface PlannerOptions {
  readonly clock: Clock;
  readonly index: CacheIndex;
  readonly pending: PendingPrefixes;
  readonly cost: CostModel;
  readonly currentState: () => EngineState | undefined;
}

function toJobCost({ prefillMs, decodeMs }: CostEstimate): JobCost {
  return { costMs: prefillMs + decodeMs, prefillMs };
}

export function createPlanner(options: PlannerOptions): Planner {
  const { clock, index, pending, cost, currentState } = options;

  const estimate = (req: PlannedRequest, cachedTokens: number): CostEstimate => {
    const state = currentState();
    if (!state) return { prefillMs: 0, decodeMs: 0 };
    return cost.estimate(state, { ...req, cachedTokens });
  };

  const coverOf = (req: PlannedRequest): PrefixCover =>
    pending.cover(req.blockHashes, req.blockDepths, index.has);

  /**
   * Following another computation pays when it gives an earlier first token than computing beside
   * it, which slows both down as they share the engine's prefill speed.
   */
  const planFor = (req: PlannedRequest, cover: PrefixCover): Plan => {
    const cachedTokens = cover.cached * blockTokens;
    const alone = estimate(req, cachedTokens);
    if (cover.pending === cover.cached) return { cachedTokens, cost: alone, readyInMs: 0 };
    const followTokens = cover.pending * blockTokens;
    const follow = estimate(req, followTokens);
    const readyInMs = Math.max(0, cover.readyAt - clock.now());
    const besideMs = alone.prefillMs + Math.min(readyInMs, alone.prefillMs);
    if (readyInMs + follow.prefillMs >= besideMs) {
      return { cachedTokens, cost: alone, readyInMs: 0 };
    }
    return { cachedTokens: followTokens, cost: follow, readyInMs };
  };

  /** True while the request follows another one; looked up again only after a change. */
  const createHold = (req: PlannedRequest): (() => boolean) => {
    let checkedVersion = -1;
    let held = false;
    return () => {
      if (!held && checkedVersion === pending.version) return false;
      checkedVersion = pending.version;
      const cover = coverOf(req);
      held = planFor(req, cover).cachedTokens > cover.cached * blockTokens;
      return held;
    };
  };

  const plan = (req: PlannedRequest): Plan => planFor(req, coverOf(req));

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
      isHeld: createHold(req),
      estimate: () => toJobCost(estimate(req, coverOf(req).cached * blockTokens)),
    }),
  };
}
