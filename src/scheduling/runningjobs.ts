/** Jobs that hold a place, with the modelled progress of their prefill. */
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type RunningJob, type ScheduledJob } from './forecast.js';
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
  readonly longCount: number;
  /** Adds a job that starts now; disposing the result removes it. */
  add(job: ScheduledJob): Place;
  /** Copies for a forecast; a job that is overdue still needs some time. */
  snapshot(): RunningJob[];
}

/** Share of its cost that a job is expected to need still after its expected end passed. */
const overdueShare = 0.1;

interface Running extends RunningJob {
  readonly job: ScheduledJob;
  prefilling: boolean;
  /** Time at which the prefill should have ended, once that has passed. */
  modelledAt: number | undefined;
}

export function createRunningJobs(clock: Clock): RunningJobs {
  const running = new Set<Running>();
  let advancedAt = clock.now();

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
    get longCount() {
      let count = 0;
      for (const { long } of running) if (long) count += 1;
      return count;
    },
    snapshot,
    add(job) {
      advanceRunning();
      const { long, prefillMs } = job;
      const startedAt = clock.now();
      const decodeMs = job.costMs - prefillMs;
      const prefilling = prefillMs > 0;
      const endAt = prefilling ? Infinity : startedAt + decodeMs;
      const base = { job, long, decodeMs, endAt, prefilling };
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
          running.delete(item);
        },
      };
    },
  };
}
