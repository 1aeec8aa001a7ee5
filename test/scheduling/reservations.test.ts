import { expect, test } from 'vitest';
import { type QueuedJob } from '../../src/scheduling/job.js';
import { createReservations, reservationLifetimeMs } from '../../src/scheduling/reservations.js';
import { createManualClock } from '../standins/clock.js';

const job: QueuedJob = { team: 'red', priority: 0, costMs: 100, remainingMs: 1_000 };

// Guards against reservations that never expire, count twice, or do not count.
test('a reservation counts until it is used or expires', async () => {
  const clock = createManualClock();
  const reservations = createReservations(clock);
  const used = reservations.reserve(job);
  reservations.reserve(job);
  expect(reservations.reservedJobs.map(({ costMs }) => costMs)).toEqual([100, 100]);
  expect([reservations.use(used), reservations.use(used)]).toEqual([true, false]);
  expect(reservations.reservedJobs).toHaveLength(1);
  await clock.advance(reservationLifetimeMs);
  expect(reservations.reservedJobs).toHaveLength(0);
});

// Guards against overestimated waits: entries ask several agents and accept one offer.
test('the cost of reservations is scaled by the rate of accepted offers', async () => {
  const clock = createManualClock();
  const reservations = createReservations(clock);
  for (let round = 0; round < 300; round += 1) {
    const reservationIds = [1, 2, 3].map(() => reservations.reserve(job));
    reservations.use(reservationIds[0] as string);
    await clock.advance(reservationLifetimeMs);
  }
  reservations.reserve(job);
  const rate = (reservations.reservedJobs[0]?.costMs ?? 0) / job.costMs;
  expect(rate).toBeGreaterThan(0.25);
  expect(rate).toBeLessThan(0.45);
});
