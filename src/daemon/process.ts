import { noCancellation } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type Logger } from '../base/logging.js';

/** A running daemon process of any role. */
export interface DaemonProcess {
  /** Addresses in use; where the settings have port 0, with the port that the system assigned. */
  readonly addresses: {
    readonly callers?: string;
    readonly operators: string;
    readonly internal: string;
  };
  /** Requests that are being served. */
  readonly active: number;
  /** Reports not ready, waits for the load balancer, lets running requests finish, then closes. */
  drain(): Promise<void>;
  /** Closes all connections immediately and returns the number of interrupted requests. */
  stop(): number;
}

/** Interval between checks for requests that are still running. */
const drainPollMs = 50;

/** Waits until no request is running or the limit has passed. */
export async function waitUntilIdle(
  clock: Clock,
  activeCount: () => number,
  limitMs: number,
): Promise<void> {
  const deadline = clock.now() + limitMs;
  while (activeCount() > 0 && clock.now() < deadline)
    await sleep(clock, drainPollMs, noCancellation);
}

export function logInterrupted(log: Logger, cut: number): void {
  if (cut > 0) log.warn({ cut }, 'drain timed out; interrupting running requests');
}
