import { type Clock } from './clock.js';

/** Remaining time of an operation, measured on this process's monotonic clock. */
export interface Deadline {
  /** Remaining milliseconds; 0 once the deadline has passed. */
  remainingMs(): number;
}

export function createDeadline(clock: Clock, durationMs: number): Deadline {
  const expiresAt = clock.now() + durationMs;
  return { remainingMs: () => Math.max(0, expiresAt - clock.now()) };
}
