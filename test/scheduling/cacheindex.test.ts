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

// Guards against offers that count on blocks which the engine no longer caches (invariant I1).
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
  ['snapshot without changes', { cleared: true, snapshot: true, stored: [2n] }, [2n]],
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

// Guards against events of replaced weights that arrive after the state reported the new ones.
test('the index ignores late events of replaced weights', () => {
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

/** Engine model whose actual cache is compared with the index. */
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
      const versions = { incarnation: `i${incarnation}`, weightsVersion: `v${version}` };
      return event({ ...versions, seq, stored: [...cache], cleared: true, snapshot: true });
    },
    change({ stored, evicted }: Step): CacheEvent {
      for (const hash of evicted) cache.delete(hash);
      for (const hash of stored) cache.add(hash);
      seq += 1;
      const versions = { incarnation: `i${incarnation}`, weightsVersion: `v${version}` };
      return event({ ...versions, seq, stored, evicted });
    },
  };
}

// Guards against lost events, restarts, reloads and late events that, in any order, leave a block
// in the index which the engine does not cache, and against blocks removed without a cause.
test('the index contains no block that the engine does not cache', () => {
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
  const property = fc.property(fc.array(step, { maxLength: 80 }), fc.nat(), (steps, lateOffset) => {
    const engine = createEngineModel();
    const index = createCacheIndex();
    const sent: CacheEvent[] = [];
    /** Blocks that the index must contain: those reported since it was last cleared. */
    let expectedBlocks = new Set<bigint>();
    let isEventLost = false;
    const resetExpected = (): void => {
      expectedBlocks = new Set();
    };
    for (const [number, current] of steps.entries()) {
      if (current.kind === 'restart') engine.restart();
      if (current.kind === 'reload') engine.reload();
      if (current.kind === 'reconnect') index.clear();
      if (current.kind === 'lose') engine.change(current);
      if (current.kind === 'late') {
        const late = sent[(lateOffset + number) % Math.max(1, sent.length)];
        if (late) index.apply(late);
      }
      if (current.kind === 'lose') isEventLost = true;
      else if (current.kind === 'snapshot') {
        const snapshot = engine.snapshot();
        sent.push(snapshot);
        index.apply(snapshot);
        expectedBlocks = new Set(engine.cache);
        isEventLost = false;
      } else if (current.kind !== 'change' && current.kind !== 'late') {
        resetExpected();
        if (current.kind !== 'reconnect') isEventLost = false;
      }
      if (current.kind !== 'change') continue;
      const next = engine.change(current);
      if (isEventLost) resetExpected();
      isEventLost = false;
      sent.push(next);
      index.apply(next);
      for (const evicted of current.evicted) expectedBlocks.delete(evicted);
      for (const stored of current.stored) expectedBlocks.add(stored);
      const indexedBlocks = Array.from({ length: 31 }, (_, value) => BigInt(value)).filter(
        index.has,
      );
      expect(indexedBlocks.filter((block) => !engine.cache.has(block))).toEqual([]);
      expect(new Set(indexedBlocks)).toEqual(expectedBlocks);
    }
  });
  fc.assert(property, { seed, numRuns: 300 });
});

// Guards against open addressing that loses or retains hashes, and against too many slots.
test('the block set behaves like a set within its memory bounds', () => {
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
  const hashOf = (number: number): bigint =>
    BigInt.asUintN(64, BigInt(number) * 0x9e3779b97f4a7c15n);
  for (let number = 1; number <= 130_000; number += 1) blocks.add(hashOf(number));
  expect([blocks.size, blocks.bytes]).toEqual([130_000, 2 ** 21]);
  for (let number = 1; number <= 129_000; number += 1) blocks.delete(hashOf(number));
  expect(blocks.size).toBe(1_000);
  expect(blocks.bytes).toBeLessThan(2 ** 18);
  expect(blocks.has(hashOf(129_500))).toBe(true);
});

// Guards against requests that wait for or rely on a computation that failed, is overdue or belongs
// to an earlier incarnation.
test('a pending prefix counts while its computation is running or computed', async () => {
  const clock = createManualClock();
  const pending = createPendingPrefixes(clock);
  const coverage = (): readonly number[] => {
    const { cachedDepth, pendingDepth, readyAt } = pending.coverageOf(
      [1n, 2n, 3n],
      undefined,
      (h) => h < 2n,
    );
    return [cachedDepth, pendingDepth, readyAt - clock.now()];
  };
  const failed = pending.add([1n, 2n], 100);
  const longer = pending.add([1n, 2n, 3n], 300);
  expect(coverage()).toEqual([1, 3, 300]);
  failed.dispose();
  expect(coverage()).toEqual([1, 3, 300]);
  longer.markComputed();
  longer.dispose();
  expect(coverage()).toEqual([3, 3, 0]);
  pending.evict(3n);
  expect(coverage()).toEqual([2, 2, 0]);
  await clock.advance(1_000);
  expect(coverage()).toEqual([1, 1, 0]);
  pending.add([1n, 2n, 3n], clock.now() + 100);
  expect(coverage()).toEqual([1, 3, 100]);
  await clock.advance(200);
  expect(coverage()).toEqual([1, 1, 0]);
  const old = pending.add([2n], clock.now() + 100);
  pending.clear();
  old.markComputed();
  expect(coverage()).toEqual([1, 1, 0]);
});
