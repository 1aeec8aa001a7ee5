/** Bounded, fair queue in front of the places of one engine. */
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { CancelledError } from '../base/errors.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import {
  forecastJob,
  type JobTimes,
  meetsDeadline,
  nextJob,
  type ScheduledJob,
  timesFrom,
} from './forecast.js';
import { type JobCost, type QueuedJob, queueRefusal } from './job.js';
import { createFairQueue, priorityClass } from './fairqueue.js';
import { createLongJobDetector } from './longjobs.js';
import { createRunningJobs, type Place } from './runningjobs.js';

/** Expected durations from now for one job. */
export interface JobForecast {
  readonly waitMs: number;
  readonly firstTokenMs: number;
  readonly endMs: number;
  /** False when the queue would refuse the job because of its deadline. */
  readonly onTime: boolean;
}

/** Bounded queue in front of the places of one target. */
export interface WorkQueue {
  readonly running: number;
  readonly waiting: number;
  readonly places: number;
  /** True when no further request may wait. */
  readonly isFull: boolean;
  /** Time in which the places finish the known work, or 0 while a place is free. */
  readonly backlogMs: number;
  setPlaces(places: number): void;
  /**
   * Waits for a place. Rejects with `QueueRefusedError` when the queue is full or the
   * deadline can't be met, and with CancelledError when cancelled.
   */
  acquire(job: QueuedJob, token: CancellationToken): Promise<Place>;
  /** Starts what can start; call it when a held job may go on. */
  poll(): void;
  /** Forecasts a job that arrives now, after the given jobs that were promised a place. */
  forecast(job: QueuedJob, promised?: readonly QueuedJob[]): JobForecast;
  /** Expected wait in milliseconds for a job that arrives now. */
  expectedWaitMs(job: QueuedJob): number;
}

export interface WorkQueueOptions {
  readonly clock: Clock;
  readonly places: number;
  /** Requests that may wait; more are refused. */
  readonly maxWaiting?: number;
  /** Share of a team relative to the others. */
  readonly teamWeight?: (team: string) => number;
}

/** Bounds the memory of waiting bodies and the time of one forecast. */
const defaultMaxWaiting = 512;

interface Waiter extends ScheduledJob {
  costMs: number;
  prefillMs: number;
  readonly estimate: (() => JobCost) | undefined;
  readonly start: (times: JobTimes) => void;
  readonly refuse: (reason: RefusalReason, retryAfterMs: number) => void;
}

export function createWorkQueue(options: WorkQueueOptions): WorkQueue {
  const { clock, maxWaiting = defaultMaxWaiting, teamWeight = () => 1 } = options;
  const queues = {
    short: createFairQueue<Waiter>(teamWeight),
    long: createFairQueue<Waiter>(teamWeight),
  };
  const detector = createLongJobDetector();
  const running = createRunningJobs(clock);
  let { places } = options;
  let arrivals = 0;

  const waitingCount = (): number => queues.short.size + queues.long.size;

  const queueOf = (job: ScheduledJob) => (job.long ? queues.long : queues.short);

  const schedule = (job: QueuedJob): ScheduledJob => {
    const now = clock.now();
    arrivals += 1;
    return {
      team: job.team,
      costMs: job.costMs,
      prefillMs: Math.min(job.costMs, job.prefillMs ?? 0),
      arrivedAt: now,
      priorityClass: priorityClass(job.priority, now),
      deadline: now + job.remainingMs,
      order: arrivals,
      long: detector.isLong(job.costMs),
      ...(job.isHeld && { isHeld: job.isHeld }),
    };
  };

  const timesOf = (job: ScheduledJob, promised: readonly ScheduledJob[]): JobTimes => {
    const copies = { short: queues.short.copy(), long: queues.long.copy() };
    for (const other of [...promised, job]) {
      (other.long ? copies.long : copies.short).add(other as Waiter);
    }
    const snapshot = {
      now: clock.now(),
      places,
      queues: copies,
      running: running.snapshot(),
      reserveMs: running.reserveMs,
    };
    return forecastJob(snapshot, job);
  };

  const updateCost = (job: Waiter): void => {
    const cost = job.estimate?.();
    if (!cost) return;
    job.costMs = cost.costMs;
    job.prefillMs = Math.min(cost.costMs, cost.prefillMs ?? 0);
  };

  const startNext = (): void => {
    while (running.size < places) {
      const next = nextJob(queues, places, running.occupancy, clock.now(), true);
      if (!next) return;
      updateCost(next);
      const times = timesFrom(next, clock.now(), running.snapshot());
      if (meetsDeadline(next, times, running.reserveMs)) {
        queueOf(next).take(next);
        next.start(times);
      } else {
        queueOf(next).remove(next);
        next.refuse(RefusalReason.DEADLINE, times.endAt - next.deadline);
      }
    }
  };

  const occupy = (job: ScheduledJob, times: JobTimes): Place => {
    const started = running.add(job, times);
    const release = toDisposable(() => {
      started.dispose();
      startNext();
    });
    return {
      prefillDone() {
        const ownMs = started.prefillDone();
        startNext();
        return ownMs;
      },
      dispose: release.dispose,
    };
  };

  /** Refuses waiting jobs that can't meet their deadline even when they start now. */
  const dropHopeless = (): void => {
    const now = clock.now();
    for (const queue of Object.values(queues)) {
      for (const job of [...queue]) {
        const times = timesFrom(job, now, []);
        if (meetsDeadline(job, times, running.reserveMs)) continue;
        queue.remove(job);
        job.refuse(RefusalReason.DEADLINE, times.endAt - job.deadline);
      }
    }
  };

  const enqueue = (
    job: QueuedJob,
    scheduled: ScheduledJob,
    token: CancellationToken,
  ): Promise<Place> =>
    new Promise((resolve, reject) => {
      const state: { link?: Disposable } = {};
      const waiter: Waiter = {
        ...scheduled,
        estimate: job.estimate,
        start(times) {
          state.link?.dispose();
          job.onStart?.(times.firstTokenAt);
          resolve(occupy(waiter, times));
        },
        refuse(reason, retryAfterMs) {
          state.link?.dispose();
          reject(queueRefusal(reason, retryAfterMs));
        },
      };
      queueOf(waiter).add(waiter);
      state.link = token.onCancellationRequested((reason) => {
        if (!queueOf(waiter).remove(waiter)) return;
        reject(new CancelledError(reason));
        startNext();
      });
      startNext();
    });

  const forecast = (job: QueuedJob, promised: readonly QueuedJob[] = []): JobForecast => {
    const now = clock.now();
    // Promised jobs were there first, so they get the lower arrival numbers.
    const earlier = promised.map(schedule);
    const scheduled = schedule(job);
    const times = timesOf(scheduled, earlier);
    return {
      waitMs: times.startAt - now,
      firstTokenMs: times.firstTokenAt - now,
      endMs: times.endAt - now,
      onTime: meetsDeadline(scheduled, times, running.reserveMs),
    };
  };

  return {
    get running() {
      return running.size;
    },
    get waiting() {
      return waitingCount();
    },
    get places() {
      return places;
    },
    get isFull() {
      return waitingCount() >= maxWaiting;
    },
    get backlogMs() {
      if (running.size < places) return 0;
      let totalMs = 0;
      for (const { leftMs, decodeMs, endAt } of running.snapshot()) {
        totalMs += endAt === Infinity ? leftMs + decodeMs : endAt - clock.now();
      }
      for (const { costMs } of [...queues.short, ...queues.long]) totalMs += costMs;
      return totalMs / places;
    },
    setPlaces(count) {
      places = Math.max(1, count);
      startNext();
    },
    async acquire(job, token) {
      token.throwIfCancelled();
      const scheduled = schedule(job);
      detector.record(job.costMs);
      const times = timesOf(scheduled, []);
      if (!meetsDeadline(scheduled, times, running.reserveMs)) {
        throw queueRefusal(RefusalReason.DEADLINE, times.endAt - scheduled.deadline);
      }
      if (waitingCount() >= maxWaiting) dropHopeless();
      if (waitingCount() >= maxWaiting) {
        throw queueRefusal(RefusalReason.QUEUE_FULL, times.startAt - clock.now());
      }
      return enqueue(job, scheduled, token);
    },
    poll: startNext,
    forecast,
    expectedWaitMs: (job) => forecast(job).waitMs,
  };
}
