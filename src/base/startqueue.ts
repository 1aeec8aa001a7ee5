import { type Clock } from './clock.js';

/**
 * Requests that were read and wait to be started. Each waits until the sockets were polled once
 * more, so that it is known whether its caller left while the process was busy.
 */
export interface StartQueue {
  /** Calls `start` in one of the next iterations of the event loop. */
  enter<T>(start: () => Promise<T>): Promise<T>;
  /** Tells that a connection was accepted; more may wait to be. */
  noteConnection(): void;
}

/** Calls back after the sockets were polled; the check phase of the event loop. */
export type NextIteration = (callback: () => void) => void;

/**
 * Longest time for which the start of a request is put off in favour of connections that wait to be
 * accepted: a quarter of the shortest objective, 200 ms.
 */
const maxAcceptMs = 50;

/** Time for starts in one iteration; a start takes 1 ms on a whole core and 4 ms on a quarter. */
const sliceMs = 5;

/** The first iteration ends the poll that read the request, the second one polls again. */
const iterationsToWait = 2;

interface Entry {
  readonly start: () => void;
  readonly enteredIn: number;
  readonly enteredAt: number;
}

/**
 * Node accepts one connection in each iteration of the event loop. A crowded process that starts all
 * requests as it reads them has long iterations, so callers wait in the queue of new connections
 * until they give up, and their requests are started all the same. Short iterations accept and read
 * first, which is cheap, and start what is still wanted.
 */
export function createStartQueue(
  clock: Clock,
  nextIteration: NextIteration = setImmediate,
): StartQueue {
  let waiting: Entry[] = [];
  let iteration = 0;
  let isScheduled = false;
  let hasAccepted = false;

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    nextIteration(onIteration);
  };

  const startSome = (): void => {
    const sliceEnd = clock.now() + sliceMs;
    let count = 0;
    for (const { start, enteredIn } of waiting) {
      if (iteration - enteredIn < iterationsToWait) break;
      if (count > 0 && clock.now() >= sliceEnd) break;
      count += 1;
      start();
    }
    waiting = waiting.slice(count);
  };

  function onIteration(): void {
    isScheduled = false;
    iteration += 1;
    const [oldest] = waiting;
    const isUrgent = oldest !== undefined && clock.now() - oldest.enteredAt >= maxAcceptMs;
    if (!hasAccepted || isUrgent) startSome();
    hasAccepted = false;
    if (waiting.length > 0) schedule();
  }

  return {
    enter: (start) =>
      new Promise((resolve, reject) => {
        waiting.push({
          start: () => {
            start().then(resolve, reject);
          },
          enteredIn: iteration,
          enteredAt: clock.now(),
        });
        schedule();
      }),
    noteConnection() {
      hasAccepted = true;
    },
  };
}
