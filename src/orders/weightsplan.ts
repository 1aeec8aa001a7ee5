import { type InFlightPolicy } from '../ports/wire.js';

/** State of an engine that the plan is based on. */
export interface PlannedEngine {
  readonly id: string;
  /** Version that the engine last reported; undefined when none is known. */
  readonly version: number | undefined;
  /** In-flight requests of all gateways at the engine. */
  readonly inFlightRequests: number;
  readonly isDown: boolean;
  /** Time until its weights are too old to be used, in milliseconds; Infinity for the desired ones. */
  readonly remainingMs: number;
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
 * Engines per concurrent load. Nearly three quarters of the engines go on serving; more loads at once
 * also share the bandwidth of the weights' source, so that each takes longer.
 */
const enginesPerConcurrentLoad = 3.7;

/**
 * Fraction of a load after which the next engine starts to drain, so that no load slot is idle;
 * draining takes about half as long as a load.
 */
const nextDrainFraction = 0.45;

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

/** Fraction of a load after which the engine is polled for completion. */
const firstCheckFraction = 0.8;

/** Interval between polls of one engine, whose reports lag by some hundred milliseconds anyway. */
const checkIntervalMs = 80;

/** Maximum drain time for a number of in-flight requests per engine, between the two limits. */
export function maxDrainMs(requestsPerEngine: number): number {
  const ratio = (highLoadRequests - requestsPerEngine) / (highLoadRequests - lowLoadRequests);
  return highLoadDrainMs + (lowLoadDrainMs - highLoadDrainMs) * Math.min(1, Math.max(0, ratio));
}

/**
 * Number of engines that load at once, for the remaining times of the outdated ones in ascending
 * order. A rollout that began late, because the last holder of the lease was frozen or cut off,
 * updates as many at once as the deadlines require: until then they serve fewer requests, and
 * afterwards they may serve none.
 */
export function maxConcurrentLoads(
  upCount: number,
  remainingTimesMs: readonly number[],
  loadMs: number,
): number {
  let loads = Math.max(1, Math.round(upCount / enginesPerConcurrentLoad));
  for (const [index, remainingMs] of remainingTimesMs.entries()) {
    const rounds = Math.max(1, Math.floor(remainingMs / (loadMs + highLoadDrainMs)));
    loads = Math.max(loads, Math.ceil((index + 1) / rounds));
  }
  return loads;
}

/**
 * Returns the actions that are due for one model; an engine appears in at most one. Engines whose
 * weights expire first come first: where a version is desired before the last one is loaded
 * everywhere, the busiest engine would otherwise keep its old weights through several versions.
 */
export function planWeightsRollout(
  engines: readonly PlannedEngine[],
  desiredVersion: number,
  loadMs: number,
): readonly PlanAction[] {
  const actions: PlanAction[] = [];
  let upCount = 0;
  let totalRequests = 0;
  const remainingTimesMs: number[] = [];
  for (const { isDown, inFlightRequests, remainingMs } of engines) {
    if (isDown) continue;
    upCount += 1;
    totalRequests += inFlightRequests;
    if (remainingMs !== Infinity) remainingTimesMs.push(remainingMs);
  }
  remainingTimesMs.sort((a, b) => a - b);
  const maxLoads = maxConcurrentLoads(upCount, remainingTimesMs, loadMs);
  const loadMaxDrainMs = maxDrainMs(totalRequests / Math.max(1, upCount));
  let loading = 0;
  let draining = 0;
  let nearlyLoaded = 0;
  for (const { step } of engines) {
    if (step.kind === 'draining') draining += 1;
    if (step.kind !== 'loading') continue;
    loading += 1;
    if (step.sinceMs >= loadMs * nextDrainFraction) nearlyLoaded += 1;
  }
  for (const { id, step, inFlightRequests, remainingMs } of engines) {
    if (step.kind === 'loading') {
      const isDue =
        step.sinceMs >= loadMs * firstCheckFraction && step.sinceCheckMs >= checkIntervalMs;
      if (isDue) actions.push({ kind: 'check', id });
    }
    if (step.kind !== 'draining' || loading >= maxLoads) continue;
    const isDrained = inFlightRequests <= maxRequestsWhenDrained;
    const drainMs = Math.min(loadMaxDrainMs, remainingMs - loadMs);
    if (!isDrained && step.sinceMs < drainMs) continue;
    loading += 1;
    draining -= 1;
    actions.push({ kind: 'order', id, inFlightPolicy: isDrained ? 'finish' : 'keep' });
  }
  const outdated: (PlannedEngine & { readonly version: number })[] = [];
  for (const engine of engines) {
    const { step, isDown, version } = engine;
    if (step.kind !== 'serving' || isDown) continue;
    if (version !== undefined && version < desiredVersion) outdated.push({ ...engine, version });
  }
  outdated.sort((a, b) => a.version - b.version || a.inFlightRequests - b.inFlightRequests);
  const newDrains = Math.max(0, maxLoads - loading) + nearlyLoaded - draining;
  for (const { id } of outdated.slice(0, Math.max(0, newDrains)))
    actions.push({ kind: 'drain', id });
  return actions;
}
