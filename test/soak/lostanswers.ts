import { type TargetStandin } from '../standins/platform/target.js';
import { type ObservedResponse } from './caller.js';
import { type Impairments } from './impairments.js';
import { type Violation } from './invariants.js';
import { graceMs, type StopSignal } from './process.js';

export interface LostAnswerOptions {
  readonly responses: readonly ObservedResponse[];
  readonly targets: readonly TargetStandin[];
  readonly impairments: Impairments;
  /** Name of the gateway that listens on a port. */
  nameOf(port: number): string;
  stopsOf(name: string): readonly StopSignal[];
  /** Largest delay of the event loop of this process, in milliseconds. */
  readonly maxEventLoopDelayMs: number;
}

/** A request that is sent later than this before the close may cross it. */
const crossingMs = 200;

/** An engine that is at work in the last sixth of the grace may be interrupted. */
const usableGraceMs = (graceMs * 5) / 6;

/** Before its deadline by this, an answer counts as ended by it. */
const deadlineMarginMs = 100;

/**
 * Finds requests that a gateway has read and that end without a complete answer although neither the
 * gateway nor the targets that got them were impaired, also while the gateway stops.
 */
export function findLostAnswers(options: LostAnswerOptions): readonly Violation[] {
  const { responses, targets, impairments, nameOf, stopsOf, maxEventLoopDelayMs } = options;
  const arrivedAt = new Map<string, Set<string>>();
  for (const { id, arrivals } of targets) {
    for (const { requestId } of arrivals) {
      const ids = arrivedAt.get(requestId) ?? new Set();
      arrivedAt.set(requestId, ids.add(id));
    }
  }
  const found: Violation[] = [];
  for (const res of responses) {
    const { requestId, route, sentAt, endedAt, status, isComplete, isConnected } = res;
    if (isComplete || !isConnected || res.disconnectedAt !== undefined) continue;
    if (endedAt - sentAt >= res.deadlineMs - deadlineMarginMs) continue;
    const gateway = nameOf(res.port);
    const ranAt = [...(arrivedAt.get(requestId) ?? [])];
    const isCrossing = endedAt - sentAt <= crossingMs + maxEventLoopDelayMs;
    if (ranAt.length === 0 && isCrossing) continue;
    if ([gateway, ...ranAt].some((name) => impairments.has(name, sentAt, endedAt))) continue;
    const signals = stopsOf(gateway).filter(({ at }) => at <= endedAt);
    const first = signals.findLast(({ isRepeated }) => !isRepeated);
    const sinceStopMs = endedAt - (first?.at ?? -Infinity);
    if (sinceStopMs > usableGraceMs && sinceStopMs < graceMs + 1_000) continue;
    const recent = signals.filter(({ at }) => at >= (first?.at ?? 0));
    const sinceSignals = recent.map(({ at }) => Math.round(endedAt - at)).join(' and ');
    const afterStop = recent.length > 0 ? `${sinceSignals} ms after SIGTERM` : 'no stop';
    found.push({
      promise: 'a request that was read ends with a complete answer',
      requestId,
      detail: `${route} at ${gateway}, status ${status}, ${Math.round(endedAt - sentAt)} ms, ${afterStop}, ran at ${ranAt.join(' ')}`,
    });
  }
  return found;
}
