import { describe, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createCacheModel } from '../../src/gateway/cachemodel.js';
import { importCaches } from '../../src/gateway/cacheimport.js';
import { type CacheChange } from '../../src/ports/wire.js';
import { createManualClock } from '../standins/clock.js';

const address = { host: '127.0.0.1', port: 1 };

function setUp(answer: (call: number) => readonly CacheChange[]) {
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
          return answer(calls);
        },
      },
    },
  );
  const holders = (): number => cache.findPrefixes('v1', [{ id: 'shared', tokens: 4_000 }]).size;
  return { clock, done, holders, calls: () => calls };
}

const kept = { salt: 'v1', partId: 'shared', keptTokens: 3_984 };

describe('the cache model of a process that has just started', () => {
  it('knows what the engines keep, so that it does not have them read it again', async () => {
    const { done, holders } = setUp(() => [kept]);
    await done;
    expect(holders()).toBe(3);
  });

  it('asks again a holder that refused, and goes on without one that never answers', async () => {
    const { clock, done, holders, calls } = setUp((call) => {
      if (call !== 4) throw new Error('too many calls');
      return [kept];
    });
    await clock.advance(5_000);
    await done;
    expect(holders()).toBe(1);
    // Two calls for the one that answered, three for each of the others.
    expect(calls()).toBe(8);
  });
});
