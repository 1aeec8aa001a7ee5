import { type Random } from '../base/random.js';

/** Timing of a request that could be sent now. */
export interface DeferrableRequest {
  /** Time to the first byte if it is sent now, from the load of the best target. */
  readonly expectedMs: number;
  /** Objective of the route for the first byte. */
  readonly objectiveMs: number;
  readonly waitedMs: number;
  /** Time until the caller's deadline or the route's timeout. */
  readonly remainingMs: number;
  /** Tokens that it is expected to generate. */
  readonly outputTokens: number;
  /** Time per generated token while the engine also prefills prompts, in milliseconds. */
  readonly crowdedTokenMs: number;
}

/**
 * The engines count as idle when the expected time to the first byte is at most this fraction of
 * the objective. A late request then does not make others late, so it is not deferred.
 */
const idleObjectiveRatio = 0.35;

/**
 * Reserved time for a response in relation to the time that its expected tokens take: half of the
 * requests generate more tokens than their callers estimate.
 */
const reservedOutputRatio = 1.8;

/** Time that is reserved in addition, for the network and short slowdowns of the engine. */
const reservedMs = 400;

/** Shortest mean time between two rechecks of a request; a request takes tens of milliseconds. */
const minRecheckIntervalMs = 40;

/**
 * Least mean time between two rechecks of all deferred requests of a process. A recheck takes
 * 0.75 ms on a full core. Without this bound 30 deferred requests need more than the quarter of a
 * core that a small gateway has, which delays reading from its callers. Such a gateway sends a few
 * long prompts a second.
 */
const processRecheckIntervalMs = 20;

/** Time that a request can still be deferred and complete before its deadline. */
function spareMs(request: DeferrableRequest): number {
  const { expectedMs, remainingMs, outputTokens, crowdedTokenMs } = request;
  const outputMs = outputTokens * crowdedTokenMs * reservedOutputRatio;
  return remainingMs - expectedMs - outputMs - reservedMs;
}

/**
 * Decides whether a request is deferred while the engines have more prompts to prefill than they
 * can within the objective. This limits the effect of a burst of some seconds: without it, each
 * request queues behind all earlier ones and all are late. A request that is late in any case is
 * deferred, as long as its deadline allows, in favour of those that can still be on time.
 */
export function shouldDefer(request: DeferrableRequest): boolean {
  const { expectedMs, objectiveMs, waitedMs } = request;
  if (waitedMs + expectedMs <= objectiveMs) return false;
  if (expectedMs <= objectiveMs * idleObjectiveRatio) return false;
  return spareMs(request) > 0;
}

/**
 * Returns the time until a deferred request tries placement again. The delay grows with the number
 * of deferred requests, so that rechecks take a bounded fraction of the CPU of a small process.
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
