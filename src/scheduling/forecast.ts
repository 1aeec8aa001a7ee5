/** Choice of the next job, and the forecast that replays it into the future. */
import { type FairQueue, type FairJob } from './fairqueue.js';
import {
  advancePrefill,
  timeUntilPrefillEnd,
  type PrefillWork,
  sharedPrefillMs,
} from './prefill.js';

/** A job in the queue with its class and timing. */
export interface ScheduledJob extends FairJob {
  readonly isLong: boolean;
  /** Part of the cost that concurrent requests share. */
  readonly prefillMs: number;
}

/** Waiting jobs of a queue by kind. */
export interface QueuesByKind<J extends ScheduledJob> {
  readonly short: FairQueue<J>;
  readonly long: FairQueue<J>;
  /** True when the prefill of every waiting job is limited, which saves a search. */
  readonly allLimited?: boolean;
}

/** A job that holds a place. */
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

/** Everything that a forecast starts from. It is consumed, so pass copies. */
export interface QueueSnapshot {
  readonly now: number;
  readonly slots: number;
  readonly queues: QueuesByKind<ScheduledJob>;
  readonly running: RunningJob[];
  /** Time kept before a deadline, from how late jobs ended recently. */
  readonly deadlineMarginMs: number;
}

/** A long job that waited this long gets a place before short ones when no long job runs. */
export const longStarvationThresholdMs = 1_000;

/** Least and greatest share of the cost kept in reserve before a deadline. */
const minMarginRatio = 0.1;
const maxMarginRatio = 0.5;

/** Places that long jobs may hold at once. */
export function longSlotLimit(slots: number): number {
  return Math.max(1, Math.floor(slots / 2));
}

/** What the running jobs leave free. */
export interface Occupancy {
  readonly longRunning: number;
  readonly shortPrefills: number;
  readonly longPrefills: number;
}

/**
 * Prefills of each kind at once. They share the engine's speed, so more of them finish no earlier
 * but make all of them late under overload; the second one covers the gap between two.
 */
const maxConcurrentPrefills = { short: 2, long: 1 } as const;

/** A prefill this short, of a prompt that is cached almost wholly, is not limited. */
const exemptPrefillMs = 10;

/**
 * Returns the job that gets the next free place. Short jobs go first. Long jobs get what is left
 * up to their limit, and one place at least once one of them has waited for its patience.
 */
export function selectNextJob<J extends ScheduledJob>(
  queues: QueuesByKind<J>,
  slots: number,
  occupancy: Occupancy,
  now: number,
  skipHeld: boolean,
): J | undefined {
  const shortLimitReached = occupancy.shortPrefills >= maxConcurrentPrefills.short;
  const longLimitReached = occupancy.longPrefills >= maxConcurrentPrefills.long;
  const mayStart = (job: J): boolean => {
    if ((job.isLong ? longLimitReached : shortLimitReached) && hasLimitedPrefill(job)) return false;
    return !skipHeld || !job.isHeld?.();
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

/** Tells whether the prefill of a job counts towards the limit. */
export function hasLimitedPrefill({ prefillMs }: ScheduledJob): boolean {
  return prefillMs > exemptPrefillMs;
}

/** Counts what the given jobs occupy. */
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

/** Times of a job that starts now beside the given running ones. */
export function expectedTimes(
  job: ScheduledJob,
  startAt: number,
  running: Iterable<PrefillWork>,
): JobTimes {
  const firstTokenAt = startAt + sharedPrefillMs(running, job.prefillMs);
  return { startAt, firstTokenAt, endAt: firstTokenAt + job.costMs - job.prefillMs };
}

/** Tells whether the expected end leaves the reserve, which has bounds, before the deadline. */
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

  /** Moves time to the next expected end of a prefill or of a job. */
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
