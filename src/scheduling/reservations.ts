/** Reservations behind the offers of an agent. */
import { randomUUID } from 'node:crypto';
import { type Clock } from '../base/clock.js';
import { type QueuedJob } from './job.js';

/** Jobs that were offered to entries and not dispatched yet. */
export interface Reservations {
  /**
   * Reserved jobs that a forecast places ahead of a new one. Their cost is scaled by the rate at
   * which recent offers were accepted, as an entry queries several agents and accepts one offer.
   */
  readonly reservedJobs: readonly QueuedJob[];
  reserve(job: QueuedJob): string;
  /** Removes a reservation because its job enters the queue; returns false for an expired one. */
  use(reservationId: string): boolean;
}

/** Time after which an unused reservation expires. */
export const reservationLifetimeMs = 250;

/** Weight of one used or expired reservation in the acceptance rate. */
const acceptanceSmoothing = 0.02;

/** Entries query at most four agents, so a lower rate comes from offers that were all declined. */
const minAcceptanceRate = 0.25;

/** Bounds the duration of one forecast; the offers beyond it were made at the same moment. */
const maxReservations = 256;

interface Reservation {
  readonly job: QueuedJob;
  readonly expiresAt: number;
}

export function createReservations(clock: Clock): Reservations {
  const pending = new Map<string, Reservation>();
  let acceptanceRate = 1;

  const removeReservation = (id: string, used: boolean): void => {
    pending.delete(id);
    acceptanceRate += acceptanceSmoothing * ((used ? 1 : 0) - acceptanceRate);
  };

  const removeExpired = (): void => {
    const now = clock.now();
    for (const [id, { expiresAt }] of pending) {
      if (expiresAt > now && pending.size <= maxReservations) return;
      removeReservation(id, false);
    }
  };

  return {
    get reservedJobs() {
      removeExpired();
      const scale = Math.max(minAcceptanceRate, acceptanceRate);
      return [...pending.values()].map(({ job }) => ({
        ...job,
        costMs: job.costMs * scale,
        prefillMs: (job.prefillMs ?? 0) * scale,
      }));
    },
    reserve(job) {
      const id = randomUUID();
      pending.set(id, { job, expiresAt: clock.now() + reservationLifetimeMs });
      removeExpired();
      return id;
    },
    use(reservationId) {
      removeExpired();
      const isPending = pending.has(reservationId);
      if (isPending) removeReservation(reservationId, true);
      return isPending;
    },
  };
}
