/** Jobs that hold a place, with the modelled progress of their prefill. */
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

/** A place that a job holds until it is disposed. */
export interface Place extends Disposable {
  /**
   * Records that the prefill of this job ended. Returns its duration without the share that
   * other requests added, or undefined when it was recorded before.
   */
  prefillDone(): number | undefined;
}

/** Running jobs of one queue. */
export interface RunningJobs {
  readonly size: number;
  /** A prefill that is far overdue is not counted, so a stuck request blocks no other. */
  readonly occupancy: Occupancy;
  /** Time by which recent jobs ended later than expected, with a margin. */
  readonly reserveMs: number;
  /** Adds a job that starts now; disposing the result removes it. */
  add(job: ScheduledJob, times: JobTimes): Place;
  /** Copies for a forecast; a job that is overdue still needs some time. */
  snapshot(): RunningJob[];
}

/** Share of its cost that a job is expected to need still after its expected end passed. */
const overdueShare = 0.1;

/** A prefill that takes longer than this multiple of its modelled time is overdue. */
const overduePrefillFactor = 3;

/** Reserve as a multiple of the mean overrun; the mean counts jobs that ended early as 0. */
const overrunMargin = 3;

/** Weight of one finished job in the mean overrun. */
const overrunSmoothing = 0.05;

interface Running extends RunningJob {
  readonly job: ScheduledJob;
  readonly startedAt: number;
  prefilling: boolean;
  /** Time at which the prefill should have ended, once that has passed. */
  modelledAt: number | undefined;
}

export function createRunningJobs(clock: Clock): RunningJobs {
  const running = new Set<Running>();
  let advancedAt = clock.now();
  let meanOverrunMs = 0;

  /** Brings the modelled prefill of the running jobs up to now. */
  const advanceRunning = (): void => {
    const now = clock.now();
    const before = advancedAt;
    advancedAt = now;
    advancePrefill([...running], now - before, (item, afterMs) => {
      item.modelledAt = before + afterMs;
    });
  };

  const snapshot = (): RunningJob[] => {
    advanceRunning();
    const now = clock.now();
    const jobs: RunningJob[] = [];
    for (const { job, leftMs, decodeMs, endAt, prefilling, long } of running) {
      if (prefilling) {
        const left = Math.max(leftMs, job.prefillMs * overdueShare);
        jobs.push({ leftMs: left, decodeMs, endAt: Infinity, long });
      } else {
        const end = Math.max(endAt, now + job.costMs * overdueShare);
        jobs.push({ leftMs: 0, decodeMs, endAt: end, long });
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
        const { modelledAt = Infinity, startedAt } = item;
        const overdueAt = startedAt + (modelledAt - startedAt) * overduePrefillFactor;
        const leftMs = item.prefilling && now < overdueAt ? 1 : 0;
        counted.push({ ...item, leftMs });
      }
      return occupancyOf(counted);
    },
    snapshot,
    get reserveMs() {
      return meanOverrunMs * overrunMargin;
    },
    add(job, times) {
      advanceRunning();
      const { long, prefillMs } = job;
      const startedAt = clock.now();
      const decodeMs = job.costMs - prefillMs;
      const prefilling = prefillMs > 0;
      const endAt = prefilling ? Infinity : startedAt + decodeMs;
      const base = { job, long, decodeMs, endAt, startedAt, prefilling };
      const item: Running = { ...base, leftMs: prefillMs, modelledAt: undefined };
      running.add(item);
      return {
        prefillDone() {
          if (!item.prefilling) return undefined;
          advanceRunning();
          const now = clock.now();
          const doneMs = prefillMs - item.leftMs;
          const modelledMs = (item.modelledAt ?? now) - startedAt;
          item.prefilling = false;
          item.leftMs = 0;
          item.endAt = now + decodeMs;
          return modelledMs > 0 ? (doneMs * (now - startedAt)) / modelledMs : doneMs;
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
