/** Selects the next job to start, and forecasts job times by simulating this selection. */
import { type FairQueue, type FairJob } from './fairqueue.js';
import {
  advancePrefill,
  timeUntilPrefillEnd,
  type PrefillWork,
  sharedPrefillMs,
} from './prefill.js';

/** A job of the queue with its kind and the estimated duration of its prefill. */
export interface ScheduledJob extends FairJob {
  readonly isLong: boolean;
  /** Part of the cost that is prefill, whose speed concurrent requests share. */
  readonly prefillMs: number;
}

/** Waiting jobs of a queue by kind. */
export interface QueuesByKind<J extends ScheduledJob> {
  readonly short: FairQueue<J>;
  readonly long: FairQueue<J>;
  /** True when the prefill limit applies to every waiting job; avoids searching the queue. */
  readonly allLimited?: boolean;
}

/** A job that occupies a slot. */
export interface RunningJob extends PrefillWork {
  readonly decodeMs: number;
  /** Expected end; Infinity while the prefill is running. */
  endAt: number;
  readonly isLong: boolean;
}

/** Expected times of one job. */
export interface JobTimes {
  readonly startAt: number;
  readonly firstTokenAt: number;
  readonly endAt: number;
}

/** Input of a forecast. The forecast modifies the queues and running jobs, so pass copies. */
export interface QueueSnapshot {
  readonly now: number;
  readonly slots: number;
  readonly queues: QueuesByKind<ScheduledJob>;
  readonly running: RunningJob[];
  /** Margin to keep before a deadline, derived from how late recent jobs ended. */
  readonly deadlineMarginMs: number;
}

/** A long job that waited this long starts before short ones while no long job is running. */
export const longStarvationThresholdMs = 1_000;

/** Bounds of the margin before a deadline, as a ratio of the cost. */
const minMarginRatio = 0.1;
const maxMarginRatio = 0.5;

/** Returns the number of slots that long jobs may occupy at once. */
export function longSlotLimit(slots: number): number {
  return Math.max(1, Math.floor(slots / 2));
}

/** Numbers that the limits are compared with; the prefills include those exempt from the limit. */
export interface Occupancy {
  readonly longRunning: number;
  readonly shortPrefills: number;
  readonly longPrefills: number;
}

/**
 * Limits of concurrent prefills. They share the engine's speed, so more of them finish no earlier
 * but make all of them late under overload; a second short one covers the gap between two.
 */
const maxConcurrentPrefills = { short: 2, long: 1 } as const;

/** The limit does not apply to prefills this short, of prompts that are almost wholly cached. */
const exemptPrefillMs = 10;

/**
 * Returns the job that gets the next free slot. Short jobs go first. Long jobs get the remaining
 * slots up to their limit, and at least one slot once one of them has reached the starvation
 * threshold.
 */
export function selectNextJob<J extends ScheduledJob>(
  queues: QueuesByKind<J>,
  slots: number,
  occupancy: Occupancy,
  now: number,
  skipBlocked: boolean,
): J | undefined {
  const shortLimitReached = occupancy.shortPrefills >= maxConcurrentPrefills.short;
  const longLimitReached = occupancy.longPrefills >= maxConcurrentPrefills.long;
  const mayStart = (job: J): boolean => {
    if ((job.isLong ? longLimitReached : shortLimitReached) && hasLimitedPrefill(job)) return false;
    return !skipBlocked || !job.isBlocked?.();
  };
  const selectFrom = (queue: FairQueue<J>, limitReached: boolean): J | undefined =>
    limitReached && queues.allLimited ? undefined : queue.next(mayStart);
  const mayRunLong = queues.long.size > 0 && occupancy.longRunning < longSlotLimit(slots);
  const isLongStarving =
    mayRunLong &&
    occupancy.longRunning === 0 &&
    now - queues.long.oldestArrivedAt >= longStarvationThresholdMs;
  const starvingJob = isLongStarving ? selectFrom(queues.long, longLimitReached) : undefined;
  const next = starvingJob ?? selectFrom(queues.short, shortLimitReached);
  return next ?? (mayRunLong ? selectFrom(queues.long, longLimitReached) : undefined);
}

/** Returns whether the limit of concurrent prefills applies to a job. */
export function hasLimitedPrefill({ prefillMs }: ScheduledJob): boolean {
  return prefillMs > exemptPrefillMs;
}

/** Counts the given jobs and their unfinished prefills. */
export function occupancyOf(running: Iterable<RunningJob>): Occupancy {
  let longRunning = 0;
  let shortPrefills = 0;
  let longPrefills = 0;
  for (const { isLong, leftMs } of running) {
    if (isLong) longRunning += 1;
    if (leftMs <= 0) continue;
    if (isLong) longPrefills += 1;
    else shortPrefills += 1;
  }
  return { longRunning, shortPrefills, longPrefills };
}

/** Returns the expected times of a job that starts at `startAt` beside the running ones. */
export function expectedTimes(
  job: ScheduledJob,
  startAt: number,
  running: Iterable<PrefillWork>,
): JobTimes {
  const firstTokenAt = startAt + sharedPrefillMs(running, job.prefillMs);
  return { startAt, firstTokenAt, endAt: firstTokenAt + job.costMs - job.prefillMs };
}

/** Returns whether the expected end leaves the margin, within its bounds, before the deadline. */
export function meetsDeadline(job: ScheduledJob, times: JobTimes, marginMs: number): boolean {
  const minMarginMs = job.costMs * minMarginRatio;
  const maxMarginMs = job.costMs * maxMarginRatio;
  return times.endAt + Math.min(maxMarginMs, Math.max(minMarginMs, marginMs)) <= job.deadline;
}

/** Returns the expected times of a job, which must be in the snapshot's queues. */
export function forecastJob(snapshot: QueueSnapshot, job: ScheduledJob): JobTimes {
  const { slots, running } = snapshot;
  const { short, long } = snapshot.queues;
  const allLimited = [...short, ...long].every(hasLimitedPrefill);
  const queues = { short, long, allLimited };
  let { now } = snapshot;

  /** Advances the time to the next expected end of a prefill or of a job. */
  const advance = (): void => {
    let firstToEnd = 0;
    for (const [index, { endAt }] of running.entries()) {
      if (endAt < (running[firstToEnd] as RunningJob).endAt) firstToEnd = index;
    }
    const nextEnd = running[firstToEnd]?.endAt ?? Infinity;
    const elapsedMs = Math.max(0, Math.min(nextEnd - now, timeUntilPrefillEnd(running)));
    now += elapsedMs;
    advancePrefill(running, elapsedMs, (item) => {
      item.endAt = now + item.decodeMs;
    });
    if (nextEnd > now) return;
    running.splice(firstToEnd, 1);
  };

  for (;;) {
    const hasFreeSlot = running.length < slots;
    const next = hasFreeSlot
      ? selectNextJob(queues, slots, occupancyOf(running), now, false)
      : undefined;
    if (!next) {
      if (running.length === 0) return expectedTimes(job, now, running);
      advance();
      continue;
    }
    const times = expectedTimes(next, now, running);
    if (next === job) return times;
    const queue = next.isLong ? queues.long : queues.short;
    if (!meetsDeadline(next, times, snapshot.deadlineMarginMs)) {
      queue.remove(next);
      continue;
    }
    queue.dequeue(next);
    const decodeMs = next.costMs - next.prefillMs;
    const endAt = next.prefillMs > 0 ? Infinity : times.endAt;
    running.push({ leftMs: next.prefillMs, decodeMs, endAt, isLong: next.isLong });
  }
}
