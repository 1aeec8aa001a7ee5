import { type ServiceSpec } from '../ports/site.js';

/** Speeds of the targets of one service. */
export interface TargetSpeeds {
  /** Time to the first byte without prefill and other requests, in milliseconds. */
  readonly baseMs: number;
  /**
   * Cost of each concurrent request, in milliseconds. Not learned: the first byte shows little of it,
   * and the rest of the response is slowed down too.
   */
  readonly delayPerRequestMs: number;
  /** Prompt tokens that are prefilled in a millisecond; Infinity for plain services. */
  readonly prefillTokensPerMs: number;
  /** Tokens that an engine receives from another one in a millisecond. */
  readonly fetchTokensPerMs: number;
}

/** One first byte, and what the target had to do before it. */
export interface FirstByteSample {
  readonly firstByteMs: number;
  /** Prompt tokens that the target prefilled, without any other prompts before them. */
  readonly prefillTokens: number;
  /** Other requests at the target. */
  readonly inFlightRequests: number;
  /** Processing time relative to normal; 1 is normal. */
  readonly slowness: number;
  /** Duration of work at the target relative to its service; 1, the default, is usual. */
  readonly speedFactor?: number;
}

/** Learns the speeds of each service from its own requests; no operator has to configure them. */
export interface SpeedModel {
  /** Present speeds by service. */
  readonly services: ReadonlyMap<string, TargetSpeeds>;
  /** Applies what the configuration tells of the services. */
  configure(services: readonly ServiceSpec[]): void;
  speedsOf(service: string): TargetSpeeds;
  observe(service: string, sample: FirstByteSample): void;
}

/**
 * Tokens of one prefill chunk, the usual batch size of engines. While an engine has prompts to
 * prefill, each token that it generates waits for one chunk.
 */
const prefillChunkTokens = 2_048;

/** Typical time in which an engine generates one token for each request of its batch. */
export const decodeStepMs = 5;

/** Speeds that are assumed until requests were observed. */
const initialEngineSpeeds: TargetSpeeds = {
  baseMs: 40,
  delayPerRequestMs: 1.6,
  prefillTokensPerMs: 80,
  fetchTokensPerMs: 800,
};

const initialServiceSpeeds: TargetSpeeds = {
  baseMs: 45,
  delayPerRequestMs: 3,
  prefillTokensPerMs: Infinity,
  fetchTokensPerMs: Infinity,
};

/** Bounds of the learned values. */
const baseRangeMs = { min: 5, max: 1_000 };

const prefillTokensPerMsRange = { min: 2, max: 2_000 };

/** Weight of a sample's error in the learned values, for the first sample and for later ones. */
const initialLearningRate = 0.4;

const finalLearningRate = 0.05;

/**
 * Errors count up to this fraction of the expected time: a sample may include a queue that this
 * process has not heard of.
 */
const maxErrorRatio = 0.3;

/** Prompt tokens of a sample with which its error counts equally for base time and prefill speed. */
const typicalPrefillTokens = 3_000;

const bitsPerByte = 8;

/** Time of one prefill chunk, in milliseconds. */
export function prefillChunkMs({ prefillTokensPerMs }: TargetSpeeds): number {
  return prefillChunkTokens / prefillTokensPerMs;
}

/** Time per generated token when an engine also prefills a chunk in every third step. */
export function crowdedTokenMs(speeds: TargetSpeeds): number {
  return decodeStepMs + prefillChunkMs(speeds) / 3;
}

const clamp = (value: number, { min, max }: { readonly min: number; readonly max: number }) =>
  Math.min(max, Math.max(min, value));

/** Moves the speeds towards a sample: least mean squares with bounded errors. */
function learn(speeds: TargetSpeeds, sample: FirstByteSample, learningRate: number): TargetSpeeds {
  const { baseMs, delayPerRequestMs, prefillTokensPerMs } = speeds;
  const isEngine = prefillTokensPerMs !== Infinity;
  const prefillTerm = isEngine ? sample.prefillTokens / typicalPrefillTokens : 0;
  const prefillMs = isEngine ? sample.prefillTokens / prefillTokensPerMs : 0;
  const expectedMs = baseMs + prefillMs + sample.inFlightRequests * delayPerRequestMs;
  const maxErrorMs = expectedMs * maxErrorRatio;
  const duration = Math.max(1, sample.slowness) * (sample.speedFactor ?? 1);
  const errorMs = clamp(sample.firstByteMs / duration - expectedMs, {
    min: -maxErrorMs,
    max: maxErrorMs,
  });
  const stepMs = (learningRate * errorMs) / (1 + prefillTerm ** 2);
  const shortestPromptMs = typicalPrefillTokens / prefillTokensPerMsRange.max;
  const typicalPromptMs = Math.max(
    shortestPromptMs,
    typicalPrefillTokens / prefillTokensPerMs + stepMs * prefillTerm,
  );
  return {
    ...speeds,
    baseMs: clamp(baseMs + stepMs, baseRangeMs),
    prefillTokensPerMs: isEngine
      ? clamp(typicalPrefillTokens / typicalPromptMs, prefillTokensPerMsRange)
      : Infinity,
  };
}

export function createSpeedModel(): SpeedModel {
  const byService = new Map<string, TargetSpeeds>();
  const sampleCounts = new Map<string, number>();

  return {
    services: byService,
    configure(services) {
      for (const { name, engine } of services) {
        const known = byService.get(name);
        if (!engine) {
          if (!known) byService.set(name, initialServiceSpeeds);
          continue;
        }
        const speeds = known ?? initialEngineSpeeds;
        const { linkMbps, bytesPerToken } = engine;
        const isLinkKnown = linkMbps > 0 && bytesPerToken > 0;
        const bytesPerMs = (linkMbps * 1_000) / bitsPerByte;
        byService.set(name, {
          ...speeds,
          fetchTokensPerMs: isLinkKnown ? bytesPerMs / bytesPerToken : speeds.fetchTokensPerMs,
        });
      }
    },
    speedsOf: (service) => byService.get(service) ?? initialServiceSpeeds,
    observe(service, sample) {
      const speeds = byService.get(service);
      if (!speeds) return;
      const count = (sampleCounts.get(service) ?? 0) + 1;
      sampleCounts.set(service, count);
      const learningRate = Math.max(finalLearningRate, initialLearningRate / Math.sqrt(count));
      byService.set(service, learn(speeds, sample, learningRate));
    },
  };
}
