import { type Clock } from './clock.js';

/**
 * Queue of requests that were read and not yet started. Each waits until the sockets were polled
 * once more, which shows whether its caller disconnected while the process was busy.
 */
export interface StartQueue {
  /** Calls `start` in one of the next iterations of the event loop. */
  enqueue<T>(start: () => Promise<T>): Promise<T>;
  /** Records an accepted connection; further connections may be waiting for accept. */
  recordConnection(): void;
}

/** Schedules a callback for after the next poll of the sockets (check phase of the event loop). */
export type NextIteration = (callback: () => void) => void;

/**
 * Longest delay of a start in favour of connections that wait to be accepted: a quarter of the
 * shortest latency objective, 200 ms.
 */
const maxStartDelayMs = 50;

/**
 * Time for starts in one iteration; a start takes 1 ms on a full core and 4 ms on a quarter of one.
 */
const startBudgetMs = 5;

/** The first iteration completes the poll that read the request; the second one polls again. */
const minIterations = 2;

interface PendingStart {
  readonly start: () => void;
  readonly enqueuedIteration: number;
  readonly enqueuedAt: number;
}

/**
 * Node accepts one connection in each iteration of the event loop. An overloaded process that
 * starts every request as it reads it has long iterations, so callers wait in the accept queue
 * until they time out, and their requests are started nevertheless. Short iterations accept and
 * read first, which is cheap, and start requests later, when those of disconnected callers are
 * cancelled.
 */
export function createStartQueue(
  clock: Clock,
  nextIteration: NextIteration = setImmediate,
): StartQueue {
  let waiting: PendingStart[] = [];
  let iteration = 0;
  let isScheduled = false;
  let hasAcceptedConnection = false;

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    nextIteration(onIteration);
  };

  const startDueRequests = (): void => {
    const budgetEnd = clock.now() + startBudgetMs;
    let count = 0;
    for (const { start, enqueuedIteration } of waiting) {
      if (iteration - enqueuedIteration < minIterations) break;
      if (count > 0 && clock.now() >= budgetEnd) break;
      count += 1;
      start();
    }
    waiting = waiting.slice(count);
  };

  function onIteration(): void {
    isScheduled = false;
    iteration += 1;
    const [oldest] = waiting;
    const isUrgent = oldest !== undefined && clock.now() - oldest.enqueuedAt >= maxStartDelayMs;
    if (!hasAcceptedConnection || isUrgent) startDueRequests();
    hasAcceptedConnection = false;
    if (waiting.length > 0) schedule();
  }

  return {
    enqueue: (start) =>
      new Promise((resolve, reject) => {
        waiting.push({
          start: () => {
            start().then(resolve, reject);
          },
          enqueuedIteration: iteration,
          enqueuedAt: clock.now(),
        });
        schedule();
      }),
    recordConnection() {
      hasAcceptedConnection = true;
    },
  };
}
