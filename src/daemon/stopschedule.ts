import { type Clock } from '../base/clock.js';
import { type DelayMeter } from '../base/eventloop.js';

/** Times of a planned stop, in milliseconds; Infinity before it begins. */
export interface StopSchedule {
  /** Begins the grace period with a signal that was handled `handledMs` ago. */
  begin(handledMs: number): void;
  /** Time until the process may be killed. */
  graceLeftMs(): number;
  /** Time until running requests are interrupted. */
  untilInterruptMs(): number;
  /** Time until connections are closed whose callers have not read their responses. */
  untilCloseMs(): number;
}

/** Reserve at the end of the grace period in which interrupted requests are answered. */
const interruptReserveMs = 600;

/** Part of that reserve for closing connections and writing the log. */
const closeReserveMs = 350;

/** Steps at the end of a stop that each wait for the event loop. */
const lateSteps = 4;

/** Largest part of the grace period that is reserved in a process that is late. */
const maxReserveFraction = 1 / 6;

/** Returns the reserve at the end of the grace period for a process with a late event loop. */
export function stopReserveMs(reserveMs: number, graceMs: number, loopDelayMs: number): number {
  const lateReserveMs = reserveMs + lateSteps * loopDelayMs;
  return Math.min(lateReserveMs, Math.max(reserveMs, graceMs * maxReserveFraction));
}

export function createStopSchedule(clock: Clock, delay: DelayMeter, graceMs: number): StopSchedule {
  let endsAt = Infinity;
  const graceLeftMs = (): number => endsAt - clock.now();
  const untilMs = (reserveMs: number): number =>
    graceLeftMs() - stopReserveMs(reserveMs, graceMs, delay.recentMs);
  return {
    // The grace period began when the signal was sent, not when the late process handled it.
    begin(handledMs) {
      endsAt = clock.now() - handledMs - delay.boundMs + graceMs;
    },
    graceLeftMs,
    untilInterruptMs: () => untilMs(interruptReserveMs),
    untilCloseMs: () => untilMs(closeReserveMs),
  };
}
