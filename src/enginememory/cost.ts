/** Memory of an engine as a request finds it. Tokens; durations in milliseconds. */
export interface MemoryView {
  /** Memory of the engine; Infinity when it is not limited. */
  readonly memoryTokens: number;
  /** Tokens that the running requests of all gateways hold there. */
  readonly heldTokens: number;
  /** Tokens that the request adds to them. */
  readonly requestTokens: number;
  /** Fraction of the waiting prompts that the engine admits before this request, from 0 to 1. */
  readonly aheadShare: number;
  readonly prefillTokensPerMs: number;
  /** Usual time from the start of a request to its end. */
  readonly residenceMs: number;
}

/**
 * Fraction of evicted tokens that are prefilled again. On the deployments of docs/design/overview.md,
 * section 2, a fifth of the prefilled tokens had been in an engine's memory before.
 */
const reuseFraction = 0.2;

/** Tokens by which the request exceeds the memory of the engine. */
export function missingTokens({ memoryTokens, heldTokens, requestTokens }: MemoryView): number {
  return memoryTokens === Infinity ? 0 : Math.max(0, heldTokens + requestTokens - memoryTokens);
}

/**
 * Estimates the time until running requests have released the memory that a request misses. A full
 * engine releases all of its memory within the time that requests stay. Requests that wait there for
 * memory delay only those that are not more urgent.
 */
export function memoryWaitMs(view: MemoryView): number {
  const missing = missingTokens(view);
  if (missing === 0) return 0;
  const ownTokens = Math.min(missing, view.requestTokens);
  const waitingTokens = ownTokens + (missing - ownTokens) * view.aheadShare;
  return (waitingTokens / Math.max(1, view.memoryTokens)) * view.residenceMs;
}

/**
 * Estimates what the memory of a request costs other requests, in milliseconds of the engine:
 * preempted tokens are prefilled again, and so are cached parts that are evicted and used later. The
 * fuller the engine is with running requests, the more recently used the evicted parts are.
 */
export function displacementMs(view: MemoryView): number {
  const { memoryTokens, heldTokens, requestTokens, prefillTokensPerMs } = view;
  if (memoryTokens === Infinity || prefillTokensPerMs === Infinity) return 0;
  const fill = Math.min(1, (heldTokens + requestTokens) / Math.max(1, memoryTokens));
  const evictedTokens = requestTokens * fill * reuseFraction;
  return (missingTokens(view) + evictedTokens) / prefillTokensPerMs;
}
