import {
  type DeferrableRequest,
  type DeferralBacklog,
  type DeferralDecision,
  hasRoom,
  outputTimeMs,
} from './deferral.js';

/** Timing of a request for engines whose memory and load are known. Durations in milliseconds. */
export interface EngineRequest extends DeferrableRequest {
  /** Wait for requests at least as urgent at the engine. */
  readonly aheadMs: number;
  /** Prefill of this prompt. */
  readonly workMs: number;
  /** Fraction of the recent requests of the service that are more urgent and late, from 0 to 1. */
  readonly urgentLateShare: number;
  /** The same with the requests of its own class. */
  readonly classLateShare: number;
  /** The class has not had its minimum share of the recent requests. */
  readonly isBelowMinimum: boolean;
}

/**
 * Longest queue of prompts, in relation to the tightest objective, behind which a request is sent
 * although it will be late: a request of the tightest class that arrives next can be on time.
 */
const shortQueueRatio = 0.35;

/** The same for a late request: an engine at which practically nothing waits. */
const lateIdleRatio = 0.02;

/** Prefill time in relation to the objective from which a prompt counts as large. */
const largeWorkRatio = 0.35;

/** Late fraction of more urgent requests on usual days, which changes nothing for others. */
const usualLateShare = 0.1;

/** Late fraction of more urgent requests at which none but the minimum of a class is sent. */
export const closedLateShare = 0.25;

/**
 * Prefill time, in relation to the tightest objective, up to which a request is sent late rather
 * than rejected: its caller's return would cost as much as its work.
 */
const cheapWorkRatio = 0.12;

/** Longest queue for such a request, in relation to the tightest objective. */
const lateQueueRatio = 0.5;

/** Fraction of the time that callers wait in which a request is deferred; then it is rejected. */
const maxDeferralRatio = 0.75;

/** Time that is reserved for the network and short slowdowns of the engine. */
const reservedMs = 400;

/** Deferred requests whatever the recent rate, so that returning capacity is noticed. */
const minDeferred = 3;

/** Deferred requests in relation to those that would find room at the recent rate. */
const backlogOptimism = 2;

function spareMs(request: EngineRequest): number {
  const { expectedMs, remainingMs, patienceMs, waitedMs } = request;
  const latestStartMs = Math.min(
    patienceMs * maxDeferralRatio - waitedMs,
    remainingMs - outputTimeMs(request),
  );
  return latestStartMs - expectedMs - reservedMs;
}

/**
 * True when the request can be on time, or makes no other one late. The fewer of the more urgent
 * requests are on time, the shorter the queues are that less urgent ones may join. The work of a
 * prompt itself does not count, so that large prompts are not deferred at idle engines.
 */
export function hasEngineRoom(request: EngineRequest): boolean {
  const { aheadMs, workMs, expectedMs, waitedMs, urgentLateShare } = request;
  const { objectiveMs, tightestObjectiveMs } = request;
  const openShare = (closedLateShare - urgentLateShare) / (closedLateShare - usualLateShare);
  const openness = Math.min(1, Math.max(0, openShare));
  const isLate = waitedMs + expectedMs > objectiveMs;
  const isLarge = workMs >= objectiveMs * largeWorkRatio;
  // Requests that can still be on time go before late ones, but a large prompt may always be late.
  const queueRatio = isLate && !isLarge ? lateIdleRatio : shortQueueRatio;
  if (aheadMs < tightestObjectiveMs * queueRatio * openness) return true;
  return openness === 1 && hasRoom(request);
}

/**
 * Decides what happens to a request now. It answers loads in which classes of different urgency
 * compete for engines: less urgent requests wait or are rejected while more urgent ones are late,
 * except for a minimum share of each class, and a late request that is cheap is sent while its caller
 * waits, because engines admit by priority.
 */
export function decideAdmission(
  request: EngineRequest,
  isDeferred: boolean,
  backlog: DeferralBacklog,
): DeferralDecision {
  const { expectedMs, waitedMs, patienceMs, remainingMs, workMs, tightestObjectiveMs } = request;
  if (hasEngineRoom(request)) return 'send';
  const canBegin = expectedMs < Math.min(patienceMs - waitedMs, remainingMs);
  const isUrgentLate = request.urgentLateShare > usualLateShare;
  if (isUrgentLate && request.isBelowMinimum && canBegin) return 'send';
  const spare = spareMs(request);
  if (spare > 0) {
    if (isDeferred) return 'defer';
    const maxRoom = backlogOptimism * backlog.roomPerMs * spare;
    if (backlog.deferred < Math.max(minDeferred, maxRoom)) return 'defer';
  }
  const isCheap = workMs <= tightestObjectiveMs * cheapWorkRatio;
  // While its own class is late, it would displace requests that can still be on time.
  const isHeldBack = request.classLateShare >= closedLateShare;
  if (isCheap && !isHeldBack && canBegin && request.aheadMs <= tightestObjectiveMs * lateQueueRatio)
    return 'send';
  return 'refuse';
}
