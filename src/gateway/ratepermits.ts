import { type Clock } from '../base/clock.js';
import { type Random } from '../base/random.js';

/**
 * Permits for requests at a rate that may change. A permit that is not used soon is lost: gateways
 * that share a limit, each with a small part, would otherwise all send at once in a burst.
 */
export interface RatePermits {
  /** Time until there is a permit, in milliseconds; 0 when there is one now. */
  waitMs(ratePerSecond: number): number;
  /**
   * The same without a change: the phase of the first permit is not drawn, and the longest time is
   * returned instead.
   */
  peekWaitMs(ratePerSecond: number): number;
  /** Uses one permit; returns false when there is none now. */
  tryTake(ratePerSecond: number): boolean;
}

/** Time for which a permit can be used. */
const permitLifeMs = 1_000;

/** Creates permits whose first one comes at a random time, so that gateways do not send together. */
export function createRatePermits(clock: Clock, random: Random): RatePermits {
  /** When the oldest permit that is not used comes or came. */
  let nextAt: number | undefined;

  const update = (intervalMs: number): number => {
    const now = clock.now();
    nextAt = Math.min(nextAt ?? now + random.next() * intervalMs, now + intervalMs);
    const lostMs = now - permitLifeMs - nextAt;
    if (lostMs > 0) nextAt += Math.ceil(lostMs / intervalMs) * intervalMs;
    return Math.max(0, nextAt - now);
  };

  return {
    waitMs: (ratePerSecond) => update(1_000 / ratePerSecond),
    peekWaitMs(ratePerSecond) {
      const intervalMs = 1_000 / ratePerSecond;
      const now = clock.now();
      const dueAt = Math.min(nextAt ?? Infinity, now + intervalMs);
      const lostMs = Math.max(0, now - permitLifeMs - dueAt);
      return Math.max(0, dueAt + Math.ceil(lostMs / intervalMs) * intervalMs - now);
    },
    tryTake(ratePerSecond) {
      const intervalMs = 1_000 / ratePerSecond;
      if (update(intervalMs) > 0) return false;
      nextAt = (nextAt as number) + intervalMs;
      return true;
    },
  };
}
