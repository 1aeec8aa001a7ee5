import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';

/** What a target has to do until a request's first byte. */
export interface ExpectedWork {
  /** Time that a usual target needs for it without a momentary slowdown, in milliseconds. */
  readonly expectedMs: number;
  /** Requests at the target including this one. */
  readonly concurrency: number;
  /** Weight from 0 to 1: how much of the time is this request's own work; 0 for none. */
  readonly weight: number;
  /** Slowdown that the target reported before the request was sent; undefined when not known. */
  readonly slowness: number | undefined;
}

/** Work of a sent request. Disposing it before the first byte gives no sample. */
export interface TrackedWork extends Disposable {
  /** Records the first byte, or the end of a plain call, with the slowdown that came with it. */
  observeFirstByte(slowness: number | undefined): void;
}

/**
 * Multiple of the expected time after which a missing first byte counts as a sample, so that a target
 * which turned slow is noticed before it responds. It is repeated at each further doubling.
 */
const lateMultiple = 2.5;

/**
 * Fractions of the weight of a request that its samples before the first byte have; the first byte
 * has the rest. Together they weigh as much as one sample, so that one hung request changes nothing.
 */
const lateFractions = [0.5, 0.3, 0.2];

/** Target of a tracked request, and receiver of its samples. */
export interface TrackedTarget {
  /** Learned duration factor at this time. */
  durationFactor(): number;
  /** True once samples of the target are of no more use. */
  isStopped(): boolean;
  observe(work: ExpectedWork, durationMs: number, slowness: number | undefined): void;
}

/** Requests of at least this weight give samples before their first byte. */
const minLateWeight = 0.5;

/** Takes samples of a request that is sent now. */
export function trackWork(clock: Clock, work: ExpectedWork, target: TrackedTarget): TrackedWork {
  const startedAt = clock.now();
  let timer: Disposable | undefined;
  let isOpen = true;
  let lateSamples = 0;
  let restFraction = 1;
  const elapsedMs = (): number => clock.now() - startedAt;

  const watch = (): void => {
    const duration = Math.max(1, target.durationFactor(), work.slowness ?? 1);
    const lateMs = work.expectedMs * duration * lateMultiple * 2 ** lateSamples;
    timer = clock.setTimer(Math.max(1, lateMs - elapsedMs()), () => {
      timer = undefined;
      if (!isOpen || target.isStopped()) return;
      const fraction = lateFractions[lateSamples] ?? 0;
      lateSamples += 1;
      restFraction -= fraction;
      target.observe({ ...work, weight: work.weight * fraction }, elapsedMs(), undefined);
      if (lateSamples < lateFractions.length) watch();
    });
  };
  if (work.weight >= minLateWeight && work.expectedMs > 0) watch();

  return {
    observeFirstByte(slowness) {
      if (!isOpen) return;
      isOpen = false;
      timer?.dispose();
      const weight = work.weight * Math.max(0, restFraction);
      target.observe({ ...work, weight }, elapsedMs(), slowness);
    },
    dispose() {
      isOpen = false;
      timer?.dispose();
    },
  };
}
