import { type Clock } from '../base/clock.js';

/** Candidates that are not excluded, and an excluded one whose next probe is due. */
export interface HealthSelection<T> {
  readonly serving: readonly T[];
  readonly probe: T | undefined;
}

/**
 * Detects slow targets from the timings of this entry's own requests. Only timings relative to the
 * other targets count, so a simultaneous slowdown of all targets puts none of them on probation.
 */
export interface TargetHealth {
  /** Records a time to first token with the time that the agent's offer expected. */
  observeFirstToken(target: string, expectedMs: number, actualMs: number): void;
  /**
   * Records that a first token is overdue. The ratio so far is a lower bound, so it is ignored
   * unless it exceeds the target's mean.
   */
  observeLate(target: string, expectedMs: number, waitedMs: number): void;
  /** Records the time between two chunks of text, per token. */
  observeGap(target: string, msPerToken: number): void;
  /** Returns the factor, at least 1, by which the expectations of the target's agent are scaled. */
  slownessFactor(target: string): number;
  /** Excludes targets on probation, the slowest first and at most a third of `total`. */
  select<T>(
    candidates: readonly T[],
    targetOf: (candidate: T) => string,
    total?: number,
  ): HealthSelection<T>;
}

/**
 * Weight of a new first-token ratio in the moving geometric mean, which starts at 1. Two ratios of
 * 5 put a target on probation; one of 20 among normal ones does not.
 */
const firstTokenSmoothing = 0.4;

/** Weight of a new gap; lower, because gaps are frequent and vary with the batch. */
const gapSmoothing = 0.15;

/** Age at which a median is recomputed; sorting for every chunk of text would cost too much. */
const maxMedianAgeMs = 100;

/**
 * Delays below this are dominated by scheduling noise. It is added to both terms of a ratio, so
 * that short delays do not make the ratio large.
 */
const noiseMs = 25;

/** Samples required before a mean counts in the slowness; `observeLate` uses it without them. */
const minFirstTokenSamples = 2;

const minGapSamples = 6;

/**
 * Slowness relative to the median from which a timing counts as slow and the expectations of the
 * target's agent are multiplied.
 */
const slowThreshold = 1.5;

/** Slowness from which the target goes on probation. */
const probationThreshold = 2.5;

/** Consecutive slow timings required for probation, so that a single pause does not cause it. */
const minConsecutiveSlowFirstTokens = 2;

const minConsecutiveSlowGaps = 4;

/** Slowness below which a probe counts as good. */
const recoveryThreshold = 1.5;

/** Consecutive good probes that end probation. */
const probesToRecover = 2;

/** Interval between probes of one target; doubles with each probe, and is reset by a good one. */
const minProbeIntervalMs = 1_000;

const maxProbeIntervalMs = 8_000;

/** Time without new timings after which a target counts as healthy again. */
const stateExpiryMs = 30_000;

const maxRatio = 20;

/** Lower bound of a gap; smaller ones come from chunks that arrived together. */
const minGapMs = 0.5;

interface TargetState {
  firstTokenRatio: number;
  firstTokenSamples: number;
  gapMs: number;
  gapSamples: number;
  consecutiveSlowFirstTokens: number;
  consecutiveSlowGaps: number;
  updatedAt: number;
  onProbation: boolean;
  goodProbes: number;
  probedAt: number;
  probeIntervalMs: number;
}

/** Moving geometric mean; single outliers weigh less than in the arithmetic one. */
function updateGeometricMean(mean: number, value: number, weight: number): number {
  return mean ** (1 - weight) * value ** weight;
}

function medianOf(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

export function createTargetHealth(clock: Clock): TargetHealth {
  const states = new Map<string, TargetState>();

  const stateOf = (target: string): TargetState => {
    let state = states.get(target);
    if (!state || clock.now() - state.updatedAt > stateExpiryMs) {
      state = {
        firstTokenRatio: 1,
        firstTokenSamples: 0,
        gapMs: 0,
        gapSamples: 0,
        consecutiveSlowFirstTokens: 0,
        consecutiveSlowGaps: 0,
        updatedAt: clock.now(),
        onProbation: false,
        goodProbes: 0,
        probedAt: -Infinity,
        probeIntervalMs: minProbeIntervalMs,
      };
      states.set(target, state);
    }
    return state;
  };

  const readRatio = (state: TargetState): number | undefined =>
    state.firstTokenSamples >= minFirstTokenSamples ? state.firstTokenRatio : undefined;

  const readGap = (state: TargetState): number | undefined =>
    state.gapSamples >= minGapSamples ? state.gapMs : undefined;

  /** Creates a lower median over all targets that have enough samples, cached for a short time. */
  const createMedian = (read: (state: TargetState) => number | undefined) => {
    let value: number | undefined;
    let computedAt = -Infinity;
    return (): number | undefined => {
      if (value !== undefined && clock.now() - computedAt < maxMedianAgeMs) return value;
      const values: number[] = [];
      for (const state of states.values()) {
        if (clock.now() - state.updatedAt > stateExpiryMs) continue;
        const sample = read(state);
        if (sample !== undefined) values.push(sample);
      }
      computedAt = clock.now();
      value = medianOf(values);
      return value;
    };
  };
  const medianRatio = createMedian(readRatio);
  const medianGap = createMedian(readGap);

  /** Ratio relative to the median, because the offers of all targets may have the same bias. */
  const relativeRatio = (ratio: number): number => ratio / Math.max(1, medianRatio() ?? 1);

  const slowness = (state: TargetState): number => {
    const ratio = readRatio(state);
    const gap = readGap(state);
    const medianGapMs = medianGap();
    const byRatio = ratio === undefined ? 1 : relativeRatio(ratio);
    const byGap = gap === undefined || !medianGapMs ? 1 : gap / medianGapMs;
    return Math.max(1, byRatio, byGap);
  };

  const updateProbation = (state: TargetState): void => {
    if (state.onProbation) return;
    if (
      state.consecutiveSlowFirstTokens < minConsecutiveSlowFirstTokens &&
      state.consecutiveSlowGaps < minConsecutiveSlowGaps
    )
      return;
    if (slowness(state) < probationThreshold) return;
    state.onProbation = true;
    state.goodProbes = 0;
    state.probedAt = clock.now();
  };

  const recordProbeResult = (target: string, state: TargetState, ratio: number): void => {
    const gap = readGap(state);
    const byGap = gap === undefined ? 1 : gap / (medianGap() ?? gap);
    if (Math.max(relativeRatio(ratio), byGap) >= recoveryThreshold) {
      state.goodProbes = 0;
      return;
    }
    state.goodProbes += 1;
    state.probeIntervalMs = minProbeIntervalMs;
    if (state.goodProbes >= probesToRecover) states.delete(target);
  };

  const ratioOf = (expectedMs: number, actualMs: number): number =>
    Math.min(maxRatio, (actualMs + noiseMs) / (expectedMs + noiseMs));

  const recordRatio = (state: TargetState, ratio: number): void => {
    state.consecutiveSlowFirstTokens =
      relativeRatio(ratio) >= slowThreshold ? state.consecutiveSlowFirstTokens + 1 : 0;
    state.firstTokenRatio = updateGeometricMean(state.firstTokenRatio, ratio, firstTokenSmoothing);
    state.firstTokenSamples += 1;
    state.updatedAt = clock.now();
  };

  return {
    observeFirstToken(target, expectedMs, actualMs) {
      if (expectedMs <= 0) return;
      const state = stateOf(target);
      const ratio = ratioOf(expectedMs, actualMs);
      recordRatio(state, ratio);
      if (state.onProbation) recordProbeResult(target, state, ratio);
      else updateProbation(state);
    },
    observeLate(target, expectedMs, waitedMs) {
      if (expectedMs <= 0) return;
      const state = stateOf(target);
      const ratio = ratioOf(expectedMs, waitedMs);
      if (ratio <= state.firstTokenRatio) return;
      recordRatio(state, ratio);
      if (state.onProbation) state.goodProbes = 0;
      else updateProbation(state);
    },
    observeGap(target, msPerToken) {
      const state = stateOf(target);
      const gap = Math.max(minGapMs, msPerToken);
      const medianGapMs = medianGap() ?? gap;
      state.consecutiveSlowGaps =
        gap >= medianGapMs * slowThreshold ? state.consecutiveSlowGaps + 1 : 0;
      state.gapMs =
        state.gapSamples === 0 ? gap : updateGeometricMean(state.gapMs, gap, gapSmoothing);
      state.gapSamples += 1;
      state.updatedAt = clock.now();
      updateProbation(state);
    },
    slownessFactor(target) {
      const state = states.get(target);
      if (!state || clock.now() - state.updatedAt > stateExpiryMs) return 1;
      const slow = slowness(state);
      return slow < slowThreshold ? 1 : slow;
    },
    select(candidates, targetOf, total = candidates.length) {
      const slow: { readonly candidate: (typeof candidates)[number]; readonly score: number }[] =
        [];
      for (const candidate of candidates) {
        const target = targetOf(candidate);
        const state = states.get(target);
        if (!state?.onProbation) continue;
        if (clock.now() - state.updatedAt > stateExpiryMs) states.delete(target);
        else slow.push({ candidate, score: slowness(state) });
      }
      if (slow.length === 0) return { serving: candidates, probe: undefined };
      slow.sort((a, b) => b.score - a.score);
      const excluded = new Set(
        slow.slice(0, Math.floor(total / 3)).map(({ candidate }) => candidate),
      );
      const serving = candidates.filter((candidate) => !excluded.has(candidate));
      for (const candidate of excluded) {
        const state = stateOf(targetOf(candidate));
        if (clock.now() - state.probedAt < state.probeIntervalMs) continue;
        state.probedAt = clock.now();
        state.probeIntervalMs = Math.min(maxProbeIntervalMs, state.probeIntervalMs * 2);
        return { serving, probe: candidate };
      }
      return { serving, probe: undefined };
    },
  };
}
