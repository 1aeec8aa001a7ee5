import { type Random } from '../base/random.js';

/** Timing of a request that could be sent now. */
export interface DeferrableRequest {
  /** Time to the first byte if it is sent now, from the load of the best target. */
  readonly expectedMs: number;
  /** Objective of the route for the first byte. */
  readonly objectiveMs: number;
  /** Tightest objective of the streams that share the engines. */
  readonly tightestObjectiveMs: number;
  readonly waitedMs: number;
  /** Time without a first event after which the caller abandons the request. */
  readonly patienceMs: number;
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

/** Time that is reserved for the tokens of a response, in milliseconds. */
export function outputTimeMs({
  outputTokens,
  crowdedTokenMs,
}: Pick<DeferrableRequest, 'outputTokens' | 'crowdedTokenMs'>): number {
  return outputTokens * crowdedTokenMs * reservedOutputRatio;
}

/**
 * Time that a request can still be deferred and then begin before its caller abandons it, and
 * complete before its deadline.
 */
function spareMs(request: DeferrableRequest): number {
  const { expectedMs, remainingMs, patienceMs, waitedMs } = request;
  const latestStartMs = Math.min(patienceMs - waitedMs, remainingMs - outputTimeMs(request));
  return latestStartMs - expectedMs - reservedMs;
}

/**
 * True when the request can be on time, or makes no other one late. A route with a loose objective
 * does not fill the engines' queues up to it, because streams with a tighter one share them.
 */
export function hasRoom(request: DeferrableRequest): boolean {
  const { expectedMs, objectiveMs, tightestObjectiveMs, waitedMs } = request;
  if (expectedMs <= objectiveMs * idleObjectiveRatio) return true;
  return expectedMs <= tightestObjectiveMs && waitedMs + expectedMs <= objectiveMs;
}

/**
 * Decides whether a request is deferred while the engines have more prompts to prefill than they
 * can within the objective. This limits the effect of a burst of some seconds: without it, each
 * request queues behind all earlier ones and all are late. A request that is late in any case is
 * deferred, as long as its deadline allows, in favour of those that can still be on time.
 */
export function shouldDefer(request: DeferrableRequest): boolean {
  return !hasRoom(request) && spareMs(request) > 0;
}

/** Other deferred requests of one route at this process. */
export interface DeferralBacklog {
  readonly deferred: number;
  /** Deferred requests for which engines had room recently, per millisecond. */
  readonly roomPerMs: number;
}

/** What happens to a request now. A refused one was sent to no target. */
export type DeferralDecision = 'send' | 'defer' | 'refuse';

/**
 * Requests of a route that are deferred whatever the recent rate, so that returning capacity is
 * noticed.
 */
const minDeferred = 3;

/**
 * Requests that are deferred in relation to those that would find room at the recent rate. Bursts are
 * often over before callers give up, and the engines then have room for more.
 */
const backlogOptimism = 2;

/** Bounds of Retry-After: a shorter one adds load, with a longer one few callers return. */
const retryAfterRangeMs = { min: 200, max: 2_000 };

/**
 * Decides what happens to a request for a stream that could be sent now. It answers bursts and
 * losses of engines in which more prompts arrive than can be served for seconds: the number of
 * deferred requests stays within what finds room before callers give up, and the others are told at
 * once, while there is time to come back.
 */
export function decideDeferral(
  request: DeferrableRequest,
  isDeferred: boolean,
  backlog: DeferralBacklog,
): DeferralDecision {
  if (hasRoom(request)) return 'send';
  if (shouldDefer(request)) {
    if (isDeferred) return 'defer';
    const maxRoom = backlogOptimism * backlog.roomPerMs * spareMs(request);
    return backlog.deferred < Math.max(minDeferred, maxRoom) ? 'defer' : 'refuse';
  }
  // It would be late and make others late, and its caller still has the time to come back.
  if (isDeferred) return 'refuse';
  // The time for the output is left out: it depends on what the engine does next.
  const { expectedMs, waitedMs, remainingMs, patienceMs } = request;
  return expectedMs < Math.min(patienceMs - waitedMs, remainingMs) ? 'send' : 'refuse';
}

/**
 * Returns how long a refused caller should wait: the time in which the deferred requests ahead of it
 * find room, with a random part that spreads the returns.
 */
export function refusalRetryAfterMs(
  { deferred, roomPerMs }: DeferralBacklog,
  random: Random,
): number {
  const { min, max } = retryAfterRangeMs;
  const backlogMs = roomPerMs > 0 ? deferred / roomPerMs : max;
  return min + random.next() * (Math.min(max, Math.max(2 * min, backlogMs)) - min);
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
