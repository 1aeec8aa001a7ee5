import { describe, expect, it } from 'vitest';
import { createStartQueue } from '../../src/base/startqueue.js';
import { createManualClock } from '../standins/clock.js';

interface Scenario {
  /** Number of requests that are read in the first iteration of the event loop. */
  readonly requests: number;
  /** Last iteration in which a connection is accepted. */
  readonly acceptsUntil: number;
  readonly iterationMs: number;
  readonly startMs: number;
}

/** Returns the iteration in which each request was started. */
function runScenario({
  requests,
  acceptsUntil,
  iterationMs,
  startMs,
}: Scenario): readonly number[] {
  let now = 0;
  let current = 0;
  const scheduledCallbacks: (() => void)[] = [];
  const queue = createStartQueue({ ...createManualClock(), now: () => now }, (callback) =>
    scheduledCallbacks.push(callback),
  );
  const startedIn: number[] = [];
  for (let iteration = 1; iteration <= 20; iteration += 1) {
    current = iteration;
    if (iteration <= acceptsUntil) queue.recordConnection();
    for (let id = 0; iteration === 1 && id < requests; id += 1) {
      const start = async (): Promise<void> => {
        now += startMs;
        startedIn.push(current);
      };
      queue.enqueue(start).catch((err: unknown) => expect(err).toBeUndefined());
    }
    for (const runCallback of scheduledCallbacks.splice(0)) runCallback();
    now += iterationMs;
  }
  return startedIn;
}

const idleScenario: Scenario = { requests: 1, acceptsUntil: 0, iterationMs: 1, startMs: 1 };

describe('a queued request', () => {
  it.each<[string, Partial<Scenario>, readonly number[]]>([
    ['starts after the next poll of the sockets', {}, [2]],
    ['starts after pending connections are accepted', { acceptsUntil: 6 }, [7]],
    [
      'starts after 50 ms even if connections are accepted in every iteration',
      { acceptsUntil: 20, iterationMs: 10 },
      [6],
    ],
    [
      'is deferred to a later iteration when the start budget of 5 ms is used up',
      { requests: 6, startMs: 3 },
      [2, 2, 3, 3, 4, 4],
    ],
    [
      'starts even if one start exceeds the budget of an iteration',
      { requests: 2, startMs: 9 },
      [2, 3],
    ],
  ])('%s', (_name, overrides, expected) => {
    expect(runScenario({ ...idleScenario, ...overrides })).toEqual(expected);
  });
});
