/** Estimate of the time that a request needs, corrected by finished requests. */
import { type Clock } from '../base/clock.js';
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
  expectedOutputTokens(team: string, model: string, allowedTokens: number): number;
  /** Learns from a finished request; `outputTokens` is the real output length. */
  observe(state: EngineState, request: FinishedRequest): void;
}

/** Weight of a new observation in the moving averages. */
const smoothing = 0.1;

/** Bounds one observation, so that a stalled request does not spoil the estimate. */
const maxCorrectionFactor = 20;

/** Shorter durations say more about the connection than about the engine. */
const minComparableMs = 5;

/** Pairs of team and model whose output length is kept; the least recently used is dropped. */
const maxMeanLengths = 2_048;

/**
 * Output length that is assumed before one was observed. It is short on purpose: an estimate that
 * is too long gets requests refused, and then nothing would be observed that corrects it.
 */
const defaultOutputTokens = 64;

/** An output length that was not observed for this long is no longer held against a request. */
const lengthValidityMs = 10_000;

/** Time constant with which a correction fades while nothing is observed, for the same reason. */
const correctionDecayMs = 5_000;

interface MeanOutputLength {
  count: number;
  mean: number;
  observedAt: number;
}

/** Ratio of real to nominal duration. */
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

  /** Moves a factor towards the measured ratio; independent of how many requests are running. */
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
