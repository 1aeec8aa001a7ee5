import { type RunPolicy } from '../ports/wire.js';

/** What the plan knows of one engine. */
export interface PlannedEngine {
  readonly id: string;
  /** Version by the engine's newest word; undefined when it never said one. */
  readonly version: number | undefined;
  /** Requests of all entries there. */
  readonly inFlightRequests: number;
  readonly isDown: boolean;
  readonly step: EngineStep;
}

/**
 * Where an engine is on its way to new weights: `draining` gets no new requests, `loading` has
 * accepted the order.
 */
export type EngineStep =
  | { readonly kind: 'serving' }
  | { readonly kind: 'draining'; readonly sinceMs: number }
  | { readonly kind: 'loading'; readonly sinceMs: number; readonly sinceCheckMs: number };

/** One thing to do now. */
export type PlanAction =
  | { readonly kind: 'drain'; readonly id: string }
  | { readonly kind: 'order'; readonly id: string; readonly inFlightPolicy: RunPolicy }
  | { readonly kind: 'check'; readonly id: string };

/**
 * Engines for each load at once. More loads slow each other down: from 2 of 6 engines and from 9 of
 * 34, as the operators' sheets say; and the rest of the engines carry all requests meanwhile.
 */
const enginesPerConcurrentLoad = 3.7;

/**
 * Time into a load from which the next engine drains, so that no load slot stands idle; loads take
 * 760 ms, most runs under 400 ms.
 */
const nextDrainAfterMs = 350;

/**
 * Longest drain with few and with many runs on each engine. Streams that are cut short by a change
 * are late, but an engine that drains leaves its load to the others, which then are late with more.
 */
const lowLoadMaxDrainMs = 1_000;

const highLoadMaxDrainMs = 300;

/** Runs on each engine up to which there is room for the long drain, and from which there is none. */
const lowLoadRequests = 7;

const highLoadRequests = 14;

/** Runs that may still be going when the order is given without waiting for them. */
const maxRequestsWhenDrained = 0;

/** Time into a load before its end is asked for. */
const checkAfterMs = 600;

/** Time between two questions; the answers lag by some hundred milliseconds anyway. */
const checkIntervalMs = 80;

/** Longest drain for a load of the engines, in runs on each of them. */
export function maxDrainMs(requestsPerEngine: number): number {
  const ratio = (highLoadRequests - requestsPerEngine) / (highLoadRequests - lowLoadRequests);
  return (
    highLoadMaxDrainMs + (lowLoadMaxDrainMs - highLoadMaxDrainMs) * Math.min(1, Math.max(0, ratio))
  );
}

/** Decides what to do next for one model; an engine appears in at most one action. */
export function planWeightsRollout(
  engines: readonly PlannedEngine[],
  desiredVersion: number,
): readonly PlanAction[] {
  const actions: PlanAction[] = [];
  let upCount = 0;
  let totalRequests = 0;
  for (const { isDown, inFlightRequests: inFlightRequests } of engines) {
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
  for (const { id, step, inFlightRequests: inFlightRequests } of engines) {
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
