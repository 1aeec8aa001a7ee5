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
  /**
   * Reports not ready, waits for the load balancer, lets running requests finish, then closes. The
   * signal was handled `handledMs` ago.
   */
  drain(handledMs?: number): Promise<void>;
  /** Closes all connections immediately and returns the number of interrupted requests. */
  stop(): number;
}

/** Interval between checks of a condition. */
const drainPollMs = 50;

/** Polls until the condition holds or no time remains. */
export async function waitUntil(
  clock: Clock,
  condition: () => boolean,
  remainingMs: () => number,
): Promise<void> {
  for (;;) {
    const leftMs = remainingMs();
    if (condition() || leftMs <= 0) return;
    await sleep(clock, Math.min(drainPollMs, leftMs), noCancellation);
  }
}

/** Waits until no request is running or the limit has passed. */
export async function waitUntilIdle(
  clock: Clock,
  activeCount: () => number,
  limitMs: number,
): Promise<void> {
  const deadline = clock.now() + limitMs;
  await waitUntil(
    clock,
    () => activeCount() === 0,
    () => deadline - clock.now(),
  );
}

export function logInterrupted(log: Logger, cut: number): void {
  if (cut > 0) log.warn({ cut }, 'drain timed out; interrupting running requests');
}
