/** Estimate of the time that a request needs, corrected by finished requests. */
import { type EngineState } from '../ports/engine.js';

/** Size of one request for the estimate. */
export interface RequestSize {
  readonly team: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Most tokens that the request asks for. */
  readonly outputTokens: number;
}

/** Durations of one request on an engine that computes nothing else. */
export interface CostEstimate {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Measured counts and durations of a finished request. */
export interface FinishedRequest extends RequestSize {
  /** Time of the prefill without the share that other requests caused. */
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Estimates what a request costs; learns from finished requests. */
export interface CostModel {
  estimate(state: EngineState, size: RequestSize): CostEstimate;
  /** Expected output length; requests often end far below the length that they allow. */
  expectedOutput(team: string, model: string, allowedTokens: number): number;
  /** Learns from a finished request; `outputTokens` is the real output length. */
  observe(state: EngineState, request: FinishedRequest): void;
}

/** Weight of a new observation in the moving averages. */
const smoothing = 0.1;

/** Bounds one observation, so that a stalled request does not spoil the estimate. */
const maxCorrection = 20;

/** Shorter durations say more about the connection than about the engine. */
const minMeasuredMs = 5;

/** Pairs of team and model whose output length is kept; the least recently used is dropped. */
const maxLengths = 2_048;

interface MeanLength {
  count: number;
  mean: number;
}

export function createCostModel(): CostModel {
  const lengths = new Map<string, MeanLength>();
  let prefillFactor = 1;
  let decodeFactor = 1;

  const keyOf = (team: string, model: string): string => JSON.stringify([team, model]);

  const idleTimes = (
    state: EngineState,
    size: Pick<RequestSize, 'promptTokens' | 'cachedTokens' | 'outputTokens'>,
  ): CostEstimate => {
    const uncached = Math.max(0, size.promptTokens - size.cachedTokens);
    return {
      prefillMs: (uncached / state.prefillTokensPerSecond) * 1_000,
      decodeMs: (size.outputTokens / state.decodeTokensPerSecond) * 1_000,
    };
  };

  /** Moves a factor towards the measured ratio; independent of how many requests are running. */
  const corrected = (factor: number, idleMs: number, actualMs: number): number => {
    if (idleMs < minMeasuredMs || actualMs <= 0) return factor;
    const ratio = Math.min(maxCorrection, Math.max(1 / maxCorrection, actualMs / idleMs));
    return factor + smoothing * (ratio - factor);
  };

  const observeLength = (team: string, model: string, tokens: number): void => {
    const key = keyOf(team, model);
    const length = lengths.get(key) ?? { count: 0, mean: 0 };
    length.count += 1;
    length.mean += (tokens - length.mean) * Math.max(smoothing, 1 / length.count);
    lengths.delete(key);
    lengths.set(key, length);
    if (lengths.size <= maxLengths) return;
    for (const oldest of lengths.keys()) {
      lengths.delete(oldest);
      return;
    }
  };

  const expectedOutput = (team: string, model: string, allowedTokens: number): number =>
    Math.min(allowedTokens, lengths.get(keyOf(team, model))?.mean ?? allowedTokens);

  return {
    estimate(state, size) {
      const outputTokens = expectedOutput(size.team, size.model, size.outputTokens);
      const idle = idleTimes(state, { ...size, outputTokens });
      return {
        prefillMs: idle.prefillMs * prefillFactor,
        decodeMs: idle.decodeMs * decodeFactor,
      };
    },
    expectedOutput,
    observe(state, request) {
      const idle = idleTimes(state, request);
      prefillFactor = corrected(prefillFactor, idle.prefillMs, request.prefillMs);
      decodeFactor = corrected(decodeFactor, idle.decodeMs, request.decodeMs);
      observeLength(request.team, request.model, request.outputTokens);
    },
  };
}
