import { type RateLimit } from '../ports/site.js';
import { type CallerHead } from '../ports/wire.js';

/** Tolerance of the sum over all gateways. */
export interface RateTolerance {
  /** Window over which the sum is bounded, in milliseconds. */
  readonly windowMs: number;
  /** Allowed use above a limit, as a fraction of it. */
  readonly overage: number;
  /** Tokens that are allowed in addition; limits of requests get none. */
  readonly slack: number;
}

/** Bounds of one limit, in units of the limit. */
export interface RateBounds {
  readonly ratePerS: number;
  /** Balance of the fleet's bucket after a time without use. */
  readonly capacity: number;
  /** Largest debt into which one request may bring the bucket. */
  readonly maxDebt: number;
  /** Largest sum over one window. */
  readonly windowAllowance: number;
  /** Share of `windowAllowance` above the refill of one window. */
  readonly unrefilled: number;
}

/**
 * Fraction of the tolerance that extends the burst, so that a team near its limit is not rejected
 * for the lumps of its own traffic.
 */
const burstFraction = 0.15;

/**
 * Fraction of the tolerance into which one large request may bring the bucket. The rest covers
 * requests that several gateways admit before their hints arrive.
 */
const debtFraction = 0.4;

/**
 * Part of the burst that is not used when the tolerance does not cover what several gateways admit
 * before their hints arrive. With 0.75 one of five plays of 32 gateways at 7 times the limit exceeded
 * the sum by 0.3%.
 */
const unsharedFraction = 0.9;

/** Derives the bounds of a limit from the tolerance of the sum. */
export function boundsOf(limit: RateLimit, tolerance: RateTolerance): RateBounds {
  const { ratePerS, burst, unit } = limit;
  const { windowMs, overage, slack } = tolerance;
  const nominal = (ratePerS * windowMs) / 1_000 + burst;
  const margin = nominal * overage + (unit === 'tokens' ? slack : 0);
  const unused = Math.max(0, burst * unsharedFraction - margin);
  return {
    ratePerS,
    capacity: burst - unused + margin * burstFraction,
    maxDebt: margin * debtFraction,
    windowAllowance: nominal + margin,
    unrefilled: burst + margin,
  };
}

/** Cost of a request in units of the limit. Token counts of 0 count as absent. */
export function costOf(
  limit: RateLimit,
  { promptTokens, maxOutputTokens }: Pick<CallerHead, 'promptTokens' | 'maxOutputTokens'>,
): number {
  if (limit.unit === 'requests') return 1;
  return promptTokens + maxOutputTokens || limit.uncachedTokens;
}
