import { expect, test } from 'vitest';
import { createPrefixGroups } from '../../src/routing/prefixgroups.js';
import { createManualClock } from '../standins/clock.js';

/** Keys of a prompt: nine of its organisation, then three of its own. */
function keysOf(organisation: number, prompt: number): readonly bigint[] {
  const shared = Array.from({ length: 9 }, (_, index) => BigInt(organisation * 100 + index + 1));
  const own = Array.from({ length: 3 }, (_, index) => BigInt(1_000_000 + prompt * 100 + index));
  return [...shared, ...own];
}

// Guards against a new entry that groups prompts differently from an old one.
test('a new entry groups cold prefixes like one that has received traffic', () => {
  const clock = createManualClock();
  const established = createPrefixGroups(clock);
  for (let prompt = 0; prompt < 400; prompt += 1)
    established.assignGroup(keysOf(prompt % 40, prompt), 10);
  expect(established.assignGroup(keysOf(77, 1), 10)).toBe(
    createPrefixGroups(clock).assignGroup(keysOf(77, 1), 10),
  );
});

// Guards against one target that receives all prompts of a large organisation.
test('a prefix with too much traffic is split, and joined again without traffic', async () => {
  const clock = createManualClock();
  const groups = createPrefixGroups(clock);
  const cold = groups.assignGroup(keysOf(1, 0), 10);
  for (let prompt = 0; prompt < 100; prompt += 1) {
    groups.assignGroup(keysOf(1, prompt), 10);
    groups.assignGroup(keysOf(2 + prompt, 1_000 + prompt), 10);
  }
  expect(groups.assignGroup(keysOf(1, 7), 10)).toBeGreaterThan(cold);
  await clock.advance(20_000);
  expect(groups.assignGroup(keysOf(1, 8), 10)).toBe(cold);
});
