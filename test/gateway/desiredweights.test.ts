import { expect, it } from 'vitest';
import { createDesiredWeightsHistory } from '../../src/gateway/desiredweights.js';
import { createManualClock } from '../standins/clock.js';

it('measures from the first newer version, also when further versions follow', async () => {
  const clock = createManualClock();
  const history = createDesiredWeightsHistory(clock);
  history.record({ model: 'm', version: 1 }, true);
  await clock.advance(1_000);
  history.record({ model: 'm', version: 2 }, false);
  await clock.advance(4_000);
  history.record({ model: 'm', version: 5 }, false);
  await clock.advance(2_000);
  expect(history.newest.get('m')).toBe(5);
  expect([0, 1, 2, 3, 5].map((version) => history.supersededMs('m', version))).toEqual([
    Infinity,
    6_000,
    2_000,
    2_000,
    undefined,
  ]);
});

it('ignores an older version', () => {
  const history = createDesiredWeightsHistory(createManualClock());
  history.record({ model: 'm', version: 3 }, false);
  history.record({ model: 'm', version: 2 }, false);
  expect(history.newest.get('m')).toBe(3);
});
