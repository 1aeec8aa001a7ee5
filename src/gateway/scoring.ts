import { type Random } from '../base/random.js';

/** What is known of one target when a request is placed. */
export interface Candidate {
  /** Requests of all entries that have not finished there. */
  readonly inFlightRequests: number;
  /** Prompt tokens of all entries that the target has not read yet. */
  readonly pendingPrefillTokens: number;
  readonly slots: number;
  /** Tokens of this prompt that the target has to read itself. */
  readonly prefillTokens: number;
  /** Share of its time that the target spends on reading prompts. */
  readonly prefillShare: number;
  /** Tokens that the request is expected to make. */
  readonly outputTokens: number;
  /** Tokens of this prompt that the target fetches from elsewhere. */
  readonly tokensToFetch: number;
  /** Speed of the source relative to an engine in the same data centre. */
  readonly fetchSlowness: number;
  /** Wait for the link of the source. */
  readonly fetchWaitMs: number;
  readonly isSameDataCentre: boolean;
  /** Recent share of failed requests, from 0 to 1. */
  readonly failureRate: number;
  /** Time that work takes relative to the usual. */
  readonly slowness: number;
  /** Serves an older version than the operator wants. */
  readonly isOutdated: boolean;
  /** Serves an older version than the operator has wanted for a while. */
  readonly isOverdue: boolean;
  /** Is about to change its weights, or does so now. */
  readonly isChangingWeights: boolean;
}

/** Speeds of a kind of target. */
export interface TargetSpeeds {
  /** Time of a request without its prompt, in milliseconds. */
  readonly baseMs: number;
  /** Prompt tokens that are read in a millisecond; Infinity for plain services. */
  readonly prefillTokensPerMs: number;
}

/** Speeds of model engines, from the operators' sheet of the site. */
export const engineSpeeds: TargetSpeeds = { baseMs: 41, prefillTokensPerMs: 81.9 };

/** Time of a call of a plain service, from the operators' sheet of the site. */
export const serviceSpeeds: TargetSpeeds = { baseMs: 43, prefillTokensPerMs: Infinity };

/**
 * A transfer takes the links of both sides and makes a copy that pushes other parts out, so some
 * wait at an engine that has the parts is preferred.
 */
const fetchPenaltyMs = 40;

/** Tokens that an engine fetches in a millisecond, at 130 Gbit/s and 18 KB a token. */
const fetchTokensPerMs = 880;

/** Two more crossings of the network, and bytes between data centres, which are dear. */
const crossDataCentrePenaltyMs = 8;

/** A plain service slows down a little with each call. */
const delayPerCallMs = 3;

/** A step of an engine takes this much longer with each further run, over some 20 steps. */
const delayPerRequestMs = 1.6;

/**
 * An answer on older weights loses a fifth of its worth and a late one most of it, so a wait of
 * about a third of the usual objective is accepted for newer weights.
 */
const outdatedPenaltyMs = 120;

/** An engine reads a prompt in pieces of 2,048 tokens; each token of its runs waits for one. */
const prefillChunkMs = 25;

/**
 * Cost of a millisecond by which the tokens of this request are later because its engine reads
 * prompts. Under full load the pauses of a stream are late when its engine reads all the time. Both
 * weights are from the trials in docs/MEASUREMENTS.md.
 */
const ownDelayWeight = 0.06;

/** Cost of a millisecond by which a prompt delays each run of its engine. */
const othersDelayWeight = 0.2;

/** A failed first try costs about the time of another one. */
const failurePenaltyMs = 600;

/** Candidates within this time of the best one count as equal, so that entries do not all agree. */
const scoreToleranceMs = 4;

/** Expected time to the first byte. */
export function estimateFirstByteMs(candidate: Candidate, speeds: TargetSpeeds): number {
  const { inFlightRequests, slots, slowness, tokensToFetch } = candidate;
  const tokens = candidate.pendingPrefillTokens + candidate.prefillTokens;
  const prefillMs = tokens / speeds.prefillTokensPerMs;
  const queuedRounds = Math.max(0, inFlightRequests + 1 - slots) / Math.max(1, slots);
  const contentionMs =
    speeds.prefillTokensPerMs === Infinity
      ? inFlightRequests * delayPerCallMs
      : inFlightRequests * delayPerRequestMs;
  const workMs =
    (speeds.baseMs * (1 + queuedRounds) + prefillMs + contentionMs) * Math.max(1, slowness);
  const transferMs = (tokensToFetch / fetchTokensPerMs) * candidate.fetchSlowness;
  return workMs + (tokensToFetch > 0 ? transferMs + candidate.fetchWaitMs : 0);
}

/** Expected time to the first byte and the cost of what else speaks against a target. */
export function estimateCostMs(candidate: Candidate, speeds: TargetSpeeds): number {
  const ownDelayMs = candidate.outputTokens * candidate.prefillShare * prefillChunkMs;
  const othersDelayMs =
    candidate.inFlightRequests * (candidate.prefillTokens / speeds.prefillTokensPerMs);
  const fetchCostMs = candidate.tokensToFetch > 0 ? fetchPenaltyMs : 0;
  const penaltyMs =
    (candidate.isSameDataCentre ? 0 : crossDataCentrePenaltyMs) +
    (candidate.isOutdated ? outdatedPenaltyMs : 0) +
    candidate.failureRate * failurePenaltyMs;
  return (
    estimateFirstByteMs(candidate, speeds) +
    fetchCostMs +
    penaltyMs +
    ownDelayMs * ownDelayWeight +
    othersDelayMs * othersDelayWeight
  );
}

/** What keeps a candidate out while there are others, from the worst to the least. */
function exclusionRank({ isOverdue, isChangingWeights }: Candidate): number {
  if (isOverdue) return 2;
  return isChangingWeights ? 1 : 0;
}

/** Index of the best candidate among those with the least obstacle. */
export function pickCandidate(
  candidates: readonly Candidate[],
  speeds: TargetSpeeds,
  random: Random,
): number | undefined {
  const lowestRank = Math.min(...candidates.map(exclusionRank));
  const scores = candidates.map((candidate) =>
    exclusionRank(candidate) > lowestRank ? Infinity : estimateCostMs(candidate, speeds),
  );
  const best = Math.min(...scores);
  if (best === Infinity) return undefined;
  const tied: number[] = [];
  for (const [index, score] of scores.entries())
    if (score <= best + scoreToleranceMs) tied.push(index);
  return tied[random.integer(tied.length)];
}
