import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createHeavyHitters } from '../../src/routing/hotprefix.js';
import { createManualClock } from '../standins/clock.js';

// Guards against a sketch that misses a hot prefix or reports more requests than were recorded.
test('a hot prefix is found within the window and counts are never too high', async () => {
  const stream = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 100, maxLength: 600 });
  const property = fc.asyncProperty(stream, async (cold) => {
    const clock = createManualClock();
    const sketch = createHeavyHitters(clock);
    const counts = new Map<bigint, number>();
    const record = (key: bigint): void => {
      counts.set(key, (counts.get(key) ?? 0) + 1);
      sketch.record(key);
    };
    for (const [index, value] of cold.entries()) {
      record(BigInt(value));
      if (index % 2 === 0) record(1_000n);
    }
    for (const [key, count] of counts) expect(sketch.rate(key)).toBeLessThanOrEqual(count);
    const before = sketch.rate(1_000n);
    expect(before).toBeGreaterThan(cold.length / 4);
    await clock.advance(1_500);
    expect(sketch.rate(1_000n)).toBeCloseTo(before / 2, 6);
    await clock.advance(500);
    expect(sketch.rate(1_000n)).toBe(0);
  });
  await fc.assert(property, { seed: 5, numRuns: 50 });
});
