import { type EngineState } from '../ports/engine.js';

/** Size of one request for the estimate. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** Estimated durations of one request on an idle engine. */
export interface CostEstimate {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Estimates what a request costs; learns from finished requests. */
export interface CostModel {
  estimate(state: EngineState, size: RequestSize): CostEstimate;
  /** Records the observed durations of a finished request. */
  observe(expected: CostEstimate, actual: CostEstimate): void;
}

/** Weight of a new observation in the moving average. */
const smoothing = 0.1;

const maxCorrection = 20;

export function createCostModel(): CostModel {
  let prefillFactor = 1;
  let decodeFactor = 1;

  const update = (factor: number, expected: number, actual: number): number => {
    if (expected <= 0 || actual <= 0) return factor;
    const ratio = Math.min(maxCorrection, Math.max(1 / maxCorrection, actual / expected));
    return factor * (1 - smoothing + smoothing * ratio);
  };

  return {
    estimate(state, size) {
      const uncached = Math.max(0, size.promptTokens - size.cachedTokens);
      const prefillMs = (uncached / state.prefillTokensPerSecond) * 1_000 * prefillFactor;
      const decodeMs = (size.outputTokens / state.decodeTokensPerSecond) * 1_000 * decodeFactor;
      return { prefillMs, decodeMs };
    },
    observe(expected, actual) {
      prefillFactor = update(prefillFactor, expected.prefillMs, actual.prefillMs);
      decodeFactor = update(decodeFactor, expected.decodeMs, actual.decodeMs);
    },
  };
}
