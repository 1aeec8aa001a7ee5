/** Reservations behind the offers of an agent. */
import { randomUUID } from 'node:crypto';
import { type Clock } from '../base/clock.js';
import { type QueuedJob } from './job.js';

/** Work promised to entries by offers that were not yet taken up. */
export interface Reservations {
  /**
   * Jobs to count before a new one. Their cost is scaled by the share of recent offers that were
   * taken up, as an entry asks several agents and takes one.
   */
  readonly promised: readonly QueuedJob[];
  reserve(job: QueuedJob): string;
  /** Ends a reservation because its job enters the queue; returns false for an expired one. */
  use(reservationId: string): boolean;
}

/** Time after which an unused reservation ends by itself. */
export const reservationMs = 250;

/** Weight of one used or expired offer in the learned share. */
const smoothing = 0.02;

/** Entries ask at most four agents, so a lower share comes from offers that were all declined. */
const minTakeUp = 0.25;

/** Bounds the time of one forecast; the offers beyond it were given at the same moment. */
const maxReservations = 256;

interface Reservation {
  readonly job: QueuedJob;
  readonly expires: number;
}

export function createReservations(clock: Clock): Reservations {
  const pending = new Map<string, Reservation>();
  let takeUp = 1;

  const end = (id: string, used: boolean): void => {
    pending.delete(id);
    takeUp += smoothing * ((used ? 1 : 0) - takeUp);
  };

  const dropExpired = (): void => {
    const now = clock.now();
    for (const [id, { expires }] of pending) {
      if (expires > now && pending.size <= maxReservations) return;
      end(id, false);
    }
  };

  return {
    get promised() {
      dropExpired();
      const share = Math.max(minTakeUp, takeUp);
      return [...pending.values()].map(({ job }) => ({
        ...job,
        costMs: job.costMs * share,
        prefillMs: (job.prefillMs ?? 0) * share,
      }));
    },
    reserve(job) {
      const id = randomUUID();
      pending.set(id, { job, expires: clock.now() + reservationMs });
      dropExpired();
      return id;
    },
    use(reservationId) {
      dropExpired();
      const known = pending.has(reservationId);
      if (known) end(reservationId, true);
      return known;
    },
  };
}
