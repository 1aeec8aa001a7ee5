import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createWindowCount } from '../../src/gateway/windowcount.js';
import { createManualClock } from '../standins/clock.js';

const windowMs = 1_000;

// Guards against repeats that leave the window early, and requests that stay in it too long.
it('brackets the exact number of events of the window', async () => {
  const pauses = fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 60 });
  await fc.assert(
    fc.asyncProperty(pauses, async (pausesMs) => {
      const clock = createManualClock();
      const count = createWindowCount(clock, windowMs);
      const times: number[] = [];
      for (const pauseMs of pausesMs) {
        await clock.advance(pauseMs);
        times.push(clock.now());
        count.add();
        const within = (ms: number): number => times.filter((at) => clock.now() - at < ms).length;
        expect(count.sum('included')).toBeGreaterThanOrEqual(within(windowMs));
        expect(count.sum('included')).toBeLessThanOrEqual(within(windowMs * 1.04));
        expect(count.sum('left out')).toBeLessThanOrEqual(within(windowMs));
        expect(count.sum('left out')).toBeGreaterThanOrEqual(within(windowMs * 0.96));
      }
    }),
    { numRuns: 40, seed: 7 },
  );
}, 20_000);
