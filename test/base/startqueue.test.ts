import { describe, expect, it } from 'vitest';
import { createStartQueue } from '../../src/base/startqueue.js';
import { createManualClock } from '../standins/clock.js';

interface Play {
  /** Requests that are read in the first iteration of the event loop. */
  readonly requests: number;
  /** A connection is accepted in the iterations up to this one. */
  readonly acceptsUntil: number;
  readonly iterationMs: number;
  readonly startMs: number;
}

/** Returns the iteration in which each request was started. */
function play({ requests, acceptsUntil, iterationMs, startMs }: Play): readonly number[] {
  let now = 0;
  let current = 0;
  const checks: (() => void)[] = [];
  const queue = createStartQueue({ ...createManualClock(), now: () => now }, (callback) =>
    checks.push(callback),
  );
  const startedIn: number[] = [];
  for (let iteration = 1; iteration <= 20; iteration += 1) {
    current = iteration;
    if (iteration <= acceptsUntil) queue.noteConnection();
    for (let id = 0; iteration === 1 && id < requests; id += 1) {
      const start = async (): Promise<void> => {
        now += startMs;
        startedIn.push(current);
      };
      queue.enter(start).catch((err: unknown) => expect(err).toBeUndefined());
    }
    for (const check of checks.splice(0)) check();
    now += iterationMs;
  }
  return startedIn;
}

const calm: Play = { requests: 1, acceptsUntil: 0, iterationMs: 1, startMs: 1 };

describe('a request that was read', () => {
  it.each<[string, Partial<Play>, readonly number[]]>([
    ['starts after the next poll of the sockets', {}, [2]],
    ['waits for connections that wait to be accepted', { acceptsUntil: 6 }, [7]],
    [
      'starts after 50 ms although connections come without end',
      { acceptsUntil: 20, iterationMs: 10 },
      [6],
    ],
    [
      'leaves others to later iterations, so that each is short',
      { requests: 6, startMs: 3 },
      [2, 2, 3, 3, 4, 4],
    ],
    ['starts although one start takes longer than its share', { requests: 2, startMs: 9 }, [2, 3]],
  ])('%s', (_name, more, expected) => {
    expect(play({ ...calm, ...more })).toEqual(expected);
  });
});
