import fc from 'fast-check';
import { expect, test } from 'vitest';
import { leastMisses, leastRecomputedTokens } from '../../measure/load/lowerbound.js';

/** Fewest misses over all choices of cached blocks after each access. */
function bruteForce(accesses: readonly bigint[], capacity: number, initial: readonly bigint[]) {
  const search = (index: number, cached: readonly bigint[]): number => {
    const hash = accesses[index];
    if (hash === undefined) return 0;
    if (cached.includes(hash)) return search(index + 1, cached);
    let best = search(index + 1, cached);
    if (cached.length < capacity) best = Math.min(best, search(index + 1, [...cached, hash]));
    for (const victim of cached) {
      const kept = cached.filter((other) => other !== victim);
      best = Math.min(best, search(index + 1, [...kept, hash]));
    }
    return best + 1;
  };
  const searchInitial = (rest: readonly bigint[], kept: readonly bigint[]): number => {
    const [first, ...others] = rest;
    if (first === undefined || kept.length === capacity) return search(0, kept);
    return Math.min(searchInitial(others, kept), searchInitial(others, [...kept, first]));
  };
  return searchInitial(initial, []);
}

// Guards against a bound that a real cache could beat, or that is lower than necessary.
test('the fewest misses equal those of an exhaustive search', () => {
  const hash = fc.integer({ min: 0, max: 4 }).map(BigInt);
  fc.assert(
    fc.property(
      fc.array(hash, { maxLength: 8 }),
      fc.integer({ min: 1, max: 3 }),
      fc.uniqueArray(hash, { maxLength: 3 }),
      (accesses, capacity, initial) => {
        expect(leastMisses(accesses, capacity, initial)).toBe(
          bruteForce(accesses, capacity, initial),
        );
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

// Guards against tail tokens or the warm-up being left out of the bound.
test('the bound includes tails and first uses but not blocks cached by the warm-up', () => {
  const warmUp = [{ hashes: [1n, 2n], tailTokens: 50 }];
  const measured = [
    { hashes: [1n, 2n, 3n], tailTokens: 10 },
    { hashes: [1n, 2n, 3n], tailTokens: 20 },
  ];
  expect(leastRecomputedTokens(warmUp, measured, 10)).toBe(128 + 30);
  expect(leastRecomputedTokens([], measured, 10)).toBe(3 * 128 + 30);
});
