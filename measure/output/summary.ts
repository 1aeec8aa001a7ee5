import { monitorEventLoopDelay } from 'node:perf_hooks';
import { build, type Histogram } from 'hdr-histogram-js';
import { createCompletion } from '../../test/standins/engine/completion.js';
import { type RequestOutcome } from '../load/generator.js';
import { type LoadPart, promptTextOf, type ScheduledRequest } from '../load/workload.js';
import { parameters } from '../parameters.js';
import { type PartResult, type Percentiles } from './results.js';

const microsPerMs = 1_000;

/** Creates a histogram of durations in milliseconds. */
export function createDurationHistogram() {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000 * microsPerMs,
    numberOfSignificantValueDigits: 3,
  });
  const percentileMs = (percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / (microsPerMs / 10)) / 10;
  return {
    add: (ms: number): void => histogram.recordValue(Math.max(0, Math.round(ms * microsPerMs))),
    get count() {
      return histogram.totalCount;
    },
    percentiles: (): Percentiles => ({
      p50: percentileMs(50),
      p95: percentileMs(95),
      p99: percentileMs(99),
    }),
  };
}

/** Histogram returned by {@link createDurationHistogram}. */
export type DurationHistogram = ReturnType<typeof createDurationHistogram>;

/** Complete text that the engines generate for a request. */
export function expectedText(request: ScheduledRequest): string {
  return createCompletion(promptTextOf(request)).text(0, request.outputTokens);
}

const nanosPerMs = 1e6;

const delayResolutionMs = 5;

/**
 * Monitors the event loop of this process. The returned function stops the monitor and returns the
 * p99 of the delay in milliseconds.
 */
export function monitorEventLoop(): () => number {
  const histogram = monitorEventLoopDelay({ resolution: delayResolutionMs });
  histogram.enable();
  return () => {
    histogram.disable();
    // Each sample includes the interval of the monitor's timer.
    const delayMs = histogram.percentile(99) / nanosPerMs - delayResolutionMs;
    return Math.max(0, Math.round(delayMs * 10) / 10);
  };
}

/** True when the response arrived completely, with the expected words in order. */
export function isWhole({ response, request }: RequestOutcome): boolean {
  return response?.done === true && response.text === expectedText(request);
}

/** True when the response arrived completely and within both time limits. */
export function isWholeOnTime(outcome: RequestOutcome): boolean {
  const { response, request, totalMs } = outcome;
  if (!isWhole(outcome) || response?.firstTokenMs === undefined) return false;
  const { firstTokenMs } = parameters.deadlines;
  return response.firstTokenMs <= firstTokenMs && totalMs <= request.deadlineMs;
}

/** Time to first token of a request minus the expected prefill time of its uncached tokens. */
function waitMs({ response, request }: RequestOutcome): number | undefined {
  if (response?.firstTokenMs === undefined || !response.done) return undefined;
  const computed = request.promptTokens - response.cachedTokens;
  return response.firstTokenMs - (computed / parameters.engines.prefillTokensPerSecond) * 1_000;
}

/** Latency percentiles of a set of requests. */
export function summariseLatency(outcomes: readonly RequestOutcome[]) {
  const ttft = createDurationHistogram();
  const shortWait = createDurationHistogram();
  const interToken = createDurationHistogram();
  for (const outcome of outcomes) {
    const { response, request } = outcome;
    if (response?.firstTokenMs !== undefined) ttft.add(response.firstTokenMs);
    for (const gap of response?.gapsMs ?? []) interToken.add(gap);
    const wait = waitMs(outcome);
    if (!request.isLong && wait !== undefined) shortWait.add(wait);
  }
  const gaps = interToken.percentiles();
  const waits = shortWait.percentiles();
  return {
    ttftMs: ttft.percentiles(),
    interTokenMs: { p50: gaps.p50, p95: gaps.p95 },
    shortWaitMs: { p50: waits.p50, p99: waits.p99 },
  };
}

/** Ratio rounded to four decimals; 0 when `whole` is 0. */
export function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : Math.round((part / whole) * 10_000) / 10_000;
}

/** Fraction of the scheduled requests whose response arrived completely and on time. */
export function onTimeRatio(outcomes: readonly RequestOutcome[]): number {
  return ratio(outcomes.filter(isWholeOnTime).length, outcomes.length);
}

/** Results of each part of a run. */
export function summariseParts(
  parts: readonly LoadPart[],
  outcomes: readonly RequestOutcome[],
): readonly PartResult[] {
  return parts.map(({ label, load }, index) => {
    const partOutcomes = outcomes.filter(({ request }) => request.part === index);
    const { ttftMs, shortWaitMs } = summariseLatency(partOutcomes);
    const servedWholeOnTime = onTimeRatio(partOutcomes);
    return { label, load, requests: partOutcomes.length, servedWholeOnTime, ttftMs, shortWaitMs };
  });
}
