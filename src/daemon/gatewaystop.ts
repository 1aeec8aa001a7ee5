import { noCancellation } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type DelayMeter } from '../base/eventloop.js';
import { type Logger } from '../base/logging.js';
import { type GatewayServer } from '../gateway/server.js';
import { waitUntil } from './process.js';
import { createStopSchedule } from './stopschedule.js';

/** Planned stop of a gateway. */
export interface GatewayStop {
  /** Time until running requests are interrupted; Infinity before the stop. */
  remainingGraceMs(): number;
  /**
   * Lets running requests finish within the grace period, then closes. The signal was handled
   * `handledMs` ago.
   */
  run(callerServer: GatewayServer, handledMs: number): Promise<void>;
}

export interface GatewayStopOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly delay: DelayMeter;
  readonly balancerWaitMs: number;
  readonly graceMs: number;
  /** Closes all listeners and connections. */
  close(): void;
}

/**
 * Time after the last response in which connections stay open. A caller may have sent its next
 * request before it learned of the shutdown; it gets a refusal instead of a reset.
 */
const lingerMs = 250;

/** Longest time for requests whose connections were closed to log their end. */
const logWaitMs = 100;

/** Requests that one log line names. */
const maxNamedRequests = 32;

export function createGatewayStop(options: GatewayStopOptions): GatewayStop {
  const { clock, log, delay, balancerWaitMs, graceMs, close } = options;
  const schedule = createStopSchedule(clock, delay, graceMs);

  return {
    remainingGraceMs: schedule.untilInterruptMs,
    async run(callerServer, handledMs) {
      const startedAt = clock.now();
      schedule.begin(handledMs);
      const state = () => ({
        active: callerServer.active,
        flushing: callerServer.flushing,
        connections: callerServer.connections,
        graceLeftMs: Math.round(schedule.graceLeftMs()),
        loopDelayMs: Math.round(delay.recentMs),
      });
      const isIdle = (): boolean => callerServer.active === 0;
      callerServer.closeAfterResponses();
      log.info(state(), 'stop began; responses announce that their connections close');
      const waitMs = Math.max(0, Math.min(balancerWaitMs, schedule.untilInterruptMs()));
      await sleep(clock, waitMs, noCancellation);
      callerServer.refuseNew();
      log.info(state(), 'refusing new requests');
      await waitUntil(clock, isIdle, schedule.untilInterruptMs);
      const requests = callerServer.summarize(maxNamedRequests);
      const cut = callerServer.interruptAll();
      const level = cut > 0 ? 'warn' : 'info';
      log[level]({ ...state(), cut, requests }, 'no requests are waited for any longer');
      await waitUntil(clock, isIdle, schedule.untilCloseMs);
      const lingerEnd = clock.now() + lingerMs;
      await waitUntil(
        clock,
        () => callerServer.connections === 0,
        () => Math.min(lingerEnd - clock.now(), schedule.untilCloseMs()),
      );
      const last = state();
      close();
      const logEnd = clock.now() + logWaitMs;
      await waitUntil(clock, isIdle, () => logEnd - clock.now());
      log.info({ ...last, cut, tookMs: Math.round(clock.now() - startedAt) }, 'gateway stopped');
    },
  };
}
