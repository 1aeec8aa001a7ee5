import { describe, expect, it } from 'vitest';
import { createSeededRandom } from '../../src/base/random.js';
import { configurationWaitMs, targetPauseMs } from '../../src/daemon/gatewayfeeds.js';

describe('the load of the entries on the store', () => {
  it.each([1, 6, 27, 340])('stays within three idle calls a second for %i entries', (entries) => {
    const random = createSeededRandom(entries);
    let callsPerSecond = 0;
    for (let entry = 0; entry < entries; entry += 1) {
      const waitMs = configurationWaitMs(entries, random);
      // The store keeps a call for 30 s at most.
      expect(waitMs).toBeLessThanOrEqual(30_000);
      callsPerSecond += 1_000 / waitMs;
    }
    // Above 30 entries the longest wait that the store allows binds.
    expect(callsPerSecond).toBeLessThan(Math.max(3, entries / 12));
  });

  it('leaves a target that goes away two seconds, of which the entries use half', () => {
    expect([1, 6, 27, 340].map(targetPauseMs)).toEqual([400, 400, 945, 1_000]);
  });
});
