import { expect, it } from 'vitest';
import { createDesiredWeightsHistory } from '../../src/gateway/desiredweights.js';
import { createManualClock } from '../standins/clock.js';

it('counts from the first newer version, however many follow', async () => {
  const clock = createManualClock();
  const log = createDesiredWeightsHistory(clock);
  log.record({ model: 'm', version: 1 }, true);
  await clock.advance(1_000);
  log.record({ model: 'm', version: 2 }, false);
  await clock.advance(4_000);
  log.record({ model: 'm', version: 5 }, false);
  await clock.advance(2_000);
  expect(log.newest.get('m')).toBe(5);
  expect([0, 1, 2, 3, 5].map((version) => log.supersededMs('m', version))).toEqual([
    Infinity,
    6_000,
    2_000,
    2_000,
    undefined,
  ]);
});

it('never goes back to an older version', () => {
  const log = createDesiredWeightsHistory(createManualClock());
  log.record({ model: 'm', version: 3 }, false);
  log.record({ model: 'm', version: 2 }, false);
  expect(log.newest.get('m')).toBe(3);
});
