import { type FailureTracker } from './failuretracker.js';
import {
  type Candidate,
  type CostTerms,
  costTerms,
  estimateAheadMs,
  estimateCostMs,
  estimateFirstByteMs,
  exclusionRank,
  findCheapest,
  prefillWorkMs,
} from './scoring.js';
import { crowdedTokenMs, type TargetSpeeds } from './speeds.js';
import { type TargetLimits } from './targetlimits.js';
import { type Target } from './targets.js';

/** One target of a service and what the placement of a request there depends on. */
export interface ExplainedTarget {
  readonly target: string;
  /** `chosen`: one of the cheapest, of which a random one is used. */
  readonly state: 'chosen' | 'usable' | 'excluded';
  /** Why the target is excluded; undefined for others. */
  readonly reason: string | undefined;
  readonly costMs: number;
  /** Parts of the cost in milliseconds; they sum to `costMs`. */
  readonly terms: CostTerms;
  /** Time to the first byte, a part of the cost. */
  readonly expectedMs: number;
  /** Time per generated token while the target also prefills prompts, in milliseconds. */
  readonly crowdedTokenMs: number;
  /** Wait for requests at least as urgent, in milliseconds. */
  readonly aheadMs: number;
  /** Prefill of the prompt, in milliseconds. */
  readonly workMs: number;
  /** Memory of an engine in tokens; undefined when it is not limited. */
  readonly memory: number | undefined;
  readonly inputs: Candidate;
  /** Age of the newest load report of the target to this gateway; Infinity when there was none. */
  readonly loadAgeMs: number;
}

interface Assessment {
  readonly candidates: readonly Candidate[];
  readonly speeds: TargetSpeeds;
}

const rankReasons = new Map([
  [1, 'changes its weights'],
  [2, 'weights overdue'],
  [Infinity, 'weights expired'],
]);

const stateOrder = { chosen: 0, usable: 1, excluded: 2 };

/** Returns why some of the targets get no requests, whatever their cost. */
export function findExclusions(
  targets: readonly Target[],
  failureTracker: Pick<FailureTracker, 'isDown'>,
  limits: Pick<TargetLimits, 'peekWaitMs'>,
): ReadonlyMap<Target, string> {
  const reasons = new Map<Target, string>();
  for (const target of targets) {
    if (target.isLeaving) reasons.set(target, 'leaving');
    else if (failureTracker.isDown(target)) reasons.set(target, 'unreachable');
    else if (limits.peekWaitMs(target) > 0) reasons.set(target, 'limited');
  }
  return reasons;
}

/**
 * Lists targets with the terms of the decision, the best first.
 * @param reasons why some of them may not be used, whatever their cost
 */
export function explainCandidates(
  targets: readonly Target[],
  reasons: ReadonlyMap<Target, string>,
  assess: (targets: readonly Target[]) => Assessment,
): readonly ExplainedTarget[] {
  const ordered = [
    ...targets.filter((target) => !reasons.has(target)),
    ...targets.filter((target) => reasons.has(target)),
  ];
  const usableCount = targets.length - reasons.size;
  const { candidates, speeds } = assess(ordered);
  const usable = candidates.slice(0, usableCount);
  const cheapest = new Set(findCheapest(usable, speeds));
  const lowestRank = Math.min(...usable.map(exclusionRank));
  const explained = candidates.map((inputs, index): ExplainedTarget => {
    const target = ordered[index] as Target;
    const rank = exclusionRank(inputs);
    const isOutranked = rank > lowestRank || rank === Infinity;
    const reason = reasons.get(target) ?? (isOutranked ? rankReasons.get(rank) : undefined);
    const usableState = cheapest.has(index) ? 'chosen' : 'usable';
    return {
      target: target.id,
      state: reason === undefined ? usableState : 'excluded',
      reason,
      costMs: estimateCostMs(inputs, speeds),
      terms: costTerms(inputs, speeds),
      expectedMs: estimateFirstByteMs(inputs, speeds),
      crowdedTokenMs: crowdedTokenMs(speeds) * inputs.speedFactor,
      aheadMs: estimateAheadMs(inputs, speeds),
      workMs: prefillWorkMs(inputs, speeds),
      memory: inputs.memoryTokens < Infinity ? inputs.memoryTokens : undefined,
      inputs,
      loadAgeMs: target.loadAgeMs(),
    };
  });
  return explained.sort((a, b) => stateOrder[a.state] - stateOrder[b.state] || a.costMs - b.costMs);
}
