import { describe, expect, it } from 'vitest';
import { createTargetWeights, type TargetWeights } from '../../src/gateway/targetweights.js';
import { singleEra } from '../../src/storeera/eras.js';
import { createManualClock } from '../standins/clock.js';

// Guards against a decision by a version that is older than one already seen, or equal by chance.
describe('the weights of a target', () => {
  it.each<[string, (weights: TargetWeights) => void, number]>([
    ['the same version', (weights) => weights.observe('m', 1), -Infinity],
    ['a registration of the same version', (w) => w.register(new Map([['m', 1]])), -Infinity],
    ['another model', (weights) => weights.observe('other', 2), -Infinity],
    ['another version', (weights) => weights.observe('m', 2), 100],
    ['a registration of another version', (w) => w.register(new Map([['m', 2]])), 100],
    ['a change under a request', (weights) => weights.observeChange('m', 1), 100],
    ['a change to an unreadable version', (w) => w.observeChange('m', undefined), 100],
    ['an order', (weights) => weights.observeOrder(), 100],
    ['a refusal of the known version', (weights) => weights.clear('m'), 100],
  ])('are settled or not after %s', async (_name, observe, unsettledAt) => {
    const clock = createManualClock();
    const weights = createTargetWeights(clock, singleEra, new Map([['m', 1]]), () => undefined);
    await clock.advance(100);
    observe(weights);
    expect(weights.unsettledAt('m')).toBe(unsettledAt);
  });

  it('stay unsettled for earlier runs when an older response arrives late', async () => {
    const clock = createManualClock();
    const weights = createTargetWeights(clock, singleEra, new Map([['m', 1]]), () => undefined);
    await clock.advance(100);
    weights.observeChange('m', 2);
    weights.observe('m', 1);
    expect([weights.version('m'), weights.unsettledAt('m')]).toEqual([1, 100]);
  });
});
