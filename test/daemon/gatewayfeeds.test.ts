import { describe, expect, it } from 'vitest';
import { createSeededRandom } from '../../src/base/random.js';
import {
  configurationWaitMs,
  targetPauseMs,
  verificationMs,
} from '../../src/daemon/gatewayfeeds.js';

describe('the load of the gateways on the store', () => {
  it.each([1, 6, 27, 340])('stays within three idle calls a second for %i gateways', (gateways) => {
    const random = createSeededRandom(gateways);
    let callsPerSecond = 0;
    for (let gateway = 0; gateway < gateways; gateway += 1) {
      const waitMs = configurationWaitMs(gateways, random);
      // The store keeps a call open for 30 s at most.
      expect(waitMs).toBeLessThanOrEqual(30_000);
      callsPerSecond += 1_000 / waitMs;
    }
    // Above 30 gateways the wait is the longest that the store allows, so the rate of calls grows.
    expect(callsPerSecond).toBeLessThan(Math.max(3, gateways / 12));
  });

  it('pauses for at most half of the two seconds for which a leaving target still serves', () => {
    expect([1, 6, 27, 340].map(targetPauseMs)).toEqual([400, 400, 945, 1_000]);
  });
});

describe('the verification of the configuration', () => {
  it.each([1, 6, 27, 340])('is made about once a second by %i gateways together', (gateways) => {
    const random = createSeededRandom(gateways);
    const times = Array.from({ length: 2_000 }, () =>
      verificationMs('configuration', gateways, random),
    );
    const meanMs = times.reduce((sum, ms) => sum + ms, 0) / times.length;
    expect(meanMs / gateways).toBeGreaterThan(900);
    expect(meanMs / gateways).toBeLessThan(1_100);
    // A gateway that gets no hints verifies at its own rate.
    expect(Math.max(...times)).toBeLessThanOrEqual(1_500 * gateways);
  });
});
