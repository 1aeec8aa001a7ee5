import { type Clock } from '../../src/base/clock.js';
import { toDisposable } from '../../src/base/lifecycle.js';

/** Clock whose time changes only when a test calls `advance`. */
export interface ManualClock extends Clock {
  /** Advances the time, runs due timers in order and lets pending promises settle. */
  advance(durationMs: number): Promise<void>;
}

interface Timer {
  readonly due: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Runs pending microtasks, so that short promise chains finish. */
async function settle(): Promise<void> {
  for (let step = 0; step < 20; step += 1) await Promise.resolve();
}

export function createManualClock(): ManualClock {
  const timers = new Set<Timer>();
  let now = 0;
  let lastSequence = 0;

  const nextDue = (limit: number): Timer | undefined => {
    let next: Timer | undefined;
    for (const timer of timers) {
      if (timer.due > limit) continue;
      const isEarlier = !next || timer.due < next.due;
      if (isEarlier || (timer.due === next?.due && timer.sequence < next.sequence)) next = timer;
    }
    return next;
  };

  return {
    now: () => now,
    wallTime: () => 1_700_000_000_000 + now,
    setTimer(delayMs, callback) {
      lastSequence += 1;
      const timer = { due: now + Math.max(0, delayMs), sequence: lastSequence, callback };
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
