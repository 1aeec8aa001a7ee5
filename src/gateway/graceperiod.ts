import { type CallKind } from '../ports/site.js';
import { outputTimeMs } from './deferral.js';

/** A request that could be sent while the process stops. */
export interface StoppingRequest {
  readonly kind: CallKind;
  /** Time until the caller's deadline or the route's timeout, in milliseconds. */
  readonly remainingMs: number;
  readonly objectiveMs: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  readonly outputTokens: number;
  readonly crowdedTokenMs: number;
}

/** Time that is allowed for a plain call, as a multiple of its objective; few take longer. */
const callObjectives = 8;

/**
 * Decides whether a request is still sent by a process that ends after `graceMs`. It answers planned
 * stops under load: a request that is cut at the end may have run, and its caller can't repeat it,
 * while one that was not sent can be served by another gateway.
 */
export function fitsGrace(request: StoppingRequest, graceMs: number): boolean {
  const { kind, remainingMs, objectiveMs, expectedMs } = request;
  const usualMs =
    kind === 'stream' ? expectedMs + outputTimeMs(request) : objectiveMs * callObjectives;
  return Math.min(remainingMs, usualMs) <= graceMs;
}
