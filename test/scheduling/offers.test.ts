import fc from 'fast-check';
import { expect, test } from 'vitest';
import { type QueuedJob } from '../../src/scheduling/job.js';
import { createHotPrefixes } from '../../src/scheduling/hotprefix.js';
import { createReservations, reservationMs } from '../../src/scheduling/offers.js';
import { createManualClock } from '../standins/clock.js';

const job: QueuedJob = { team: 'red', priority: 0, costMs: 100, remainingMs: 1_000 };

// Guards against reservations that count for ever, twice, or not at all.
test('a reservation counts until it is used or expires', async () => {
  const clock = createManualClock();
  const reservations = createReservations(clock);
  const used = reservations.reserve(job);
  reservations.reserve(job);
  expect(reservations.promised.map(({ costMs }) => costMs)).toEqual([100, 100]);
  expect([reservations.use(used), reservations.use(used)]).toEqual([true, false]);
  expect(reservations.promised).toHaveLength(1);
  await clock.advance(reservationMs);
  expect(reservations.promised).toHaveLength(0);
});

// Guards against waits that are overstated because entries ask several agents and take one.
test('reservations weigh as much as offers are taken up', async () => {
  const clock = createManualClock();
  const reservations = createReservations(clock);
  for (let round = 0; round < 300; round += 1) {
    const ids = [1, 2, 3].map(() => reservations.reserve(job));
    reservations.use(ids[0] as string);
    await clock.advance(reservationMs);
  }
  reservations.reserve(job);
  const weight = (reservations.promised[0]?.costMs ?? 0) / job.costMs;
  expect(weight).toBeGreaterThan(0.25);
  expect(weight).toBeLessThan(0.45);
});

// Guards against a sketch that grows with the number of prefixes, misses a hot one or reports
// more requests than there were.
test('hot prefixes are found within the last second in bounded memory', async () => {
  const stream = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 100, maxLength: 600 });
  const property = fc.asyncProperty(stream, async (cold) => {
    const clock = createManualClock();
    const capacity = 16;
    const hot = createHotPrefixes(clock, capacity);
    const counts = new Map<bigint, number>();
    const record = (hash: bigint): void => {
      counts.set(hash, (counts.get(hash) ?? 0) + 1);
      hot.record(hash);
    };
    for (const [index, value] of cold.entries()) {
      record(BigInt(value));
      if (index % 2 === 0) record(1_000n);
    }
    expect(hot.hottest(1)[0]?.hash).toBe(1_000n);
    expect(hot.hottest(0).length).toBeLessThanOrEqual(capacity);
    for (const [hash, count] of counts) expect(hot.count(hash)).toBeLessThanOrEqual(count);
    const before = hot.count(1_000n);
    await clock.advance(1_500);
    expect(hot.count(1_000n)).toBeCloseTo(before / 2, 6);
    await clock.advance(500);
    expect(hot.hottest(0.1)).toEqual([]);
  });
  await fc.assert(property, { seed: 5, numRuns: 50 });
});
