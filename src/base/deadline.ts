import { type Clock } from './clock.js';

/** Time that is left for an operation, measured on this process's monotonic clock. */
export interface Deadline {
  /** Milliseconds left; 0 once the deadline has passed. */
  remainingMs(): number;
}

export function createDeadline(clock: Clock, durationMs: number): Deadline {
  const end = clock.now() + durationMs;
  return { remainingMs: () => Math.max(0, end - clock.now()) };
}
