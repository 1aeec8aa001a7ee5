import { type SupersededTime } from './desiredweights.js';

/**
 * Use of an engine by the age of its weights: `outdated` ones are avoided, `overdue` ones are a last
 * resort, and with `expired` ones no request may begin.
 */
export type WeightsAge = 'current' | 'outdated' | 'overdue' | 'expired';

export interface WeightsUse {
  /** Undefined when no newer weights are desired. */
  readonly superseded: SupersededTime | undefined;
  /** Time until the engine begins the request, in milliseconds. */
  readonly expectedMs: number;
  /** Time since a call to the store last failed, in milliseconds. */
  readonly sinceStoreFailureMs: number;
}

/** Operator's bounds on outdated weights, in milliseconds. */
export interface WeightsBounds {
  /** Time after which no request may begin on weights that are older than the desired ones. */
  readonly deadlineMs: number;
  /** Time after a failed call to the store in which the deadline does not apply. */
  readonly storeGraceMs: number;
}

/**
 * Reserved before the deadline: the operator measures from the store's reply, a feed delivers the
 * version later, and a crowded engine begins a request later than expected.
 */
export const startMarginMs = 800;

/**
 * Decides whether a request may be sent to an engine with older weights. It matters when a rollout
 * is late because its holder froze or lost the store while the engines are full: requests that would
 * begin after the deadline go to finished engines, or are refused before any engine has them.
 */
export function weightsAge(
  { superseded, expectedMs, sinceStoreFailureMs }: WeightsUse,
  { deadlineMs, storeGraceMs }: WeightsBounds,
): WeightsAge {
  if (!superseded) return 'current';
  const latestMs = deadlineMs - startMarginMs - expectedMs;
  if (superseded.maxMs <= latestMs) return 'outdated';
  // No gateway may give orders without the store, so old weights are better than no response.
  const isStoreSettled = sinceStoreFailureMs > storeGraceMs;
  return superseded.minMs > latestMs && isStoreSettled ? 'expired' : 'overdue';
}
