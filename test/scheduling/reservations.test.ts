import { expect, test } from 'vitest';
import { type QueuedJob } from '../../src/scheduling/job.js';
import { createReservations, reservationLifetimeMs } from '../../src/scheduling/reservations.js';
import { createManualClock } from '../standins/clock.js';

const job: QueuedJob = { team: 'red', priority: 0, costMs: 100, remainingMs: 1_000 };

// Guards against reservations that count for ever, twice, or not at all.
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

// Guards against waits that are overstated because entries ask several agents and take one.
test('reservations weigh as much as offers are taken up', async () => {
  const clock = createManualClock();
  const reservations = createReservations(clock);
  for (let round = 0; round < 300; round += 1) {
    const ids = [1, 2, 3].map(() => reservations.reserve(job));
    reservations.use(ids[0] as string);
    await clock.advance(reservationLifetimeMs);
  }
  reservations.reserve(job);
  const weight = (reservations.reservedJobs[0]?.costMs ?? 0) / job.costMs;
  expect(weight).toBeGreaterThan(0.25);
  expect(weight).toBeLessThan(0.45);
});
