import { type TargetRun, type TargetStandin } from '../standins/platform/target.js';
import { type Impairments } from './impairments.js';
import { type Violation } from './invariants.js';

export interface OverlapOptions {
  readonly targets: readonly TargetStandin[];
  /** Impairments of the links to the targets. */
  readonly cutLinks: Impairments;
  /** Largest delay of the event loop of this process, in milliseconds. */
  readonly maxEventLoopDelayMs: number;
}

/** Pause between the events of a stream whose bytes are spoiled, in milliseconds. */
export const spoiledGapMs = 120;

/** A stand-in learns at its next event that it was told to stop. */
const stopLagMs = 2 * spoiledGapMs;

/**
 * Finds streams that go on at an engine while the one before still works on them, although the gateway
 * reaches it.
 */
export function findOverlaps(options: OverlapOptions): readonly Violation[] {
  const { targets, cutLinks, maxEventLoopDelayMs } = options;
  const firstRuns = new Map<string, { readonly id: string; readonly run: TargetRun }>();
  for (const { id, runs } of targets) {
    for (const run of runs)
      if (run.headers['kv-from'] === undefined) firstRuns.set(run.requestId, { id, run });
  }
  const found: Violation[] = [];
  for (const { id, runs } of targets) {
    for (const { headers, requestId, startedAt } of runs) {
      const before = headers['kv-from'] === undefined ? undefined : firstRuns.get(requestId);
      if (!before) continue;
      const { run, id: idBefore } = before;
      if (cutLinks.has(idBefore, run.startedAt, startedAt)) continue;
      const overlapMs = (run.endedAt ?? Infinity) - startedAt;
      if (overlapMs <= stopLagMs + maxEventLoopDelayMs) continue;
      found.push({
        promise: 'one engine at a time works on a stream that may run once',
        requestId,
        detail: `${idBefore} worked on for ${Math.round(overlapMs)} ms beside ${id}`,
      });
    }
  }
  return found;
}
