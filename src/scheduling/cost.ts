/** Estimates the duration of requests; observations of finished requests correct the estimate. */
import { type Clock } from '../base/clock.js';
import { type EngineState } from '../ports/engine.js';

/** Size of a request, as input of the estimate. */
export interface RequestSize {
  readonly team: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Maximum number of output tokens that the request allows. */
  readonly outputTokens: number;
}

/** Durations of one request on an otherwise idle engine. */
export interface CostEstimate {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Measured counts and durations of a finished request. */
export interface FinishedRequest extends RequestSize {
  /** Duration of the prefill without the delay that other requests caused. */
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Estimates the cost of requests and corrects its estimates with finished requests. */
export interface CostModel {
  estimate(state: EngineState, size: RequestSize): CostEstimate;
  /** Expected output length; requests often end far below the length that they allow. */
  expectedOutputTokens(team: string, model: string, allowedTokens: number): number;
  /** Updates the model with a finished request; `outputTokens` is the actual output length. */
  observe(state: EngineState, request: FinishedRequest): void;
}

/**
 * Weight of a new observation in the moving averages. The first 10 output lengths of a team and
 * model are averaged with equal weights.
 */
const smoothing = 0.1;

/** Bounds the ratio of one observation, so that a stalled request does not distort the estimate. */
const maxCorrectionFactor = 20;

/** Shorter estimated durations are not compared: the connection dominates the actual ones. */
const minComparableMs = 5;

/** Pairs of team and model with a stored length; the least recently observed one is evicted. */
const maxMeanLengths = 2_048;

/**
 * Output length that is assumed before one was observed. It is short because an overestimate gets
 * requests refused, and without finished requests nothing would correct it.
 */
const defaultOutputTokens = 64;

/** An observed length older than this can no longer raise an estimate above the default. */
const lengthValidityMs = 10_000;

/**
 * Time constant of the decay of a correction without observations: an overestimate gets requests
 * refused, so that no observation would correct it.
 */
const correctionDecayMs = 5_000;

interface MeanOutputLength {
  count: number;
  mean: number;
  observedAt: number;
}

/** Ratio of the actual to the nominal duration. */
interface Correction {
  factor: number;
  observedAt: number;
}

export function createCostModel(clock: Clock): CostModel {
  const outputLengths = new Map<string, MeanOutputLength>();
  const prefill: Correction = { factor: 1, observedAt: clock.now() };
  const decode: Correction = { factor: 1, observedAt: clock.now() };

  const keyOf = (team: string, model: string): string => JSON.stringify([team, model]);

  const idleEngineEstimate = (
    state: EngineState,
    size: Pick<RequestSize, 'promptTokens' | 'cachedTokens' | 'outputTokens'>,
  ): CostEstimate => {
    const uncached = Math.max(0, size.promptTokens - size.cachedTokens);
    return {
      prefillMs: (uncached / state.prefillTokensPerSecond) * 1_000,
      decodeMs: (size.outputTokens / state.decodeTokensPerSecond) * 1_000,
    };
  };

  const currentFactor = ({ factor, observedAt }: Correction): number =>
    1 + (factor - 1) * Math.exp((observedAt - clock.now()) / correctionDecayMs);

  /** Moves a factor towards the observed ratio; one factor is used for any number of requests. */
  const updateCorrection = (correction: Correction, idleMs: number, actualMs: number): void => {
    if (idleMs < minComparableMs || actualMs <= 0) return;
    const ratio = Math.min(
      maxCorrectionFactor,
      Math.max(1 / maxCorrectionFactor, actualMs / idleMs),
    );
    const factor = currentFactor(correction);
    correction.factor = factor + smoothing * (ratio - factor);
    correction.observedAt = clock.now();
  };

  const observeLength = (team: string, model: string, tokens: number): void => {
    const key = keyOf(team, model);
    const length = outputLengths.get(key) ?? { count: 0, mean: 0, observedAt: 0 };
    length.count += 1;
    length.mean += (tokens - length.mean) * Math.max(smoothing, 1 / length.count);
    length.observedAt = clock.now();
    outputLengths.delete(key);
    outputLengths.set(key, length);
    if (outputLengths.size <= maxMeanLengths) return;
    for (const oldest of outputLengths.keys()) {
      outputLengths.delete(oldest);
      return;
    }
  };

  const expectedOutputTokens = (team: string, model: string, allowedTokens: number): number => {
    const length = outputLengths.get(keyOf(team, model));
    if (!length) return Math.min(allowedTokens, defaultOutputTokens);
    const isValid = clock.now() - length.observedAt <= lengthValidityMs;
    return Math.min(
      allowedTokens,
      isValid ? length.mean : Math.min(length.mean, defaultOutputTokens),
    );
  };

  return {
    estimate(state, size) {
      const outputTokens = expectedOutputTokens(size.team, size.model, size.outputTokens);
      const idle = idleEngineEstimate(state, { ...size, outputTokens });
      return {
        prefillMs: idle.prefillMs * currentFactor(prefill),
        decodeMs: idle.decodeMs * currentFactor(decode),
      };
    },
    expectedOutputTokens,
    observe(state, request) {
      const idle = idleEngineEstimate(state, request);
      updateCorrection(prefill, idle.prefillMs, request.prefillMs);
      updateCorrection(decode, idle.decodeMs, request.decodeMs);
      observeLength(request.team, request.model, request.outputTokens);
    },
  };
}
