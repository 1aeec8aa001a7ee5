import { noCancellation } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type Logger } from '../base/logging.js';

/** A running daemon process of either role. */
export interface DaemonProcess {
  /** Addresses in use; ports differ from the settings when they ask for port 0. */
  readonly addresses: {
    readonly callers?: string;
    readonly operators: string;
    readonly internal: string;
  };
  /** Requests that are being served. */
  readonly active: number;
  /** Reports not ready, waits for the balancer, finishes running requests, then closes. */
  drain(): Promise<void>;
  /** Closes everything at once and returns how many requests were cut. */
  stop(): number;
}

/** Time between checks of whether running requests have finished. */
const drainPollMs = 50;

/** Waits until no request runs or the time is over; what still runs then is logged. */
export async function waitUntilIdle(
  clock: Clock,
  log: Logger,
  active: () => number,
  limitMs: number,
): Promise<void> {
  const end = clock.now() + limitMs;
  while (active() > 0 && clock.now() < end) await sleep(clock, drainPollMs, noCancellation);
  if (active() > 0) log.warn({ cut: active() }, 'drain time is over; cutting running requests');
}
