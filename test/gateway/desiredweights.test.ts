import { expect, it } from 'vitest';
import { createDesiredWeightsHistory } from '../../src/gateway/desiredweights.js';
import { createManualClock } from '../standins/clock.js';

it('measures from the first newer version, also when further versions follow', async () => {
  const clock = createManualClock();
  const history = createDesiredWeightsHistory(clock);
  history.record({ model: 'm', version: 1 }, Infinity);
  await clock.advance(1_000);
  history.record({ model: 'm', version: 2 }, 0);
  await clock.advance(4_000);
  history.record({ model: 'm', version: 5 }, 0);
  await clock.advance(2_000);
  expect(history.newest.get('m')).toBe(5);
  expect([0, 1, 2, 3, 5].map((version) => history.superseded('m', version))).toEqual([
    { minMs: 7_000, maxMs: Infinity },
    { minMs: 6_000, maxMs: 6_000 },
    { minMs: 2_000, maxMs: 2_000 },
    { minMs: 2_000, maxMs: 2_000 },
    undefined,
  ]);
});

it('bounds the age of a version that was read with the whole table', async () => {
  const clock = createManualClock();
  const history = createDesiredWeightsHistory(clock);
  history.record({ model: 'm', version: 2 }, 1_500);
  await clock.advance(100);
  expect(history.superseded('m', 1)).toEqual({ minMs: 100, maxMs: 1_600 });
});

it('ignores an older version', () => {
  const history = createDesiredWeightsHistory(createManualClock());
  history.record({ model: 'm', version: 3 }, 0);
  history.record({ model: 'm', version: 2 }, 0);
  expect(history.newest.get('m')).toBe(3);
});
