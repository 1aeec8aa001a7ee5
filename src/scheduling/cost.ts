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

/**
 * Output length that is assumed before one was observed. It is short on purpose: an estimate that
 * is too long gets requests refused, and then nothing would be observed that corrects it.
 */
const assumedTokens = 64;

/** An output length that was not observed for this long is no longer held against a request. */
const lengthValidMs = 10_000;

/** Time constant with which a correction fades while nothing is observed, for the same reason. */
const correctionFadeMs = 5_000;

interface MeanLength {
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
  const lengths = new Map<string, MeanLength>();
  const prefill: Correction = { factor: 1, observedAt: clock.now() };
  const decode: Correction = { factor: 1, observedAt: clock.now() };

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

  const currentFactor = ({ factor, observedAt }: Correction): number =>
    1 + (factor - 1) * Math.exp((observedAt - clock.now()) / correctionFadeMs);

  /** Moves a factor towards the measured ratio; independent of how many requests are running. */
  const correct = (correction: Correction, idleMs: number, actualMs: number): void => {
    if (idleMs < minMeasuredMs || actualMs <= 0) return;
    const ratio = Math.min(maxCorrection, Math.max(1 / maxCorrection, actualMs / idleMs));
    const factor = currentFactor(correction);
    correction.factor = factor + smoothing * (ratio - factor);
    correction.observedAt = clock.now();
  };

  const observeLength = (team: string, model: string, tokens: number): void => {
    const key = keyOf(team, model);
    const length = lengths.get(key) ?? { count: 0, mean: 0, observedAt: 0 };
    length.count += 1;
    length.mean += (tokens - length.mean) * Math.max(smoothing, 1 / length.count);
    length.observedAt = clock.now();
    lengths.delete(key);
    lengths.set(key, length);
    if (lengths.size <= maxLengths) return;
    for (const oldest of lengths.keys()) {
      lengths.delete(oldest);
      return;
    }
  };

  const expectedOutput = (team: string, model: string, allowedTokens: number): number => {
    const length = lengths.get(keyOf(team, model));
    if (!length) return Math.min(allowedTokens, assumedTokens);
    const isValid = clock.now() - length.observedAt <= lengthValidMs;
    return Math.min(allowedTokens, isValid ? length.mean : Math.min(length.mean, assumedTokens));
  };

  return {
    estimate(state, size) {
      const outputTokens = expectedOutput(size.team, size.model, size.outputTokens);
      const idle = idleTimes(state, { ...size, outputTokens });
      return {
        prefillMs: idle.prefillMs * currentFactor(prefill),
        decodeMs: idle.decodeMs * currentFactor(decode),
      };
    },
    expectedOutput,
    observe(state, request) {
      const idle = idleTimes(state, request);
      correct(prefill, idle.prefillMs, request.prefillMs);
      correct(decode, idle.decodeMs, request.decodeMs);
      observeLength(request.team, request.model, request.outputTokens);
    },
  };
}
