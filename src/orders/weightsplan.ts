import { type InFlightPolicy } from '../ports/wire.js';

/** State of an engine that the plan is based on. */
export interface PlannedEngine {
  readonly id: string;
  /** Version that the engine last reported; undefined when none is known. */
  readonly version: number | undefined;
  /** In-flight requests of all gateways at the engine. */
  readonly inFlightRequests: number;
  readonly isDown: boolean;
  readonly step: EngineStep;
}

/**
 * Progress of an engine's change to new weights. New requests are sent to a `draining` or `loading`
 * engine only when every other candidate changes its weights too or has overdue ones. `loading`
 * means that an order was accepted or, after the reply `conflict`, may be in progress.
 */
export type EngineStep =
  | { readonly kind: 'serving' }
  | { readonly kind: 'draining'; readonly sinceMs: number }
  | { readonly kind: 'loading'; readonly sinceMs: number; readonly sinceCheckMs: number };

/** One action that is due now. */
export type PlanAction =
  | { readonly kind: 'drain'; readonly id: string }
  | { readonly kind: 'order'; readonly id: string; readonly inFlightPolicy: InFlightPolicy }
  | { readonly kind: 'check'; readonly id: string };

/**
 * Engines per concurrent load, which results in 2 concurrent loads at 6 engines and 9 at 34. From
 * these numbers, according to the operators' sheets, concurrent loads slow each other down; the
 * other engines also serve all requests meanwhile.
 */
const enginesPerConcurrentLoad = 3.7;

/**
 * Time into a load after which the next engine starts to drain, so that no load slot is idle; a
 * load takes 760 ms, most requests less than 400 ms.
 */
const nextDrainAfterMs = 350;

/**
 * Maximum drain time at low load. Streams that are interrupted by a change are late, but a draining
 * engine moves its load to the others, which delays more requests.
 */
const lowLoadDrainMs = 1_000;

/** Maximum drain time at high load. */
const highLoadDrainMs = 300;

/** In-flight requests per engine up to which the drain time for low load applies. */
const lowLoadRequests = 7;

/** In-flight requests per engine from which the drain time for high load applies. */
const highLoadRequests = 14;

/** In-flight requests up to which an engine counts as drained. */
const maxRequestsWhenDrained = 0;

/** Time into a load after which the engine is polled for completion. */
const checkAfterMs = 600;

/** Interval between polls of one engine, whose reports lag by some hundred milliseconds anyway. */
const checkIntervalMs = 80;

/** Maximum drain time for a number of in-flight requests per engine, between the two limits. */
export function maxDrainMs(requestsPerEngine: number): number {
  const ratio = (highLoadRequests - requestsPerEngine) / (highLoadRequests - lowLoadRequests);
  return highLoadDrainMs + (lowLoadDrainMs - highLoadDrainMs) * Math.min(1, Math.max(0, ratio));
}

/** Returns the actions that are due for one model; an engine appears in at most one. */
export function planWeightsRollout(
  engines: readonly PlannedEngine[],
  desiredVersion: number,
): readonly PlanAction[] {
  const actions: PlanAction[] = [];
  let upCount = 0;
  let totalRequests = 0;
  for (const { isDown, inFlightRequests } of engines) {
    if (isDown) continue;
    upCount += 1;
    totalRequests += inFlightRequests;
  }
  const drainMs = maxDrainMs(totalRequests / Math.max(1, upCount));
  const maxLoads = Math.max(1, Math.round(upCount / enginesPerConcurrentLoad));
  let loading = 0;
  let draining = 0;
  let nearlyLoaded = 0;
  for (const { step } of engines) {
    if (step.kind === 'draining') draining += 1;
    if (step.kind !== 'loading') continue;
    loading += 1;
    if (step.sinceMs >= nextDrainAfterMs) nearlyLoaded += 1;
  }
  for (const { id, step, inFlightRequests } of engines) {
    if (step.kind === 'loading') {
      const isDue = step.sinceMs >= checkAfterMs && step.sinceCheckMs >= checkIntervalMs;
      if (isDue) actions.push({ kind: 'check', id });
    }
    if (step.kind !== 'draining' || loading >= maxLoads) continue;
    const isDrained = inFlightRequests <= maxRequestsWhenDrained;
    if (!isDrained && step.sinceMs < drainMs) continue;
    loading += 1;
    draining -= 1;
    actions.push({ kind: 'order', id, inFlightPolicy: isDrained ? 'finish' : 'keep' });
  }
  const outdated = engines
    .filter(
      ({ step, isDown, version }) =>
        step.kind === 'serving' && !isDown && version !== undefined && version < desiredVersion,
    )
    .sort((a, b) => a.inFlightRequests - b.inFlightRequests);
  const newDrains = Math.max(0, maxLoads - loading) + nearlyLoaded - draining;
  for (const { id } of outdated.slice(0, Math.max(0, newDrains)))
    actions.push({ kind: 'drain', id });
  return actions;
}
