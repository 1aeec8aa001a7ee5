import { type Clock } from '../base/clock.js';

/** Agents in normal service, and one on probation whose next probe is due. */
export interface HealthSelection<T> {
  readonly serving: readonly T[];
  readonly probe: T | undefined;
}

/**
 * Finds slow targets from the timings of this entry's own requests. Only timings relative to
 * the other targets count, so a slowdown of all of them at once takes none out.
 */
export interface TargetHealth {
  /** Records the time to a first token beside what the agent's offer expected. */
  observeFirstToken(target: string, expectedMs: number, actualMs: number): void;
  /** Records a first token that is late already; the ratio so far is a lower bound. */
  observeLate(target: string, expectedMs: number, waitedMs: number): void;
  /** Records the time between two pieces of text, per token. */
  observeGap(target: string, msPerToken: number): void;
  /** Factor of at least 1 for what the target's agent expects. */
  factor(target: string): number;
  /** Separates targets on probation, the slowest first: at most a third of the `total`. */
  select<T>(
    candidates: readonly T[],
    targetOf: (candidate: T) => string,
    total?: number,
  ): HealthSelection<T>;
}

/**
 * Weight of a new first-token ratio in the moving geometric mean, which starts at 1: two ratios
 * of 5 reach the probation limit, and one of 20 among normal ones does not.
 */
const ratioSmoothing = 0.4;

/** Weight of a new gap. Gaps are frequent and vary with the batch, so each one weighs less. */
const gapSmoothing = 0.15;

/** Age at which a median is recomputed; sorting on every piece of text would cost too much. */
const medianAgeMs = 100;

/** Delays below this are dominated by scheduling noise and do not make a ratio large. */
const noiseMs = 25;

/** Samples before a mean is used. */
const minRatios = 2;

const minGaps = 6;

/** Slowness relative to the median from which the expectation is multiplied. */
const slowFrom = 1.5;

/** Slowness from which the target goes on probation. */
const probationFrom = 2.5;

/** Slow timings in a row that probation needs, so that a single pause takes no target out. */
const minSlowRatios = 2;

const minSlowGaps = 4;

/** Slowness of a probe that counts as recovered. */
const recoveredBelow = 1.5;

/** Good probes in a row that end probation. */
const probesToRecover = 2;

/** Time between probes of one target on probation; doubled until one is good. */
const minProbeIntervalMs = 1_000;

const maxProbeIntervalMs = 8_000;

/** Without new timings a target is taken as healthy again after this time. */
const forgetAfterMs = 30_000;

const maxRatio = 20;

/** Gaps below this come from pieces that arrived together. */
const minGapMs = 0.5;

interface TargetState {
  ratio: number;
  ratios: number;
  gap: number;
  gaps: number;
  /** Slow first tokens and slow gaps in a row. */
  slowRatios: number;
  slowGaps: number;
  updatedAt: number;
  onProbation: boolean;
  goodProbes: number;
  probedAt: number;
  probeIntervalMs: number;
}

/** Moving geometric mean; single outliers weigh less than in the arithmetic one. */
function blend(mean: number, value: number, weight: number): number {
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
    if (!state || clock.now() - state.updatedAt > forgetAfterMs) {
      state = {
        ratio: 1,
        ratios: 0,
        gap: 0,
        gaps: 0,
        slowRatios: 0,
        slowGaps: 0,
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
    state.ratios >= minRatios ? state.ratio : undefined;

  const readGap = (state: TargetState): number | undefined =>
    state.gaps >= minGaps ? state.gap : undefined;

  /** Lower median over all targets that have enough samples, recomputed now and then. */
  const createMedian = (read: (state: TargetState) => number | undefined) => {
    let value: number | undefined;
    let computedAt = -Infinity;
    return (): number | undefined => {
      if (value !== undefined && clock.now() - computedAt < medianAgeMs) return value;
      const values: number[] = [];
      for (const state of states.values()) {
        if (clock.now() - state.updatedAt > forgetAfterMs) continue;
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

  /** Ratio relative to the other targets; offers of all of them may be off in the same way. */
  const relativeRatio = (ratio: number): number => ratio / Math.max(1, medianRatio() ?? 1);

  const slowness = (state: TargetState): number => {
    const ratio = readRatio(state);
    const gap = readGap(state);
    const otherGap = medianGap();
    const byRatio = ratio === undefined ? 1 : relativeRatio(ratio);
    const byGap = gap === undefined || !otherGap ? 1 : gap / otherGap;
    return Math.max(1, byRatio, byGap);
  };

  const judge = (state: TargetState): void => {
    if (state.onProbation) return;
    if (state.slowRatios < minSlowRatios && state.slowGaps < minSlowGaps) return;
    if (slowness(state) < probationFrom) return;
    state.onProbation = true;
    state.goodProbes = 0;
    state.probedAt = clock.now();
  };

  const judgeProbe = (target: string, state: TargetState, ratio: number): void => {
    const gap = readGap(state);
    const byGap = gap === undefined ? 1 : gap / (medianGap() ?? gap);
    if (Math.max(relativeRatio(ratio), byGap) >= recoveredBelow) {
      state.goodProbes = 0;
      return;
    }
    state.goodProbes += 1;
    state.probeIntervalMs = minProbeIntervalMs;
    if (state.goodProbes >= probesToRecover) states.delete(target);
  };

  const ratioOf = (expectedMs: number, actualMs: number): number =>
    Math.min(maxRatio, (actualMs + noiseMs) / (expectedMs + noiseMs));

  const addRatio = (state: TargetState, ratio: number): void => {
    state.slowRatios = relativeRatio(ratio) >= slowFrom ? state.slowRatios + 1 : 0;
    state.ratio = blend(state.ratio, ratio, ratioSmoothing);
    state.ratios += 1;
    state.updatedAt = clock.now();
  };

  return {
    observeFirstToken(target, expectedMs, actualMs) {
      if (expectedMs <= 0) return;
      const state = stateOf(target);
      const ratio = ratioOf(expectedMs, actualMs);
      addRatio(state, ratio);
      if (state.onProbation) judgeProbe(target, state, ratio);
      else judge(state);
    },
    observeLate(target, expectedMs, waitedMs) {
      if (expectedMs <= 0) return;
      const state = stateOf(target);
      const ratio = ratioOf(expectedMs, waitedMs);
      if (ratio <= state.ratio) return;
      addRatio(state, ratio);
      if (state.onProbation) state.goodProbes = 0;
      else judge(state);
    },
    observeGap(target, msPerToken) {
      const state = stateOf(target);
      const gap = Math.max(minGapMs, msPerToken);
      const usualGap = medianGap() ?? gap;
      state.slowGaps = gap >= usualGap * slowFrom ? state.slowGaps + 1 : 0;
      state.gap = state.gaps === 0 ? gap : blend(state.gap, gap, gapSmoothing);
      state.gaps += 1;
      state.updatedAt = clock.now();
      judge(state);
    },
    factor(target) {
      const state = states.get(target);
      if (!state || clock.now() - state.updatedAt > forgetAfterMs) return 1;
      const slow = slowness(state);
      return slow < slowFrom ? 1 : slow;
    },
    select(candidates, targetOf, total = candidates.length) {
      const slow: { readonly candidate: (typeof candidates)[number]; readonly score: number }[] =
        [];
      for (const candidate of candidates) {
        const target = targetOf(candidate);
        const state = states.get(target);
        if (!state?.onProbation) continue;
        if (clock.now() - state.updatedAt > forgetAfterMs) states.delete(target);
        else slow.push({ candidate, score: slowness(state) });
      }
      if (slow.length === 0) return { serving: candidates, probe: undefined };
      slow.sort((a, b) => b.score - a.score);
      const out = new Set(slow.slice(0, Math.floor(total / 3)).map(({ candidate }) => candidate));
      const serving = candidates.filter((candidate) => !out.has(candidate));
      for (const candidate of out) {
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
