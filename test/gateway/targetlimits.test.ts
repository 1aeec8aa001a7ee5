import { describe, expect, it } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createTargetLimits, type TargetLimits } from '../../src/gateway/targetlimits.js';
import { type Target } from '../../src/gateway/targets.js';
import { createManualClock } from '../standins/clock.js';

const windowMs = 4_000;

/** Requests that a target may get within the window, by the stated rule. */
const allowed = (limitPerSecond: number): number => 1.5 * limitPerSecond * (windowMs / 1_000) + 5;

function setUp(
  gateways: number,
  seed = 1,
  gatewayCount: () => number | undefined = () => gateways,
) {
  const clock = createManualClock();
  const random = createSeededRandom(seed);
  const target = { id: 't', isRemoved: false } as Target;
  const create = (): TargetLimits =>
    createTargetLimits({
      clock,
      random,
      log: createNullLogger(),
      directory: { find: (id) => (id === 't' ? target : undefined) },
      gatewayCount,
      requestHint: () => undefined,
    });
  return { clock, random, target, all: Array.from({ length: gateways }, create) };
}

/** Most requests in a window while callers press all gateways, with pauses of a random length. */
async function mostInWindow(
  gateways: number,
  limitPerSecond: number,
  seed: number,
  gatewayCount?: () => number | undefined,
) {
  const { clock, random, target, all } = setUp(gateways, seed, gatewayCount);
  for (const limits of all) limits.observe(target, limitPerSecond);
  const sentAt: number[] = [];
  for (let round = 0; round < 400; round += 1) {
    // Each gateway gets more requests in a moment than it may send.
    for (const limits of all) {
      for (let tries = 0; tries < 20; tries += 1)
        if (limits.waitMs(target) === 0 && limits.tryTake(target)) sentAt.push(clock.now());
    }
    await clock.advance(random.next() < 0.05 ? 3_000 * random.next() : 50);
  }
  const sizes = sentAt.map((end) => sentAt.filter((at) => at > end - windowMs && at <= end).length);
  return { most: Math.max(0, ...sizes), total: sentAt.length, durationMs: clock.now() };
}

describe('the limit that a target names', () => {
  it.each([
    [1, 1.2],
    [3, 0.5],
    [5, 1.1],
    [5, 30],
    [27, 1.7],
    [27, 12],
    [60, 0.4],
    [340, 8],
  ])('is kept by %i gateways together at %d a second', async (gateways, limitPerSecond) => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const { most } = await mostInWindow(gateways, limitPerSecond, seed);
      expect(most).toBeLessThanOrEqual(allowed(limitPerSecond));
    }
  });

  it('is kept by gateways that do not know their number yet', async () => {
    const { most, total } = await mostInWindow(5, 30, 1, () => undefined);
    expect(total).toBeGreaterThan(0);
    expect(most).toBeLessThanOrEqual(allowed(30));
  });

  it('is used for the larger part while there is demand', async () => {
    const { total, durationMs } = await mostInWindow(5, 8, 1);
    expect(total / (durationMs / 1_000)).toBeGreaterThan(0.5 * 8);
  });

  it('lets a request through now and then when it is zero, so that its end is noticed', async () => {
    const { most, total } = await mostInWindow(5, 0, 1);
    expect(total).toBeGreaterThan(0);
    expect(most).toBeLessThanOrEqual(allowed(0));
  });

  it('lasts as long as responses name it, and ends with the first one long after them', async () => {
    const { clock, target, all } = setUp(1);
    const [limits] = all as [TargetLimits];
    limits.observe(target, 0.1);
    await clock.advance(3_000);
    limits.observe(target, 0.1);
    limits.observe(target, undefined);
    await clock.advance(1_900);
    limits.observe(target, undefined);
    expect(limits.size).toBe(1);
    await clock.advance(200);
    limits.observe(target, Number.NaN);
    expect(limits.size).toBe(1);
    limits.observe(target, undefined);
    expect([limits.size, limits.waitMs(target)]).toEqual([0, 0]);
  });

  it('is independent of a pause, which later and shorter ones do not end', async () => {
    const { clock, target, all } = setUp(2);
    const [paused, other] = all as [TargetLimits, TargetLimits];
    paused.observePause(target, 2_000);
    paused.observePause(target, 500);
    other.merge(paused.pack() ?? []);
    expect([paused.waitMs(target), other.waitMs(target)]).toEqual([2_000, 0]);
    await clock.advance(1_999);
    expect(paused.tryTake(target)).toBe(false);
    await clock.advance(1);
    expect(paused.tryTake(target)).toBe(true);
  });

  it('is known to peers that got no response, until its end is known to them', async () => {
    const { clock, target, all } = setUp(2);
    const [first, second] = all as [TargetLimits, TargetLimits];
    first.observe(target, 0.1);
    await clock.advance(100);
    second.merge(first.pack() ?? []);
    expect([second.size, second.pack()]).toEqual([1, [['t', 0.1, 100]]]);
    await clock.advance(3_000);
    const outdated = first.pack() ?? [];
    first.observe(target, undefined);
    second.merge(first.pack() ?? []);
    expect([second.size, second.waitMs(target)]).toEqual([0, 0]);
    second.merge(outdated);
    expect(second.size).toBe(0);
  });
});
