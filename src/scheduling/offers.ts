import { randomUUID } from 'node:crypto';
import { type Clock } from '../base/clock.js';

/** Work promised to entries by offers that were not yet taken up. */
export interface Reservations {
  /** Sum of the promised work in milliseconds. */
  readonly pendingMs: number;
  reserve(costMs: number): string;
  /** Ends a reservation, when it is used or declined. */
  release(reservationId: string): void;
}

/** Time after which an unused reservation ends by itself. */
export const reservationMs = 250;

export function createReservations(clock: Clock): Reservations {
  const pending = new Map<string, { readonly costMs: number; readonly expires: number }>();

  const dropExpired = (): void => {
    const now = clock.now();
    for (const [id, { expires }] of pending) {
      if (expires > now) return;
      pending.delete(id);
    }
  };

  return {
    get pendingMs() {
      dropExpired();
      let total = 0;
      for (const { costMs } of pending.values()) total += costMs;
      return total;
    },
    reserve(costMs) {
      dropExpired();
      const id = randomUUID();
      pending.set(id, { costMs, expires: clock.now() + reservationMs });
      return id;
    },
    release(reservationId) {
      pending.delete(reservationId);
    },
  };
}
