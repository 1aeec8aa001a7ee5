/** Bounded, fair queue for the slots of one engine. */
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { CancelledError } from '../base/errors.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import {
  forecastJob,
  type JobTimes,
  meetsDeadline,
  selectNextJob,
  type ScheduledJob,
  expectedTimes,
} from './forecast.js';
import { type JobCost, type QueuedJob, createQueueRefusal } from './job.js';
import { createFairQueue, priorityClass } from './fairqueue.js';
import { createLongJobDetector } from './longjobs.js';
import { createRunningJobs, type Slot } from './runningjobs.js';

/** Expected durations from now for one job. */
export interface JobForecast {
  readonly waitMs: number;
  readonly firstTokenMs: number;
  readonly endMs: number;
  /** False when the expected end does not leave the required margin before the deadline. */
  readonly onTime: boolean;
}

/** Bounded queue for the slots of one target. */
export interface WorkQueue {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * True when the maximum number of requests is waiting. `acquire` then first refuses waiting jobs
   * that can't meet their deadline, and so may still accept one.
   */
  readonly isFull: boolean;
  /** Remaining cost of all running and waiting jobs per slot, or 0 while a slot is free. */
  readonly backlogMs: number;
  setSlots(slots: number): void;
  /**
   * Waits for a slot. Rejects with `QueueRefusedError` when the queue is full or the
   * deadline can't be met, and with CancelledError when cancelled.
   */
  acquire(job: QueuedJob, token: CancellationToken): Promise<Slot>;
  /** Starts the jobs that can start; call it when a blocked job may start. */
  poll(): void;
  /** Forecasts a job that arrives now, after the jobs with reservations. */
  forecast(job: QueuedJob, reservedJobs?: readonly QueuedJob[]): JobForecast;
  /** Expected wait in milliseconds for a job that arrives now. */
  expectedWaitMs(job: QueuedJob): number;
}

export interface WorkQueueOptions {
  readonly clock: Clock;
  readonly slots: number;
  /** Maximum number of waiting requests; further ones are refused. */
  readonly maxWaiting?: number;
  /** Weight of a team relative to the others; 1 by default. */
  readonly teamWeight?: (team: string) => number;
}

/** Bounds the memory of waiting request bodies and the duration of one forecast. */
const defaultMaxWaiting = 512;

interface WaitingJob extends ScheduledJob {
  costMs: number;
  prefillMs: number;
  readonly estimate: (() => JobCost) | undefined;
  readonly start: (times: JobTimes) => void;
  readonly refuse: (reason: RefusalReason, retryAfterMs: number) => void;
}

export function createWorkQueue(options: WorkQueueOptions): WorkQueue {
  const { clock, maxWaiting = defaultMaxWaiting, teamWeight = () => 1 } = options;
  const queues = {
    short: createFairQueue<WaitingJob>(teamWeight),
    long: createFairQueue<WaitingJob>(teamWeight),
  };
  const detector = createLongJobDetector();
  const running = createRunningJobs(clock);
  let { slots } = options;
  let arrivalCount = 0;

  const waitingCount = (): number => queues.short.size + queues.long.size;

  const queueOf = (job: ScheduledJob) => (job.isLong ? queues.long : queues.short);

  const createScheduledJob = (job: QueuedJob): ScheduledJob => {
    const now = clock.now();
    arrivalCount += 1;
    return {
      team: job.team,
      costMs: job.costMs,
      prefillMs: Math.min(job.costMs, job.prefillMs ?? 0),
      arrivedAt: now,
      priorityClass: priorityClass(job.priority, now),
      deadline: now + job.remainingMs,
      arrivalNumber: arrivalCount,
      isLong: detector.isLong(job.costMs),
      ...(job.isBlocked && { isBlocked: job.isBlocked }),
    };
  };

  const forecastTimes = (job: ScheduledJob, reserved: readonly ScheduledJob[]): JobTimes => {
    const copies = { short: queues.short.copy(), long: queues.long.copy() };
    for (const other of [...reserved, job]) {
      (other.isLong ? copies.long : copies.short).add(other as WaitingJob);
    }
    const snapshot = {
      now: clock.now(),
      slots,
      queues: copies,
      running: running.snapshot(),
      deadlineMarginMs: running.deadlineMarginMs,
    };
    return forecastJob(snapshot, job);
  };

  const updateCost = (job: WaitingJob): void => {
    const cost = job.estimate?.();
    if (!cost) return;
    job.costMs = cost.costMs;
    job.prefillMs = Math.min(cost.costMs, cost.prefillMs ?? 0);
  };

  const startJobs = (): void => {
    while (running.size < slots) {
      const next = selectNextJob(queues, slots, running.occupancy, clock.now(), true);
      if (!next) return;
      updateCost(next);
      const times = expectedTimes(next, clock.now(), running.snapshot());
      if (meetsDeadline(next, times, running.deadlineMarginMs)) {
        queueOf(next).dequeue(next);
        next.start(times);
      } else {
        queueOf(next).remove(next);
        next.refuse(RefusalReason.DEADLINE, times.endAt - next.deadline);
      }
    }
  };

  const occupySlot = (job: ScheduledJob, times: JobTimes): Slot => {
    const started = running.add(job, times);
    const release = toDisposable(() => {
      started.dispose();
      startJobs();
    });
    return {
      endPrefill() {
        const ownMs = started.endPrefill();
        startJobs();
        return ownMs;
      },
      dispose: release.dispose,
    };
  };

  /** Refuses waiting jobs that can't meet their deadline even on an idle engine. */
  const refuseUnmeetable = (): void => {
    const now = clock.now();
    for (const queue of Object.values(queues)) {
      for (const job of [...queue]) {
        const times = expectedTimes(job, now, []);
        if (meetsDeadline(job, times, running.deadlineMarginMs)) continue;
        queue.remove(job);
        job.refuse(RefusalReason.DEADLINE, times.endAt - job.deadline);
      }
    }
  };

  const enqueue = (
    job: QueuedJob,
    scheduled: ScheduledJob,
    token: CancellationToken,
  ): Promise<Slot> =>
    new Promise((resolve, reject) => {
      const cancellation: { listener?: Disposable } = {};
      const waitingJob: WaitingJob = {
        ...scheduled,
        estimate: job.estimate,
        start(times) {
          cancellation.listener?.dispose();
          job.onStart?.(times.firstTokenAt);
          resolve(occupySlot(waitingJob, times));
        },
        refuse(reason, retryAfterMs) {
          cancellation.listener?.dispose();
          reject(createQueueRefusal(reason, retryAfterMs));
        },
      };
      queueOf(waitingJob).add(waitingJob);
      cancellation.listener = token.onCancellationRequested((reason) => {
        if (!queueOf(waitingJob).remove(waitingJob)) return;
        reject(new CancelledError(reason));
        startJobs();
      });
      startJobs();
    });

  const forecast = (job: QueuedJob, reservedJobs: readonly QueuedJob[] = []): JobForecast => {
    const now = clock.now();
    // Reserved jobs arrived earlier, so they get lower arrival numbers.
    const reserved = reservedJobs.map(createScheduledJob);
    const scheduled = createScheduledJob(job);
    const times = forecastTimes(scheduled, reserved);
    return {
      waitMs: times.startAt - now,
      firstTokenMs: times.firstTokenAt - now,
      endMs: times.endAt - now,
      onTime: meetsDeadline(scheduled, times, running.deadlineMarginMs),
    };
  };

  return {
    get running() {
      return running.size;
    },
    get waiting() {
      return waitingCount();
    },
    get slots() {
      return slots;
    },
    get isFull() {
      return waitingCount() >= maxWaiting;
    },
    get backlogMs() {
      if (running.size < slots) return 0;
      let totalMs = 0;
      for (const { leftMs, decodeMs, endAt } of running.snapshot()) {
        totalMs += endAt === Infinity ? leftMs + decodeMs : endAt - clock.now();
      }
      for (const { costMs } of [...queues.short, ...queues.long]) totalMs += costMs;
      return totalMs / slots;
    },
    setSlots(count) {
      slots = Math.max(1, count);
      startJobs();
    },
    async acquire(job, token) {
      token.throwIfCancelled();
      const scheduled = createScheduledJob(job);
      detector.record(job.costMs);
      const times = forecastTimes(scheduled, []);
      if (!meetsDeadline(scheduled, times, running.deadlineMarginMs)) {
        throw createQueueRefusal(RefusalReason.DEADLINE, times.endAt - scheduled.deadline);
      }
      if (waitingCount() >= maxWaiting) refuseUnmeetable();
      if (waitingCount() >= maxWaiting) {
        throw createQueueRefusal(RefusalReason.QUEUE_FULL, times.startAt - clock.now());
      }
      return enqueue(job, scheduled, token);
    },
    poll: startJobs,
    forecast,
    expectedWaitMs: (job) => forecast(job).waitMs,
  };
}
