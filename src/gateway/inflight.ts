/** Requests of one or more gateways that a target has not finished. */
export interface InFlightLoad {
  readonly requests: number;
  /**
   * Prompt tokens to prefill of the requests that have no first event yet, by the priority of the
   * request; index 0 is the most urgent, and missing items count as 0.
   */
  readonly prefillTokens: readonly number[];
}

/** Least urgent priority that engines distinguish. */
export const lowestPriority = 9;

/** Priority of requests without one. */
export const defaultPriority = 5;

export const noneInFlight: InFlightLoad = { requests: 0, prefillTokens: [] };

/**
 * Returns the prompt tokens that an engine prefills before those of a new request: it admits more
 * urgent requests first, and those of one priority in the order in which they came.
 */
export function tokensAhead({ prefillTokens }: InFlightLoad, priority: number): number {
  let total = 0;
  for (const [index, tokens] of prefillTokens.entries()) {
    if (index > priority) break;
    total += tokens;
  }
  return total;
}

export function addLoads(a: InFlightLoad, b: InFlightLoad): InFlightLoad {
  if (a.requests === 0) return b;
  if (b.requests === 0) return a;
  const [longer, shorter] =
    a.prefillTokens.length >= b.prefillTokens.length
      ? [a.prefillTokens, b.prefillTokens]
      : [b.prefillTokens, a.prefillTokens];
  return {
    requests: a.requests + b.requests,
    prefillTokens: longer.map((tokens, index) => tokens + (shorter[index] ?? 0)),
  };
}
