import fc from 'fast-check';
import { expect, test } from 'vitest';
import { blockChars, type ChainSeed, hashBlocks } from '../../src/routing/blocks.js';
import { keyDepths } from '../../src/routing/candidates.js';
import { createRendezvousTable } from '../../src/routing/rendezvous.js';

const seed: ChainSeed = { salt: 's', model: 'm', weightsVersion: 'v', adapter: '' };
const unit = fc.constantFrom('a', 'b', 'é', '漢', '\u{1F600}', '\ud83d');
const prompt = fc.array(unit, { minLength: 1, maxLength: 20 }).map((units) =>
  units
    .join('')
    .repeat(200)
    .slice(0, blockChars * 4),
);

// Guards against a hash that depends on text after its block, also for mixed scripts.
test('the hashes of a prefix are the first hashes of every longer prompt', () => {
  fc.assert(
    fc.property(prompt, prompt, (first, second) => {
      const whole = hashBlocks(seed, first + second);
      const prefix = hashBlocks(seed, first);
      expect(whole.slice(0, prefix.length)).toEqual(prefix);
    }),
    { seed: 11, numRuns: 60 },
  );
});

// Guards against equal hashes for different texts or different owners of cache entries.
test('different texts, teams, models, versions and adapters have different hashes', () => {
  fc.assert(
    fc.property(prompt, prompt, (first, second) => {
      const a = first.padEnd(blockChars, 'x').slice(0, blockChars);
      const b = second.padEnd(blockChars, 'x').slice(0, blockChars);
      expect(hashBlocks(seed, a)[0] === hashBlocks(seed, b)[0]).toBe(a === b);
    }),
    { seed: 12, numRuns: 60 },
  );
  const owners = [
    seed,
    { ...seed, salt: 't' },
    { ...seed, model: 'n' },
    { ...seed, weightsVersion: 'w' },
    { ...seed, adapter: 'l' },
    { ...seed, model: 'mv', weightsVersion: '' },
  ];
  const hashes = owners.map((owner) => hashBlocks(owner, 'x'.repeat(blockChars))[0]);
  expect(new Set(hashes).size).toBe(owners.length);
});

// Guards against UTF-8 replacing both halves of a character that crosses a block boundary.
test('different characters across a block boundary have different hashes', () => {
  const fill = 'x'.repeat(blockChars - 1);
  const [a, b] = ['\u{1F600}', '\u{1F601}'].map((face) =>
    hashBlocks(seed, `${fill}${face}${fill}`),
  );
  expect(a?.[1]).not.toBe(b?.[1]);
});

// Guards against a ranking that moves more keys than those of the removed or added target.
test('removing a target keeps the order of the others', () => {
  const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), {
    minLength: 2,
    maxLength: 30,
  });
  fc.assert(
    fc.property(names, fc.bigInt(0n, 2n ** 64n - 1n), fc.nat(), (all, key, index) => {
      const removed = all[index % all.length];
      const others = all.filter((name) => name !== removed).reverse();
      const before = createRendezvousTable(all, (name) => name).top(key, all.length);
      const after = createRendezvousTable(others, (name) => name).top(key, others.length);
      expect(after).toEqual(before.filter((name) => name !== removed));
      const two = createRendezvousTable(all, (name) => name).top(key, 2);
      expect(two).toEqual(before.slice(0, 2));
      const one = createRendezvousTable(all, (name) => name).top(key, 1);
      expect(one).toEqual(before.slice(0, 1));
    }),
    { seed: 13, numRuns: 200 },
  );
});

// Guards against a hash mixer that assigns many more keys to some targets than to others.
test('rendezvous hashing distributes keys evenly', () => {
  const targets = Array.from({ length: 6 }, (_, index) => `engine-${index}`);
  const table = createRendezvousTable(targets, (name) => name);
  const counts = new Map<string, number>();
  for (let key = 0n; key < 6_000n; key += 1n) {
    const name = table.top(key * 0x9e3779b97f4a7c15n, 1)[0] as string;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const count of counts.values()) expect(Math.abs(count - 1_000)).toBeLessThan(150);
});

// Guards against prompts of neighbouring lengths that share no keys.
test('key depths of neighbouring prompt lengths overlap', () => {
  expect([1, 5, 47, 50, 63].map(keyDepths)).toMatchInlineSnapshot(`
    [
      [
        1,
      ],
      [
        1,
        2,
        3,
        4,
      ],
      [
        1,
        2,
        3,
        4,
        6,
        8,
        12,
        16,
        24,
        32,
      ],
      [
        1,
        2,
        3,
        4,
        6,
        8,
        12,
        16,
        24,
        32,
        48,
      ],
      [
        1,
        2,
        3,
        4,
        6,
        8,
        12,
        16,
        24,
        32,
        48,
      ],
    ]
  `);
  for (let blocks = 2; blocks < 200; blocks += 1) {
    const depths = keyDepths(blocks);
    expect(keyDepths(blocks + 1).some((depth) => depths.includes(depth))).toBe(true);
  }
});
