import { type CancellationToken } from '../base/cancellation.js';
import { CancelledError } from '../base/errors.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';

/** What the queue knows of one waiting request. */
export interface QueuedJob {
  readonly team: string;
  /** Higher values go first. */
  readonly priority: number;
  /** Estimated time that the job holds its place. */
  readonly costMs: number;
  /** Milliseconds until the answer is due, at the time of the call. */
  readonly remainingMs: number;
}

/** Bounded queue in front of the places of one target. */
export interface WorkQueue {
  readonly running: number;
  readonly waiting: number;
  readonly places: number;
  setPlaces(places: number): void;
  /** Waits for a place; disposing the result frees it. Rejects when cancelled. */
  acquire(job: QueuedJob, token: CancellationToken): Promise<Disposable>;
  /** Expected wait in milliseconds for a job that arrives now. */
  expectedWaitMs(job: QueuedJob): number;
}

interface Waiter {
  readonly job: QueuedJob;
  readonly start: () => void;
}

export function createWorkQueue(initialPlaces: number): WorkQueue {
  const waiters: Waiter[] = [];
  let places = initialPlaces;
  let running = 0;
  let runningCostMs = 0;

  const startNext = (): void => {
    while (running < places) {
      const next = waiters.shift();
      if (!next) return;
      next.start();
    }
  };

  const occupy = (job: QueuedJob): Disposable => {
    running += 1;
    runningCostMs += job.costMs;
    return toDisposable(() => {
      running -= 1;
      runningCostMs -= job.costMs;
      startNext();
    });
  };

  return {
    get running() {
      return running;
    },
    get waiting() {
      return waiters.length;
    },
    get places() {
      return places;
    },
    setPlaces(count) {
      places = Math.max(1, count);
      startNext();
    },
    acquire(job, token) {
      if (running < places && waiters.length === 0) return Promise.resolve(occupy(job));
      return new Promise((resolve, reject) => {
        const state: { link?: Disposable } = {};
        const waiter: Waiter = {
          job,
          start() {
            state.link?.dispose();
            resolve(occupy(job));
          },
        };
        waiters.push(waiter);
        state.link = token.onCancellationRequested((reason) => {
          const index = waiters.indexOf(waiter);
          if (index < 0) return;
          waiters.splice(index, 1);
          reject(new CancelledError(reason));
        });
      });
    },
    expectedWaitMs() {
      if (running < places) return 0;
      let total = runningCostMs / 2;
      for (const { job } of waiters) total += job.costMs;
      return total / places;
    },
  };
}
