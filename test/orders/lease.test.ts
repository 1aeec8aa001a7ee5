import { expect, test } from 'vitest';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { type Clock } from '../../src/base/clock.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createOrderLease, type OrderLease } from '../../src/orders/lease.js';
import { createManualClock, type ManualClock } from '../standins/clock.js';
import { createFaultyTable, type TableFault } from '../standins/faultytable.js';

const durationMs = 1_000;

/** Clock of a process that can be paused: its timers fire only after the pause. */
function createPausableClock(clock: ManualClock) {
  const pendingCallbacks: (() => void)[] = [];
  let paused = false;
  const pausable: Clock = {
    ...clock,
    setTimer: (delayMs, callback) =>
      clock.setTimer(delayMs, () => {
        if (paused) pendingCallbacks.push(callback);
        else callback();
      }),
  };
  return {
    clock: pausable,
    pause() {
      paused = true;
    },
    resume() {
      paused = false;
      for (const callback of pendingCallbacks.splice(0)) callback();
    },
  };
}

function createSite(seed: number) {
  const clock = createManualClock();
  const random = createSeededRandom(seed);
  const table = createFaultyTable(createMemoryTable());
  const log = createNullLogger();
  const processes = ['a', 'b', 'c'].map((instance) => {
    const process = createPausableClock(clock);
    const options = { clock: process.clock, random, log, table, instance, durationMs };
    return { ...process, lease: createOrderLease(options) };
  });
  const holders = (): readonly OrderLease[] =>
    processes.map(({ lease }) => lease).filter((lease) => lease.current() !== undefined);
  return { clock, random, table, processes, holders };
}

test('one process acquires the lease and keeps it', async () => {
  const site = createSite(1);
  await site.clock.advance(2 * durationMs);
  const [holder] = site.holders();
  expect(holder?.current()).toBe(1);
  await site.clock.advance(20 * durationMs);
  expect(site.holders()).toEqual([holder]);
  expect(holder?.current()).toBe(1);
});

// Guards against a paused holder that still acts after another process acquired the lease.
test('a holder that is paused past its lease loses it', async () => {
  const site = createSite(2);
  await site.clock.advance(2 * durationMs);
  const paused = site.processes.find(({ lease }) => lease.current() === 1);
  paused?.pause();
  await site.clock.advance(5 * durationMs);
  expect(paused?.lease.current()).toBeUndefined();
  expect(site.holders()).toHaveLength(1);
  expect(site.holders()[0]?.current()).toBe(2);
  paused?.resume();
  await site.clock.advance(durationMs);
  expect(paused?.lease.current()).toBeUndefined();
});

const faults: readonly TableFault[] = [
  'none',
  'down',
  'loseReplyAfterWrite',
  'loseReplyBeforeWrite',
];

// Guards against two holders at once and against a fencing number that decreases.
test.each([11, 12, 13, 14, 15])(
  'seed %i: at most one holder under pauses and store faults',
  async (seed) => {
    const site = createSite(seed);
    let newest = 0;
    for (let step = 0; step < 200; step += 1) {
      const process = site.processes[site.random.integer(site.processes.length)];
      if (site.random.integer(4) === 0) process?.pause();
      else process?.resume();
      site.table.fault = faults[site.random.integer(faults.length * 2)] ?? 'none';
      await site.clock.advance(site.random.integer(durationMs));
      const holders = site.holders();
      expect(holders.length).toBeLessThanOrEqual(1);
      const number = holders[0]?.current();
      if (number === undefined) continue;
      expect(number).toBeGreaterThanOrEqual(newest);
      newest = number;
    }
    expect(newest).toBeGreaterThan(1);
  },
);
