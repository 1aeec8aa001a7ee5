import { noCancellation } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type DelayMeter } from '../base/eventloop.js';
import { type Logger } from '../base/logging.js';
import { type GatewayServer } from '../gateway/server.js';
import { waitUntilIdle } from './process.js';

/** Planned stop of a gateway. */
export interface GatewayStop {
  /** Time until running requests are interrupted; Infinity before the stop. */
  remainingGraceMs(): number;
  /** Lets running requests finish within the grace period, then closes. */
  run(callerServer: GatewayServer): Promise<void>;
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

/** Part of the grace period that is reserved for closing connections. */
const closeReserveMs = 600;

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
  let endsAt = Infinity;
  const remainingGraceMs = (): number => endsAt - closeReserveMs - clock.now();

  return {
    remainingGraceMs,
    async run(callerServer) {
      const startedAt = clock.now();
      endsAt = startedAt + graceMs;
      const state = () => ({
        active: callerServer.active,
        flushing: callerServer.flushing,
        graceLeftMs: Math.round(endsAt - clock.now()),
        loopDelayMs: Math.round(delay.recentMs),
      });
      callerServer.closeAfterResponses();
      log.info(state(), 'stop began; responses announce that their connections close');
      await sleep(clock, balancerWaitMs, noCancellation);
      callerServer.refuseNew();
      log.info(state(), 'refusing new requests');
      await waitUntilIdle(clock, () => callerServer.active, remainingGraceMs());
      const requests = callerServer.summarize(maxNamedRequests);
      const cut = callerServer.interruptAll();
      const level = cut > 0 ? 'warn' : 'info';
      log[level]({ ...state(), cut, requests }, 'no requests are waited for any longer');
      await sleep(clock, lingerMs, noCancellation);
      const last = state();
      close();
      await waitUntilIdle(clock, () => callerServer.active, logWaitMs);
      log.info({ ...last, cut, tookMs: Math.round(clock.now() - startedAt) }, 'gateway stopped');
    },
  };
}
