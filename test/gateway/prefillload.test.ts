import { describe, expect, it } from 'vitest';
import { createPrefillLoad } from '../../src/gateway/prefillload.js';
import { createManualClock } from '../standins/clock.js';

describe('createPrefillLoad', () => {
  it('follows the placed prompts and decays after a burst', async () => {
    const clock = createManualClock();
    const load = createPrefillLoad(clock);
    expect(load.prefillShare('engine', 80)).toBe(0);
    // Half of what the engine can prefill, for three seconds.
    for (let round = 0; round < 30; round += 1) {
      load.add('engine', 4_000);
      await clock.advance(100);
    }
    expect(load.prefillShare('engine', 80)).toBeGreaterThan(0.35);
    expect(load.prefillShare('engine', 80)).toBeLessThan(0.6);
    expect(load.prefillShare('other', 80)).toBe(0);
    await clock.advance(6_000);
    expect(load.prefillShare('engine', 80)).toBeLessThan(0.02);
  });
});
