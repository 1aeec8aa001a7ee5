/** Choice of the next job, and the forecast that replays it into the future. */
import { type FairQueue, type FairJob } from './fairqueue.js';
import { advancePrefill, nextPrefillEnd, type PrefillWork, sharedPrefillMs } from './prefill.js';

/** A job in the queue with its class and timing. */
export interface ScheduledJob extends FairJob {
  readonly long: boolean;
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
  readonly long: boolean;
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
  readonly places: number;
  readonly queues: QueuesByKind<ScheduledJob>;
  readonly running: RunningJob[];
  /** Time kept before a deadline, from how late jobs ended recently. */
  readonly reserveMs: number;
}

/** A long job that waited this long gets a place before short ones when no long job runs. */
export const longPatienceMs = 1_000;

/** Least and greatest share of the cost kept in reserve before a deadline. */
const minReserveShare = 0.1;
const maxReserveShare = 0.5;

/** Places that long jobs may hold at once. */
export function longLimit(places: number): number {
  return Math.max(1, Math.floor(places / 2));
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
const maxPrefills = { short: 2, long: 1 } as const;

/** A prefill this short, of a prompt that is cached almost wholly, is not limited. */
const freePrefillMs = 10;

/**
 * Returns the job that gets the next free place. Short jobs go first. Long jobs get what is left
 * up to their limit, and one place at least once one of them has waited for its patience.
 */
export function nextJob<J extends ScheduledJob>(
  queues: QueuesByKind<J>,
  places: number,
  busy: Occupancy,
  now: number,
  skipHeld: boolean,
): J | undefined {
  const shortClosed = busy.shortPrefills >= maxPrefills.short;
  const longClosed = busy.longPrefills >= maxPrefills.long;
  const mayStart = (job: J): boolean => {
    if ((job.long ? longClosed : shortClosed) && isLimited(job)) return false;
    return !skipHeld || !job.isHeld?.();
  };
  const nextOf = (queue: FairQueue<J>, closed: boolean): J | undefined =>
    closed && queues.allLimited ? undefined : queue.next(mayStart);
  const mayRunLong = queues.long.size > 0 && busy.longRunning < longLimit(places);
  const isOverdue =
    mayRunLong && busy.longRunning === 0 && now - queues.long.oldest >= longPatienceMs;
  const first = isOverdue ? nextOf(queues.long, longClosed) : undefined;
  const next = first ?? nextOf(queues.short, shortClosed);
  return next ?? (mayRunLong ? nextOf(queues.long, longClosed) : undefined);
}

/** Tells whether the prefill of a job counts towards the limit. */
export function isLimited({ prefillMs }: ScheduledJob): boolean {
  return prefillMs > freePrefillMs;
}

/** Counts what the given jobs occupy. */
export function occupancyOf(running: Iterable<RunningJob>): Occupancy {
  let longRunning = 0;
  let shortPrefills = 0;
  let longPrefills = 0;
  for (const { long, leftMs } of running) {
    if (long) longRunning += 1;
    if (leftMs <= 0) continue;
    if (long) longPrefills += 1;
    else shortPrefills += 1;
  }
  return { longRunning, shortPrefills, longPrefills };
}

/** Times of a job that starts now beside the given running ones. */
export function timesFrom(
  job: ScheduledJob,
  startAt: number,
  running: Iterable<PrefillWork>,
): JobTimes {
  const firstTokenAt = startAt + sharedPrefillMs(running, job.prefillMs);
  return { startAt, firstTokenAt, endAt: firstTokenAt + job.costMs - job.prefillMs };
}

/** Tells whether the expected end leaves the reserve, which has bounds, before the deadline. */
export function meetsDeadline(job: ScheduledJob, times: JobTimes, reserveMs: number): boolean {
  const least = job.costMs * minReserveShare;
  const most = job.costMs * maxReserveShare;
  return times.endAt + Math.min(most, Math.max(least, reserveMs)) <= job.deadline;
}

/** Returns the expected times of a job, which must be in the snapshot's queues. */
export function forecastJob(snapshot: QueueSnapshot, job: ScheduledJob): JobTimes {
  const { places, running } = snapshot;
  const { short, long } = snapshot.queues;
  const allLimited = [...short, ...long].every(isLimited);
  const queues = { short, long, allLimited };
  let { now } = snapshot;

  /** Moves time to the next expected end of a prefill or of a job. */
  const advance = (): void => {
    let first = 0;
    for (const [index, { endAt }] of running.entries()) {
      if (endAt < (running[first] as RunningJob).endAt) first = index;
    }
    const nextEnd = running[first]?.endAt ?? Infinity;
    const elapsedMs = Math.max(0, Math.min(nextEnd - now, nextPrefillEnd(running)));
    now += elapsedMs;
    advancePrefill(running, elapsedMs, (item) => {
      item.endAt = now + item.decodeMs;
    });
    if (nextEnd > now) return;
    running.splice(first, 1);
  };

  for (;;) {
    const hasPlace = running.length < places;
    const next = hasPlace ? nextJob(queues, places, occupancyOf(running), now, false) : undefined;
    if (!next) {
      if (running.length === 0) return timesFrom(job, now, running);
      advance();
      continue;
    }
    const times = timesFrom(next, now, running);
    if (next === job) return times;
    const queue = next.long ? queues.long : queues.short;
    if (!meetsDeadline(next, times, snapshot.reserveMs)) {
      queue.remove(next);
      continue;
    }
    queue.take(next);
    const decodeMs = next.costMs - next.prefillMs;
    const endAt = next.prefillMs > 0 ? Infinity : times.endAt;
    running.push({ leftMs: next.prefillMs, decodeMs, endAt, long: next.long });
  }
}
