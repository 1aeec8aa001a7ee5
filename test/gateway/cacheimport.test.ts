import { describe, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createCacheModel } from '../../src/gateway/cachemodel.js';
import { importCaches } from '../../src/gateway/cacheimport.js';
import { type CacheChange } from '../../src/ports/wire.js';
import { createManualClock } from '../standins/clock.js';

const address = { host: '127.0.0.1', port: 1 };

function setUp(reply: (call: number) => readonly CacheChange[]) {
  const clock = createManualClock();
  const cache = createCacheModel(clock);
  let calls = 0;
  const done = importCaches(
    Array.from({ length: 3 }, (_, index) => ({ name: `engine-${index}`, address })),
    {
      clock,
      random: createSeededRandom(1),
      log: createNullLogger(),
      cache,
      token: noCancellation,
      reader: {
        async recentChanges() {
          calls += 1;
          return reply(calls);
        },
      },
    },
  );
  const filledLocations = (): number =>
    cache.findPrefixes('v1', [{ id: 'shared', tokens: 4_000 }]).size;
  return { clock, done, filledLocations, calls: () => calls };
}

const cachedPart = { salt: 'v1', partId: 'shared', cachedTokens: 3_984 };

// Without the import, engines prefill shared parts again that they still cache.
describe('importCaches', () => {
  it('fills the model with the parts that every engine reports', async () => {
    const { done, filledLocations } = setUp(() => [cachedPart]);
    await done;
    expect(filledLocations()).toBe(3);
  });

  it('retries a location that refuses, and skips one that keeps refusing', async () => {
    const { clock, done, filledLocations, calls } = setUp((call) => {
      if (call !== 4) throw new Error('too many calls');
      return [cachedPart];
    });
    await clock.advance(5_000);
    await done;
    expect(filledLocations()).toBe(1);
    // Two calls to the location that replied, three to each of the others.
    expect(calls()).toBe(8);
  });
});
