/** Jobs that occupy a slot, with the modelled progress of their prefill. */
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import {
  type JobTimes,
  type Occupancy,
  occupancyOf,
  type RunningJob,
  type ScheduledJob,
} from './forecast.js';
import { advancePrefill } from './prefill.js';

/** A slot that a job occupies until it is disposed. */
export interface Slot extends Disposable {
  /**
   * Records that the prefill of this job ended. Returns its duration without the delay that other
   * requests caused, or undefined if the job has no prefill or its end was recorded before.
   */
  endPrefill(): number | undefined;
}

/** Running jobs of one queue. */
export interface RunningJobs {
  readonly size: number;
  /** Excludes prefills that are far overdue, so that a stuck request does not block others. */
  readonly occupancy: Occupancy;
  /** Margin to keep before a deadline, derived from how late recent jobs ended. */
  readonly deadlineMarginMs: number;
  /** Adds a job that starts now; disposing the result removes it. */
  add(job: ScheduledJob, times: JobTimes): Slot;
  /** Returns copies for a forecast, in which an overdue job still needs some time. */
  snapshot(): RunningJob[];
}

/** Minimum time that a running job or prefill is assumed to still need, as a ratio of its cost. */
const overdueRemainingRatio = 0.1;

/** A prefill that takes longer than this multiple of its modelled time is overdue. */
const overduePrefillFactor = 3;

/** Deadline margin as a multiple of the mean overrun, in which jobs that ended early count as 0. */
const overrunMarginFactor = 3;

/** Weight of one finished job in the mean overrun. */
const overrunSmoothing = 0.05;

interface TrackedJob extends RunningJob {
  readonly job: ScheduledJob;
  readonly startedAt: number;
  isPrefilling: boolean;
  /** Time at which the prefill should have ended; undefined until that time. */
  modelledEndAt: number | undefined;
}

export function createRunningJobs(clock: Clock): RunningJobs {
  const running = new Set<TrackedJob>();
  let advancedAt = clock.now();
  let meanOverrunMs = 0;

  /** Advances the modelled prefill of the running jobs to the current time. */
  const advanceRunning = (): void => {
    const now = clock.now();
    const before = advancedAt;
    advancedAt = now;
    advancePrefill([...running], now - before, (item, afterMs) => {
      item.modelledEndAt = before + afterMs;
    });
  };

  const snapshot = (): RunningJob[] => {
    advanceRunning();
    const now = clock.now();
    const jobs: RunningJob[] = [];
    for (const { job, leftMs, decodeMs, endAt, isPrefilling, isLong } of running) {
      if (isPrefilling) {
        const left = Math.max(leftMs, job.prefillMs * overdueRemainingRatio);
        jobs.push({ leftMs: left, decodeMs, endAt: Infinity, isLong });
      } else {
        const end = Math.max(endAt, now + job.costMs * overdueRemainingRatio);
        jobs.push({ leftMs: 0, decodeMs, endAt: end, isLong });
      }
    }
    return jobs;
  };

  return {
    get size() {
      return running.size;
    },
    get occupancy() {
      advanceRunning();
      const now = clock.now();
      const counted: RunningJob[] = [];
      for (const item of running) {
        const { modelledEndAt = Infinity, startedAt } = item;
        const overdueAt = startedAt + (modelledEndAt - startedAt) * overduePrefillFactor;
        const leftMs = item.isPrefilling && now < overdueAt ? 1 : 0;
        counted.push({ ...item, leftMs });
      }
      return occupancyOf(counted);
    },
    snapshot,
    get deadlineMarginMs() {
      return meanOverrunMs * overrunMarginFactor;
    },
    add(job, times) {
      advanceRunning();
      const { isLong, prefillMs } = job;
      const startedAt = clock.now();
      const decodeMs = job.costMs - prefillMs;
      const isPrefilling = prefillMs > 0;
      const endAt = isPrefilling ? Infinity : startedAt + decodeMs;
      const base = { job, isLong, decodeMs, endAt, startedAt, isPrefilling };
      const item: TrackedJob = { ...base, leftMs: prefillMs, modelledEndAt: undefined };
      running.add(item);
      return {
        endPrefill() {
          if (!item.isPrefilling) return undefined;
          advanceRunning();
          const now = clock.now();
          const completedMs = prefillMs - item.leftMs;
          const modelledMs = (item.modelledEndAt ?? now) - startedAt;
          item.isPrefilling = false;
          item.leftMs = 0;
          item.endAt = now + decodeMs;
          return modelledMs > 0 ? (completedMs * (now - startedAt)) / modelledMs : completedMs;
        },
        dispose() {
          advanceRunning();
          const overrunMs = Math.max(0, clock.now() - times.endAt);
          meanOverrunMs += overrunSmoothing * (overrunMs - meanOverrunMs);
          running.delete(item);
        },
      };
    },
  };
}
