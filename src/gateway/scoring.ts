import { type Random } from '../base/random.js';
import { displacementMs, memoryWaitMs, type MemoryView } from '../enginememory/cost.js';
import { crowdedTokenMs, decodeStepMs, prefillChunkMs, type TargetSpeeds } from './speeds.js';
import { type WeightsAge } from './weightsage.js';

/** Properties of one target that the placement of a request depends on. */
export interface Candidate {
  /** Unfinished requests of all gateways at the target. */
  readonly inFlightRequests: number;
  /** Prompt tokens of these requests that the target has yet to prefill. */
  readonly pendingPrefillTokens: number;
  /** Those of them that the target prefills before the tokens of this request. */
  readonly tokensAhead: number;
  readonly slots: number;
  /** In-flight requests that the target takes well, as learned; at most `slots`. */
  readonly concurrencyLimit: number;
  /** Duration of work at this target relative to its service, as learned; 1 is usual. */
  readonly speedFactor: number;
  /** Memory of an engine in tokens; Infinity for plain services. */
  readonly memoryTokens: number;
  /** Tokens that the running requests of all gateways hold there. */
  readonly heldTokens: number;
  /**
   * Tokens that this request adds to them: its prompt, without the parts that running requests
   * share with it, and the expected output.
   */
  readonly requestTokens: number;
  /** Tokens of this prompt that the target has to prefill itself. */
  readonly prefillTokens: number;
  /** Fraction of its time that the target spends on prefill, from 0 to 1. */
  readonly prefillShare: number;
  /** Tokens that the request is expected to generate. */
  readonly outputTokens: number;
  /** Tokens of this prompt that the target fetches from another engine or a KV store. */
  readonly tokensToFetch: number;
  /** Transfer time relative to one from an engine in the same data centre. */
  readonly fetchSlowness: number;
  /** Time until the link of the source is free. */
  readonly fetchWaitMs: number;
  readonly isSameDataCentre: boolean;
  /** Recent fraction of failed requests, from 0 to 1. */
  readonly failureRate: number;
  /** Processing time relative to normal; 1 is normal. */
  readonly slowness: number;
  readonly weightsAge: WeightsAge;
  /** Loads other weights, or is about to. */
  readonly isChangingWeights: boolean;
}

/**
 * Cost of a fetch. It occupies the links of both sides and makes a copy that evicts other parts,
 * so a short wait at an engine that has the parts is preferred.
 */
const fetchPenaltyMs = 40;

/** Cost of another data centre: two more network crossings, and traffic that is expensive. */
const crossDataCentrePenaltyMs = 8;

/**
 * A response from older weights loses a fifth of its value and a late one most of it, so a wait of
 * about a third of the usual objective is accepted for newer weights.
 */
const outdatedPenaltyMs = 120;

/**
 * Cost of a millisecond by which prefill at the engine delays the tokens of this request. Under
 * full load the pauses in a stream exceed their limit when its engine prefills all the time. For
 * this weight and the next see docs/MEASUREMENTS.md.
 */
const ownDelayWeight = 0.06;

/** Cost of a millisecond by which this prompt delays each in-flight request of the engine. */
const othersDelayWeight = 0.2;

/** Cost of a millisecond of prefill for prompts that are less urgent than this request. */
const behindWeight = 0.25;

/** A failed first attempt costs about the time of a second one. */
const failurePenaltyMs = 600;

/** Candidates this close to the best one count as equal, so that gateways spread their choices. */
const scoreToleranceMs = 4;

/** Parts of the time to the first byte, in milliseconds. */
export interface FirstByteTerms {
  readonly baseMs: number;
  /** Wait, or longer work, because of more requests than the target handles well. */
  readonly queueMs: number;
  /** Prefill of prompts that come first. */
  readonly aheadMs: number;
  readonly prefillMs: number;
  /** Delay by the other in-flight requests. */
  readonly contentionMs: number;
  /** Transfer of cached parts, with the wait for the link. */
  readonly transferMs: number;
  /** Time until running requests have released the memory that the request misses. */
  readonly memoryWaitMs: number;
}

/** Parts of the cost of a candidate, in milliseconds. Their sum decides. */
export interface CostTerms extends FirstByteTerms {
  readonly behindMs: number;
  readonly fetchPenaltyMs: number;
  readonly dataCentrePenaltyMs: number;
  readonly weightsPenaltyMs: number;
  readonly failurePenaltyMs: number;
  /** Delay of this request's tokens by prefill, and by steps that take longer than usual. */
  readonly ownDelayMs: number;
  readonly othersDelayMs: number;
  /** Work that is repeated because the request displaces tokens from the engine's memory. */
  readonly displacementMs: number;
}

function memoryViewOf(candidate: Candidate, speeds: TargetSpeeds): MemoryView {
  const { memoryTokens, heldTokens, requestTokens, prefillTokens, outputTokens } = candidate;
  const { tokensAhead, pendingPrefillTokens } = candidate;
  const prefillTokensPerMs = speeds.prefillTokensPerMs / candidate.speedFactor;
  const tokenMs = crowdedTokenMs(speeds) * candidate.speedFactor;
  const ownMs = prefillTokens / prefillTokensPerMs + outputTokens * tokenMs;
  const baseMs = speeds.baseMs * candidate.speedFactor;
  return {
    memoryTokens,
    heldTokens,
    requestTokens,
    aheadShare: pendingPrefillTokens > 0 ? tokensAhead / pendingPrefillTokens : 1,
    prefillTokensPerMs,
    residenceMs: (baseMs + ownMs) * Math.max(1, candidate.slowness),
  };
}

/**
 * Estimates the parts of the cost: the time to the first byte and penalties. All work takes longer at a
 * slower target. Less urgent prompts count in part: they do not delay the first byte, but the tokens
 * that follow it. A placement calls this for each target, so it makes few objects.
 */
export function costTerms(candidate: Candidate, speeds: TargetSpeeds): CostTerms {
  const { inFlightRequests, slots, tokensToFetch, tokensAhead, speedFactor } = candidate;
  const { pendingPrefillTokens, prefillTokens, outputTokens } = candidate;
  const duration = speedFactor * Math.max(1, candidate.slowness);
  const prefillMs = (prefillTokens / speeds.prefillTokensPerMs) * duration;
  const limit = Math.max(1, Math.min(slots, candidate.concurrencyLimit));
  const excessRounds = Math.max(0, inFlightRequests + 1 - limit) / limit;
  const baseMs = speeds.baseMs * duration;
  // Below its slots, a target doesn't queue the excess requests, but runs all of them slower.
  const excessMs = limit < slots ? baseMs + prefillMs : baseMs;
  const transferMs = (tokensToFetch / speeds.fetchTokensPerMs) * candidate.fetchSlowness;
  const msPerToken = speedFactor / speeds.prefillTokensPerMs;
  const chunkMs = prefillChunkMs(speeds) * speedFactor;
  const isEngine = speeds.prefillTokensPerMs !== Infinity;
  const slowerStepMs = isEngine ? (speedFactor - 1) * decodeStepMs : 0;
  const ownDelayMs = outputTokens * (candidate.prefillShare * chunkMs + slowerStepMs);
  const memory = memoryViewOf(candidate, speeds);
  return {
    baseMs,
    queueMs: excessMs * excessRounds,
    aheadMs: (tokensAhead / speeds.prefillTokensPerMs) * duration,
    prefillMs,
    contentionMs: inFlightRequests * speeds.delayPerRequestMs * duration,
    transferMs: tokensToFetch > 0 ? transferMs + candidate.fetchWaitMs : 0,
    memoryWaitMs: memoryWaitMs(memory),
    behindMs: (pendingPrefillTokens - tokensAhead) * msPerToken * behindWeight,
    fetchPenaltyMs: tokensToFetch > 0 ? fetchPenaltyMs : 0,
    dataCentrePenaltyMs: candidate.isSameDataCentre ? 0 : crossDataCentrePenaltyMs,
    weightsPenaltyMs: candidate.weightsAge === 'current' ? 0 : outdatedPenaltyMs,
    failurePenaltyMs: candidate.failureRate * failurePenaltyMs,
    ownDelayMs: ownDelayMs * ownDelayWeight,
    othersDelayMs: inFlightRequests * prefillTokens * msPerToken * othersDelayWeight,
    displacementMs: displacementMs(memory),
  };
}

/** Adds up the parts of the time to the first byte, in milliseconds. */
function firstByteMsOf(terms: FirstByteTerms): number {
  return (
    terms.baseMs +
    terms.queueMs +
    terms.aheadMs +
    terms.prefillMs +
    terms.contentionMs +
    terms.transferMs +
    terms.memoryWaitMs
  );
}

/** Estimates the prefill of the prompt at the candidate, in milliseconds. */
export function prefillWorkMs(candidate: Candidate, speeds: TargetSpeeds): number {
  const duration = candidate.speedFactor * Math.max(1, candidate.slowness);
  return (candidate.prefillTokens / speeds.prefillTokensPerMs) * duration;
}

/**
 * Estimates the time that a request waits for others at the candidate, in milliseconds: prompts that
 * are prefilled first, and requests at least as urgent that wait for a slot.
 */
export function estimateAheadMs(candidate: Candidate, speeds: TargetSpeeds): number {
  const { inFlightRequests, slots, tokensAhead, outputTokens, speedFactor, slowness } = candidate;
  const { aheadShare } = memoryViewOf(candidate, speeds);
  const queuedRounds =
    (Math.max(0, inFlightRequests + 1 - slots) * aheadShare) / Math.max(1, slots);
  const slotMs = queuedRounds * outputTokens * crowdedTokenMs(speeds);
  const duration = speedFactor * Math.max(1, slowness);
  return (tokensAhead / speeds.prefillTokensPerMs + slotMs) * duration;
}

/** Estimates the time to the first byte, in milliseconds. */
export function estimateFirstByteMs(candidate: Candidate, speeds: TargetSpeeds): number {
  return firstByteMsOf(costTerms(candidate, speeds));
}

/** Estimates the cost of a candidate in milliseconds: the sum of its parts. */
export function estimateCostMs(candidate: Candidate, speeds: TargetSpeeds): number {
  const terms = costTerms(candidate, speeds);
  return (
    firstByteMsOf(terms) +
    terms.behindMs +
    terms.fetchPenaltyMs +
    terms.dataCentrePenaltyMs +
    terms.weightsPenaltyMs +
    terms.failurePenaltyMs +
    terms.ownDelayMs +
    terms.othersDelayMs +
    terms.displacementMs
  );
}

/**
 * Rank of a candidate; one of a higher rank is used only when there is none of a lower rank, and one
 * of infinite rank never.
 */
export function exclusionRank({ weightsAge, isChangingWeights }: Candidate): number {
  if (weightsAge === 'expired') return Infinity;
  if (weightsAge === 'overdue') return 2;
  return isChangingWeights ? 1 : 0;
}

/**
 * Returns the indexes of the cheapest candidates of the lowest exclusion rank, of which a random one
 * is used; empty when there is none that may be used.
 */
export function findCheapest(
  candidates: readonly Candidate[],
  speeds: TargetSpeeds,
): readonly number[] {
  const lowestRank = Math.min(...candidates.map(exclusionRank));
  if (lowestRank === Infinity) return [];
  const scores = candidates.map((candidate) =>
    exclusionRank(candidate) > lowestRank ? Infinity : estimateCostMs(candidate, speeds),
  );
  const best = Math.min(...scores);
  const tied: number[] = [];
  for (const [index, score] of scores.entries())
    if (score <= best + scoreToleranceMs) tied.push(index);
  return tied;
}

/**
 * Returns the index of a random one of the cheapest candidates; undefined when there is none. Those
 * that `isPreferred` accepts go first.
 */
export function pickCandidate(
  candidates: readonly Candidate[],
  speeds: TargetSpeeds,
  random: Random,
  isPreferred: (index: number) => boolean = () => false,
): number | undefined {
  const tied = findCheapest(candidates, speeds);
  const preferred = tied.filter(isPreferred);
  const eligible = preferred.length > 0 ? preferred : tied;
  return eligible.length > 0 ? eligible[random.integer(eligible.length)] : undefined;
}
