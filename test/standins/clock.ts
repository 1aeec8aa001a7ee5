import { type Clock } from '../../src/base/clock.js';
import { toDisposable } from '../../src/base/lifecycle.js';

/** Clock that only moves when a test says so. */
export interface ManualClock extends Clock {
  /** Moves time forward, runs due timers in order and lets pending promises settle. */
  advance(durationMs: number): Promise<void>;
}

interface Timer {
  readonly due: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Lets promise chains of a few steps finish. */
async function settle(): Promise<void> {
  for (let step = 0; step < 20; step += 1) await Promise.resolve();
}

export function createManualClock(): ManualClock {
  const timers = new Set<Timer>();
  let now = 0;
  let order = 0;

  const nextDue = (limit: number): Timer | undefined => {
    let next: Timer | undefined;
    for (const timer of timers) {
      if (timer.due > limit) continue;
      const sooner = !next || timer.due < next.due;
      if (sooner || (timer.due === next?.due && timer.order < next.order)) next = timer;
    }
    return next;
  };

  return {
    now: () => now,
    wallTime: () => 1_700_000_000_000 + now,
    setTimer(delayMs, callback) {
      order += 1;
      const timer = { due: now + Math.max(0, delayMs), order, callback };
      timers.add(timer);
      return toDisposable(() => timers.delete(timer));
    },
    async advance(durationMs) {
      const end = now + durationMs;
      await settle();
      for (let timer = nextDue(end); timer; timer = nextDue(end)) {
        timers.delete(timer);
        now = Math.max(now, timer.due);
        timer.callback();
        await settle();
      }
      now = end;
      await settle();
    },
  };
}
