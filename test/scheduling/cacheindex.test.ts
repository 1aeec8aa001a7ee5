import fc from 'fast-check';
import { expect, test } from 'vitest';
import { type CacheEvent } from '../../src/ports/engine.js';
import { createBlockSet } from '../../src/scheduling/blockset.js';
import { createCacheIndex } from '../../src/scheduling/cacheindex.js';
import { createPendingPrefixes } from '../../src/scheduling/pendingprefixes.js';
import { createManualClock } from '../standins/clock.js';

const seed = 11;

function event(fields: Partial<CacheEvent>): CacheEvent {
  const base = { incarnation: 'a', seq: 1, weightsVersion: 'v1', cleared: false };
  return { ...base, stored: [], evicted: [], ...fields };
}

// Guards against offers that rely on blocks which the engine no longer holds (invariant I1).
test.each<[string, Partial<CacheEvent>, readonly bigint[]]>([
  ['next event', { seq: 2, stored: [3n] }, [1n, 2n, 3n]],
  ['eviction', { seq: 2, evicted: [1n] }, [2n]],
  ['gap', { seq: 3, stored: [3n] }, [3n]],
  ['repeated event', { seq: 1, stored: [3n] }, [1n, 2n]],
  ['new incarnation', { incarnation: 'b', seq: 2, stored: [3n] }, [3n]],
  [
    'late event of the previous incarnation',
    { incarnation: 'old', seq: 9, stored: [3n] },
    [1n, 2n],
  ],
  ['new weights', { seq: 2, weightsVersion: 'v2', stored: [3n] }, [3n]],
  ['clearing event', { seq: 2, cleared: true, stored: [3n] }, [3n]],
  ['snapshot', { seq: 5, cleared: true, snapshot: true, stored: [2n, 3n] }, [2n, 3n]],
  ['snapshot without news', { cleared: true, snapshot: true, stored: [2n] }, [2n]],
  ['older snapshot', { seq: 0, cleared: true, snapshot: true, stored: [3n] }, [1n, 2n]],
  ['next part of a snapshot', { snapshot: true, stored: [3n] }, [1n, 2n, 3n]],
  ['part of another snapshot', { seq: 2, snapshot: true, stored: [3n] }, [1n, 2n]],
])('index after: %s', (_name, fields, expected) => {
  const index = createCacheIndex();
  index.setIncarnation('old', 'v1');
  index.setIncarnation('a', 'v1');
  index.apply(event({ stored: [1n, 2n] }));
  index.apply(event(fields));
  expect([1n, 2n, 3n].filter(index.has)).toEqual(expected);
});

// Guards against events of replaced weights that arrive after the state named the new ones.
test('late events of replaced weights change nothing', () => {
  const index = createCacheIndex();
  index.apply(event({ stored: [1n] }));
  index.setIncarnation('a', 'v2');
  index.apply(event({ seq: 2, stored: [2n] }));
  expect(index.size).toBe(0);
  index.apply(event({ seq: 3, weightsVersion: 'v2', stored: [3n] }));
  expect([index.size, index.has(3n)]).toEqual([1, true]);
  index.clear();
  expect(index.size).toBe(0);
});

interface Step {
  readonly kind: 'change' | 'restart' | 'reload' | 'reconnect' | 'lose' | 'late' | 'snapshot';
  readonly stored: readonly bigint[];
  readonly evicted: readonly bigint[];
}

/** Engine that keeps its real cache, for comparison with the index. */
function createEngineModel() {
  let incarnation = 0;
  let version = 0;
  let seq = 0;
  const cache = new Set<bigint>();
  return {
    cache,
    restart() {
      incarnation += 1;
      seq = 0;
      cache.clear();
    },
    reload() {
      version += 1;
      cache.clear();
    },
    snapshot(): CacheEvent {
      const names = { incarnation: `i${incarnation}`, weightsVersion: `v${version}` };
      return event({ ...names, seq, stored: [...cache], cleared: true, snapshot: true });
    },
    change({ stored, evicted }: Step): CacheEvent {
      for (const hash of evicted) cache.delete(hash);
      for (const hash of stored) cache.add(hash);
      seq += 1;
      const names = { incarnation: `i${incarnation}`, weightsVersion: `v${version}` };
      return event({ ...names, seq, stored, evicted });
    },
  };
}

// Guards against any order of losses, restarts, reloads and late events that leaves a block in
// the index which the engine does not hold, and against blocks forgotten without a cause.
test('the index never claims more than the engine holds', () => {
  const hash = fc.bigInt({ min: 0n, max: 30n });
  const weighted = (kind: Step['kind'], weight: number) => ({
    weight,
    arbitrary: fc.record({
      kind: fc.constant(kind),
      stored: fc.array(hash, { maxLength: 6 }),
      evicted: fc.array(hash, { maxLength: 3 }),
    }),
  });
  const step = fc.oneof(
    weighted('change', 12),
    weighted('late', 4),
    ...(['restart', 'reload', 'reconnect', 'lose', 'snapshot'] as const).map((kind) =>
      weighted(kind, 1),
    ),
  );
  const property = fc.property(fc.array(step, { maxLength: 80 }), fc.nat(), (steps, pick) => {
    const engine = createEngineModel();
    const index = createCacheIndex();
    const sent: CacheEvent[] = [];
    /** Blocks known since the last break; undefined while nothing was heard. */
    let known = new Set<bigint>();
    let lost = false;
    const forget = (): void => {
      known = new Set();
    };
    for (const [number, current] of steps.entries()) {
      if (current.kind === 'restart') engine.restart();
      if (current.kind === 'reload') engine.reload();
      if (current.kind === 'reconnect') index.clear();
      if (current.kind === 'lose') engine.change(current);
      if (current.kind === 'late') {
        const late = sent[(pick + number) % Math.max(1, sent.length)];
        if (late) index.apply(late);
      }
      if (current.kind === 'lose') lost = true;
      else if (current.kind === 'snapshot') {
        const snapshot = engine.snapshot();
        sent.push(snapshot);
        index.apply(snapshot);
        known = new Set(engine.cache);
        lost = false;
      } else if (current.kind !== 'change' && current.kind !== 'late') {
        forget();
        if (current.kind !== 'reconnect') lost = false;
      }
      if (current.kind !== 'change') continue;
      const next = engine.change(current);
      if (lost) forget();
      lost = false;
      sent.push(next);
      index.apply(next);
      for (const evicted of current.evicted) known.delete(evicted);
      for (const stored of current.stored) known.add(stored);
      const claimed = Array.from({ length: 31 }, (_, value) => BigInt(value)).filter(index.has);
      expect(claimed.filter((block) => !engine.cache.has(block))).toEqual([]);
      expect(new Set(claimed)).toEqual(known);
    }
  });
  fc.assert(property, { seed, numRuns: 300 });
});

// Guards against hashes lost or kept by the open addressing, and against its growth.
test('the block set behaves as a set and stays small', () => {
  // Equal low and high words collide, and so do neighbours.
  const hash = fc.oneof(
    fc.bigInt({ min: 0n, max: 40n }),
    fc.bigInt({ min: 0n, max: 40n }).map((value) => value * 0x1_0000_0001n + 0x400n),
  );
  const step = fc.record({ hash, adds: fc.boolean() });
  const property = fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
    const blocks = createBlockSet();
    const model = new Set<bigint>();
    for (const { hash: value, adds } of steps) {
      if (adds) blocks.add(value);
      else expect(blocks.delete(value)).toBe(model.has(value));
      if (adds) model.add(value);
      else model.delete(value);
      expect(blocks.size).toBe(model.size);
    }
    for (const { hash: value } of steps) expect(blocks.has(value)).toBe(model.has(value));
  });
  fc.assert(property, { seed, numRuns: 300 });
  const blocks = createBlockSet();
  const nth = (number: number): bigint => BigInt.asUintN(64, BigInt(number) * 0x9e3779b97f4a7c15n);
  for (let number = 1; number <= 130_000; number += 1) blocks.add(nth(number));
  expect([blocks.size, blocks.bytes]).toEqual([130_000, 2 ** 21]);
  for (let number = 1; number <= 129_000; number += 1) blocks.delete(nth(number));
  expect(blocks.size).toBe(1_000);
  expect(blocks.bytes).toBeLessThan(2 ** 18);
  expect(blocks.has(nth(129_500))).toBe(true);
});

// Guards against waiting for, or counting on, a computation that failed, hangs or belongs to an
// earlier incarnation.
test('pending prefixes follow the computing request', async () => {
  const clock = createManualClock();
  const pending = createPendingPrefixes(clock);
  const cover = (): readonly number[] => {
    const { cachedDepth, pendingDepth, readyAt } = pending.coverageOf(
      [1n, 2n, 3n],
      undefined,
      (h) => h < 2n,
    );
    return [cachedDepth, pendingDepth, readyAt - clock.now()];
  };
  const failed = pending.add([1n, 2n], 100);
  const longer = pending.add([1n, 2n, 3n], 300);
  expect(cover()).toEqual([1, 3, 300]);
  failed.dispose();
  expect(cover()).toEqual([1, 3, 300]);
  longer.markComputed();
  longer.dispose();
  expect(cover()).toEqual([3, 3, 0]);
  pending.evict(3n);
  expect(cover()).toEqual([2, 2, 0]);
  await clock.advance(1_000);
  expect(cover()).toEqual([1, 1, 0]);
  pending.add([1n, 2n, 3n], clock.now() + 100);
  expect(cover()).toEqual([1, 3, 100]);
  await clock.advance(200);
  expect(cover()).toEqual([1, 1, 0]);
  const old = pending.add([2n], clock.now() + 100);
  pending.clear();
  old.markComputed();
  expect(cover()).toEqual([1, 1, 0]);
});
