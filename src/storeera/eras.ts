import { type Clock } from '../base/clock.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { maxEra } from './version.js';

/**
 * Eras of the platform's store. A new one begins when the store comes back from an older copy of
 * itself: rows that were written after the copy are gone, and version numbers are given out again.
 */
export interface StoreEras {
  /** Newest era that a response named; 0 while none has named one. */
  readonly current: number;
  /** Time since this process first knew of the newest era, in milliseconds; Infinity in era 0. */
  ageMs(): number;
  /** Calls the listener when the store has come back from an older copy. */
  onDidChange(listener: () => void): Disposable;
}

/** Eras of one store, for the client that reads its responses. */
export interface EraTracker extends StoreEras {
  /**
   * Records the era that a response names, if any. Returns that era, or undefined when the response has
   * to be discarded: it is of an earlier era and arrived late, or what it names is no era.
   */
  observe(named: string | undefined): number | undefined;
}

/** Eras of a store that never comes back from an older copy. */
export const singleEra: StoreEras = {
  current: 0,
  ageMs: () => Infinity,
  onDidChange: () => toDisposable(() => undefined),
};

/** Reads an era; a store that names none is in era 0. */
function parseEra(named: string | undefined): number | undefined {
  if (named === undefined) return 0;
  const era = /^\d+$/.test(named) ? Number(named) : Infinity;
  return era <= maxEra ? era : undefined;
}

export function createEraTracker({ clock, log }: { clock: Clock; log: Logger }): EraTracker {
  const listeners = new Set<() => void>();
  let current: number | undefined;
  let beganAt = -Infinity;
  /** Discarded responses since the last sound one; only the first of them is logged. */
  let discarded = 0;

  const begin = (era: number): void => {
    const previousEra = current;
    current = era;
    if (era > 0) beganAt = clock.now();
    if (previousEra === undefined) return;
    log.warn({ era, previousEra }, 'store came back from an older copy; its tables are read again');
    for (const listener of [...listeners]) listener();
  };

  return {
    get current() {
      return current ?? 0;
    },
    ageMs: () => clock.now() - beganAt,
    observe(named) {
      const era = parseEra(named);
      if (era === undefined || era < (current ?? 0)) {
        if (discarded === 0)
          log.warn(
            { named, era: current },
            'discarding responses of the store that name no era or an earlier one',
          );
        discarded += 1;
        return undefined;
      }
      discarded = 0;
      if (era !== current) begin(era);
      return era;
    },
    onDidChange(listener) {
      listeners.add(listener);
      return toDisposable(() => listeners.delete(listener));
    },
  };
}
