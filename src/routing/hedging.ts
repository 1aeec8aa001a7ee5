import { type Clock, withTimeout } from '../base/clock.js';
import { type AgentView } from '../membership/directory.js';
import { type AttemptStep, type RunningAttempt } from './attempt.js';

/** Computes how long a first token may take before a second attempt is worth its cost. */
export interface HedgeTimer {
  /** Records a time to first token; ignored when the expectation is 0, which means unknown. */
  observe(expectedMs: number, actualMs: number): void;
  /** Returns the delay of a hedge, or undefined when the expectation is unknown. */
  delayMs(expectedMs: number): number | undefined;
}

/** Number of the latest ratios of actual to expected time from which the percentile is computed. */
const maxSamples = 256;

/** Ratios required before the percentile is used. */
const minSamples = 20;

/** Ratio used until enough ratios are observed. */
const defaultRatio = 3;

/**
 * Bounds of the percentile. Without the upper bound, a slowdown of a third of the targets by a
 * factor of 5 would raise the p95 to 5 and delay hedges when they are needed most.
 */
const minRatio = 1.5;

const maxRatio = 4;

/** Delays below this are dominated by scheduling noise. */
const noiseMs = 25;

const minDelayMs = 50;

export function createHedgeTimer(): HedgeTimer {
  const ratios: number[] = [];
  let next = 0;
  let p95: number | undefined;

  const boundedP95 = (): number => {
    if (ratios.length < minSamples) return defaultRatio;
    if (p95 === undefined) {
      const sorted = [...ratios].sort((a, b) => a - b);
      p95 = sorted[Math.ceil(sorted.length * 0.95) - 1] as number;
    }
    return Math.min(maxRatio, Math.max(minRatio, p95));
  };

  return {
    observe(expectedMs, actualMs) {
      if (expectedMs <= 0) return;
      ratios[next] = (actualMs + noiseMs) / (expectedMs + noiseMs);
      next = (next + 1) % maxSamples;
      p95 = undefined;
    },
    delayMs(expectedMs) {
      if (expectedMs <= 0) return undefined;
      return Math.max(minDelayMs, (expectedMs + noiseMs) * boundedP95() - noiseMs);
    },
  };
}

/** Returns the agents that can run a hedge: those with a free slot, so overload stops hedging. */
export function findHedgeAgents(
  agents: readonly AgentView[],
  primary: AgentView,
): readonly AgentView[] {
  return agents.filter(({ address, status, inFlightRequests }) => {
    if (!status || address === primary.address) return false;
    return Math.max(status.running, inFlightRequests) < status.places;
  });
}

/** The attempt that continues, with its first step. */
export interface HedgeResult {
  readonly attempt: RunningAttempt;
  readonly step: AttemptStep;
  /** Attempts that failed before the one that continues. */
  readonly failed: readonly { readonly attempt: RunningAttempt; readonly step: AttemptStep }[];
}

export interface HedgeOptions {
  readonly clock: Clock;
  readonly delayMs: number;
  /** Starts the second attempt, unless `isPrimarySettled` returns true by then. */
  readonly startHedge: (isPrimarySettled: () => boolean) => Promise<RunningAttempt | undefined>;
}

/**
 * Waits for the first step of an attempt and starts a second attempt after the delay. The first
 * attempt that does not fail wins; the other is cancelled and its output is discarded.
 */
export async function awaitFirstStep(
  primary: RunningAttempt,
  options: HedgeOptions,
): Promise<HedgeResult> {
  const { clock, delayMs, startHedge } = options;
  let isSettled = false;
  const read = async (attempt: RunningAttempt) => {
    const step = await attempt.next();
    isSettled = true;
    return { attempt, step };
  };
  const primaryResult = read(primary);
  const resultBeforeDelay = await withTimeout(clock, delayMs, primaryResult);
  if (resultBeforeDelay) return { ...resultBeforeDelay, failed: [] };
  const hedge = await startHedge(() => isSettled);
  if (!hedge) return { ...(await primaryResult), failed: [] };
  const hedgeResult = read(hedge);
  const earlier = await Promise.race([primaryResult, hedgeResult]);
  const isPrimary = earlier.attempt === primary;
  if (earlier.step.kind !== 'failed') {
    (isPrimary ? hedge : primary).cancel('another attempt responded first');
    return { ...earlier, failed: [] };
  }
  return { ...(await (isPrimary ? hedgeResult : primaryResult)), failed: [earlier] };
}
