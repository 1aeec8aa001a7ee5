import { type RunPolicy } from '../ports/wire.js';

/** What the plan knows of one engine. */
export interface PlannedEngine {
  readonly id: string;
  /** Version by the engine's newest word; undefined when it never said one. */
  readonly version: number | undefined;
  /** Requests of all entries there. */
  readonly runs: number;
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
  | { readonly kind: 'order'; readonly id: string; readonly runs: RunPolicy }
  | { readonly kind: 'check'; readonly id: string };

/**
 * Engines for each load at once. More loads slow each other down: from 2 of 6 engines and from 9 of
 * 34, as the operators' sheets say; and the rest of the engines carry all requests meanwhile.
 */
const enginesPerLoad = 3.7;

/**
 * Time into a load from which the next engine drains, so that no load slot stands idle; loads take
 * 760 ms, most runs under 400 ms.
 */
const drainAheadMs = 350;

/**
 * Longest drain with few and with many runs on each engine. Streams that are cut short by a change
 * are late, but an engine that drains leaves its load to the others, which then are late with more.
 */
const longDrainMs = 1_000;

const shortDrainMs = 300;

/** Runs on each engine up to which there is room for the long drain, and from which there is none. */
const calmRuns = 7;

const busyRuns = 14;

/** Runs that may still be going when the order is given without waiting for them. */
const fewRuns = 0;

/** Time into a load before its end is asked for. */
const checkAfterMs = 600;

/** Time between two questions; the answers lag by some hundred milliseconds anyway. */
const checkIntervalMs = 80;

/** Longest drain for a load of the engines, in runs on each of them. */
export function maxDrainMs(runsPerEngine: number): number {
  const share = (busyRuns - runsPerEngine) / (busyRuns - calmRuns);
  return shortDrainMs + (longDrainMs - shortDrainMs) * Math.min(1, Math.max(0, share));
}

/** Decides what to do next for one model; an engine appears in at most one action. */
export function planWeights(
  engines: readonly PlannedEngine[],
  wanted: number,
): readonly PlanAction[] {
  const actions: PlanAction[] = [];
  let up = 0;
  let allRuns = 0;
  for (const { isDown, runs } of engines) {
    if (isDown) continue;
    up += 1;
    allRuns += runs;
  }
  const drainMs = maxDrainMs(allRuns / Math.max(1, up));
  const maxLoads = Math.max(1, Math.round(up / enginesPerLoad));
  let loading = 0;
  let draining = 0;
  let nearlyDone = 0;
  for (const { step } of engines) {
    if (step.kind === 'draining') draining += 1;
    if (step.kind !== 'loading') continue;
    loading += 1;
    if (step.sinceMs >= drainAheadMs) nearlyDone += 1;
  }
  for (const { id, step, runs } of engines) {
    if (step.kind === 'loading') {
      const isDue = step.sinceMs >= checkAfterMs && step.sinceCheckMs >= checkIntervalMs;
      if (isDue) actions.push({ kind: 'check', id });
    }
    if (step.kind !== 'draining' || loading >= maxLoads) continue;
    const isEmpty = runs <= fewRuns;
    if (!isEmpty && step.sinceMs < drainMs) continue;
    loading += 1;
    draining -= 1;
    actions.push({ kind: 'order', id, runs: isEmpty ? 'finish' : 'keep' });
  }
  const waiting = engines
    .filter(
      ({ step, isDown, version }) =>
        step.kind === 'serving' && !isDown && version !== undefined && version < wanted,
    )
    .sort((a, b) => a.runs - b.runs);
  const free = Math.max(0, maxLoads - loading) + nearlyDone - draining;
  for (const { id } of waiting.slice(0, Math.max(0, free))) actions.push({ kind: 'drain', id });
  return actions;
}
