import { describe, expect, it, vi } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { type EnginePort, type EngineState } from '../../src/ports/engine.js';
import { type CacheIndex } from '../../src/scheduling/cacheindex.js';
import { createEngineMonitor } from '../../src/scheduling/monitor.js';
import { createManualClock } from '../standins/clock.js';

describe('engine monitor', () => {
  it('does not report the engine as unreachable when the monitor is closed', async () => {
    const clock = createManualClock();
    const log = createNullLogger();
    const warn = vi.spyOn(log, 'warn');
    const state = { incarnation: 'one', weightsVersion: 1 } as unknown as EngineState;
    let calls = 0;
    const engine = {
      state(token) {
        calls += 1;
        if (calls === 1) return Promise.resolve(state);
        return new Promise((_resolve, reject) => {
          token.onCancellationRequested((reason) => reject(new Error(reason)));
        });
      },
      load: async () => ({ running: 0, waiting: 0 }),
      async *cacheEvents() {
        // No events.
      },
    } as Partial<EnginePort> as EnginePort;
    const index = {
      setIncarnation: () => undefined,
      clear: () => undefined,
    } as unknown as CacheIndex;
    const states: (EngineState | undefined)[] = [];
    const monitor = createEngineMonitor({
      clock,
      log,
      engine,
      cacheIndex: index,
      onStateUpdate: (next) => states.push(next),
    });
    await clock.advance(300);
    expect(calls).toBe(2);
    monitor.dispose();
    await clock.advance(300);
    expect(warn).not.toHaveBeenCalled();
    expect(states).toEqual([state]);
  });
});
