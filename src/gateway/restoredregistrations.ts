import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type TargetRegistration } from '../ports/site.js';
import { type StoreEras } from '../storeera/eras.js';

/**
 * Ends of targets that the store may have forgotten. When it comes back from an older copy, registrations
 * that were removed or replaced are listed again until they expire, and their targets may still accept
 * connections. What this process acknowledged is not taken back for them: a replaced incarnation never
 * returns, and a removed one returns when it writes its row again or outlasts the expiry.
 */
export interface RestoredRegistrations {
  /** Records that an incarnation is no longer listed; a replaced one has certainly ended. */
  recordEnd(registration: TargetRegistration, isReplaced: boolean): void;
  /** Records that an incarnation is listed. */
  recordListed(registration: TargetRegistration): void;
  /**
   * Holds back a row of an incarnation that had ended before the restore; returns false when the row
   * is to be applied. `applyLater` is called when the row of a removed target is still there after the
   * time in which the registration of a silent target expires.
   */
  holdBack(registration: TargetRegistration, version: number, applyLater: () => void): boolean;
  /** Records that the row of a target is gone. */
  recordRemovedRow(id: string): void;
  /** Records that no other targets have a row. */
  recordListedIds(ids: ReadonlySet<string>): void;
}

export interface RestoredRegistrationsOptions {
  readonly clock: Clock;
  readonly eras: Pick<StoreEras, 'current'>;
  /** Interval at which targets renew their registrations. */
  readonly checkInMs: number;
}

/** A registration expires after three intervals without a check-in; one more covers delays. */
const expiryIntervals = 4;

/** Incarnations whose end is remembered; the oldest one is forgotten. */
const maxEnds = 1_000;

interface End {
  /** Era of the store in which the end was observed. */
  readonly era: number;
  readonly isReplaced: boolean;
}

interface HeldRow extends Disposable {
  readonly version: number;
}

const incarnationOf = ({ id, service, address, startedAt }: TargetRegistration): string =>
  JSON.stringify([id, service, address.host, address.port, startedAt]);

export function createRestoredRegistrations(
  options: RestoredRegistrationsOptions,
): RestoredRegistrations {
  const { clock, eras, checkInMs } = options;
  const ends = new Map<string, End>();
  const heldRows = new Map<string, HeldRow>();

  const release = (id: string): void => {
    heldRows.get(id)?.dispose();
    heldRows.delete(id);
  };

  return {
    recordEnd(registration, isReplaced) {
      // A store without eras lists no row again.
      if (eras.current === 0) return;
      const incarnation = incarnationOf(registration);
      ends.delete(incarnation);
      ends.set(incarnation, { era: eras.current, isReplaced });
      const [oldest] = ends.keys();
      if (ends.size > maxEnds && oldest !== undefined) ends.delete(oldest);
    },
    recordListed(registration) {
      ends.delete(incarnationOf(registration));
      release(registration.id);
    },
    holdBack(registration, version, applyLater) {
      const { id } = registration;
      const end = ends.get(incarnationOf(registration));
      if (!end || end.era === eras.current) return false;
      if (end.isReplaced) return true;
      const held = heldRows.get(id);
      if (held) return held.version === version;
      const timer = clock.setTimer(expiryIntervals * checkInMs, () => {
        ends.delete(incarnationOf(registration));
        applyLater();
      });
      heldRows.set(id, { version, dispose: () => timer.dispose() });
      return true;
    },
    recordRemovedRow: release,
    recordListedIds(ids) {
      for (const id of [...heldRows.keys()]) if (!ids.has(id)) release(id);
    },
  };
}
