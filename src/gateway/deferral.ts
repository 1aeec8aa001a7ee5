import { type Random } from '../base/random.js';

/** What is known of a request that could be sent now. */
export interface DeferrableRequest {
  /** Time until its answer begins if it is sent now, by the load of the best target. */
  readonly expectedMs: number;
  /** Objective of the route for the first byte. */
  readonly objectiveMs: number;
  readonly waitedMs: number;
  /** Time until the caller's deadline or the route's timeout. */
  readonly remainingMs: number;
  /** Tokens that it is expected to make. */
  readonly outputTokens: number;
}

/**
 * Share of the objective below which the engines count as free again, so that late requests no
 * longer make others late.
 */
const idleObjectiveRatio = 0.35;

/**
 * Time for one token that is kept free for the answer, by an estimate: a step takes 5 ms, a piece of
 * a prompt 25 ms more in every third one, and half of the requests make more tokens than their
 * callers estimate, so it is doubled.
 */
const reservedMsPerToken = 24;

/** Time kept free beside the tokens, for the network and a moment in which the engine is slow. */
const reservedMs = 400;

/** Least mean time between two looks of a request; a request takes tens of milliseconds. */
const minRecheckIntervalMs = 40;

/**
 * Mean time between two looks of all waiting requests of a process. A look takes 0.75 ms of a whole
 * core. Without this bound 30 requests that wait need more than the quarter of a core that a small
 * gateway has, and its callers wait to be read. It sends a few long prompts a second.
 */
const processRecheckIntervalMs = 20;

/** Time that a request can still wait and be answered before its deadline. */
function spareMs({ expectedMs, remainingMs, outputTokens }: DeferrableRequest): number {
  return remainingMs - expectedMs - outputTokens * reservedMsPerToken - reservedMs;
}

/**
 * Decides whether a request waits at this process while the engines have more prompts to read than
 * they can within the objective. It answers a burst of some seconds: without it, each request waits
 * behind all earlier ones and all are late. A request that is late in any case waits, as long as
 * its deadline allows, for those that can still be on time.
 */
export function shouldDefer(request: DeferrableRequest): boolean {
  const { expectedMs, objectiveMs, waitedMs } = request;
  if (waitedMs + expectedMs <= objectiveMs) return false;
  if (expectedMs <= objectiveMs * idleObjectiveRatio) return false;
  return spareMs(request) > 0;
}

/**
 * Time until a request that waits looks for room again, for the number of requests that wait in this
 * process. It answers crowded small processes: their looks stay within a share of their core.
 */
export function recheckDelayMs(
  request: DeferrableRequest,
  deferredCount: number,
  random: Random,
): number {
  const meanMs = Math.max(minRecheckIntervalMs, deferredCount * processRecheckIntervalMs);
  const delayMs = meanMs * (0.5 + random.next());
  return Math.min(delayMs, Math.max(minRecheckIntervalMs / 2, spareMs(request)));
}
