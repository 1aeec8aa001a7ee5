import { expect, test } from 'vitest';
import { createSeededRandom } from '../../src/base/random.js';
import { createTargetHealth } from '../../src/routing/health.js';
import { createHedgeTimer } from '../../src/routing/hedging.js';
import { createManualClock } from '../standins/clock.js';

const targets = ['a', 'b', 'c', 'd', 'e', 'f'];
const identity = (name: string): string => name;

/** Creates health after twenty normal requests per target with timings that vary by a third. */
function createWarmHealth() {
  const clock = createManualClock();
  const random = createSeededRandom(5);
  const health = createTargetHealth(clock);
  const vary = (value: number) => value * (0.67 + random.next() * 0.66);
  const request = (target: string, slowdown = 1) => {
    health.observeFirstToken(target, 200, vary(200 * slowdown));
    for (let gap = 0; gap < 10; gap += 1) health.observeGap(target, vary(20 * slowdown));
  };
  for (let index = 0; index < 20; index += 1) for (const target of targets) request(target);
  const serving = () => health.select(targets, identity).serving;
  return { clock, health, request, serving, vary };
}

// Guards against slow targets that are detected late, and against healthy ones that count as slow.
test.each([
  ['first tokens', 3, 0],
  ['gaps', 0, 10],
])('a five times slower target is detected within a few %s', (_name, ratios, gaps) => {
  const { health, serving, vary } = createWarmHealth();
  expect(serving()).toEqual(targets);
  for (const target of targets) expect(health.slownessFactor(target)).toBe(1);
  for (let index = 0; index < ratios; index += 1) health.observeFirstToken('b', 200, vary(1_000));
  for (let index = 0; index < gaps; index += 1) health.observeGap('b', vary(100));
  expect(health.slownessFactor('b')).toBeGreaterThan(2);
  expect(serving()).toEqual(['a', 'c', 'd', 'e', 'f']);
});

// Guards against probation because of one outlier, such as a pause of this process.
test('one outlier puts no target on probation', () => {
  const { health, serving } = createWarmHealth();
  health.observeFirstToken('b', 200, 20_000);
  health.observeGap('b', 2_000);
  expect(serving()).toEqual(targets);
});

// Guards against probation of so many targets that the others are overloaded.
test('a slowdown of all targets is tolerated, one of most excludes at most a third', async () => {
  const all = createWarmHealth();
  for (let index = 0; index < 10; index += 1) {
    for (const target of targets) all.request(target, 5);
    await all.clock.advance(200);
  }
  for (const target of targets) expect(all.health.slownessFactor(target)).toBeLessThan(2);
  const most = createWarmHealth();
  for (const target of ['a', 'b', 'c', 'd', 'e', 'f']) {
    for (let index = 0; index < 4; index += 1) most.request(target, 5);
    await most.clock.advance(200);
  }
  expect(most.serving().length).toBeGreaterThanOrEqual(4);
});

// Guards against probation that ends too early, never ends, or sends more than single probes.
test('probation sends single probes and ends after good ones', async () => {
  const { clock, health, request, serving } = createWarmHealth();
  for (let index = 0; index < 4; index += 1) request('b', 5);
  expect(health.select(targets, identity)).toMatchObject({ probe: undefined });
  await clock.advance(1_000);
  expect(health.select(targets, identity).probe).toBe('b');
  expect(health.select(targets, identity).probe).toBeUndefined();
  request('b', 5);
  await clock.advance(1_000);
  expect(health.select(targets, identity).probe).toBeUndefined();
  let probes = 0;
  for (let second = 0; second < 20 && serving().length < 6; second += 1) {
    await clock.advance(1_000);
    const { probe } = health.select(targets, identity);
    if (!probe) continue;
    expect(probe).toBe('b');
    probes += 1;
    request('b', 1);
    if (probes === 1) expect(serving()).not.toContain('b');
  }
  expect(serving()).toEqual(targets);
  expect(health.slownessFactor('b')).toBe(1);
});

// Guards against a hedge delay that follows the slow tail, or a delay without an expectation.
test('the hedge delay follows the p95 of the ratio within bounds', () => {
  const timer = createHedgeTimer();
  expect(timer.delayMs(0)).toBeUndefined();
  expect(timer.delayMs(175)).toBe(575);
  for (let index = 0; index < 100; index += 1) timer.observe(175, index < 94 ? 175 : 375);
  expect(timer.delayMs(175)).toBe(375);
  for (let index = 0; index < 100; index += 1) timer.observe(175, 10_000);
  expect(timer.delayMs(175)).toBe(775);
});
