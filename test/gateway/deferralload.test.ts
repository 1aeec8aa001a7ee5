import { describe, expect, it } from 'vitest';
import { createDeferralLoad } from '../../src/gateway/deferralload.js';
import { createManualClock } from '../standins/clock.js';

describe('createDeferralLoad', () => {
  it('counts deferred requests by route, each once', () => {
    const load = createDeferralLoad(createManualClock(), () => 2);
    const first = load.defer('a');
    load.defer('b');
    expect([load.backlog('a').deferred, load.backlog('b').deferred, load.total]).toEqual([1, 1, 2]);
    first.dispose();
    first.dispose();
    expect([load.backlog('a').deferred, load.total]).toEqual([0, 1]);
  });

  it('expects less room the longer requests wait without finding any', async () => {
    const clock = createManualClock();
    const load = createDeferralLoad(clock, () => 2);
    const { roomPerMs } = load.backlog('a');
    await clock.advance(60_000);
    expect(load.backlog('a').roomPerMs).toBe(roomPerMs);
    load.defer('a');
    await clock.advance(3_000);
    expect(load.backlog('a').roomPerMs).toBeLessThan(roomPerMs / 5);
  });

  it('follows the rate at which requests find room', async () => {
    const clock = createManualClock();
    const load = createDeferralLoad(clock, () => 2);
    load.defer('a');
    for (let round = 0; round < 100; round += 1) {
      load.recordRoom('a');
      await clock.advance(100);
    }
    expect(load.backlog('a').roomPerMs).toBeGreaterThan(0.008);
    expect(load.backlog('a').roomPerMs).toBeLessThan(0.012);
  });
});
