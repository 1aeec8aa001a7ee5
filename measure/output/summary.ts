import { monitorEventLoopDelay } from 'node:perf_hooks';
import { build, type Histogram } from 'hdr-histogram-js';
import { createCompletion } from '../../test/standins/engine/completion.js';
import { type RequestOutcome } from '../load/generator.js';
import { type LoadPart, promptTextOf, type ScheduledRequest } from '../load/workload.js';
import { parameters } from '../parameters.js';
import { type PartResult, type Percentiles } from './results.js';

const microsPerMs = 1_000;

/** Collects durations and gives their percentiles. */
export function createDurations() {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000 * microsPerMs,
    numberOfSignificantValueDigits: 3,
  });
  const at = (percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / (microsPerMs / 10)) / 10;
  return {
    add: (ms: number): void => histogram.recordValue(Math.max(0, Math.round(ms * microsPerMs))),
    get count() {
      return histogram.totalCount;
    },
    percentiles: (): Percentiles => ({ p50: at(50), p95: at(95), p99: at(99) }),
  };
}

/** Collector made by {@link createDurations}. */
export type Durations = ReturnType<typeof createDurations>;

/** Text of the whole answer to a request. */
export function expectedText(request: ScheduledRequest): string {
  return createCompletion(promptTextOf(request)).text(0, request.outputTokens);
}

const nanosPerMs = 1e6;

const delayResolutionMs = 5;

/** Watches the event loop of this process; the result stops it and gives the p99 of its delay. */
export function watchEventLoop(): () => number {
  const histogram = monitorEventLoopDelay({ resolution: delayResolutionMs });
  histogram.enable();
  return () => {
    histogram.disable();
    // Each sample includes the wait of the watcher's own timer.
    const delayMs = histogram.percentile(99) / nanosPerMs - delayResolutionMs;
    return Math.max(0, Math.round(delayMs * 10) / 10);
  };
}

/** True when the answer arrived whole, with the right words in their order. */
export function isWhole({ reading, request }: RequestOutcome): boolean {
  return reading?.done === true && reading.text === expectedText(request);
}

/** True when the answer arrived whole and met both time limits. */
export function isWholeOnTime(outcome: RequestOutcome): boolean {
  const { reading, request, totalMs } = outcome;
  if (!isWhole(outcome) || reading?.firstTokenMs === undefined) return false;
  const { firstTokenMs } = parameters.deadlines;
  return reading.firstTokenMs <= firstTokenMs && totalMs <= request.deadlineMs;
}

/** Time to first token of a request, less the prefill that its engine did for it. */
function waitMs({ reading, request }: RequestOutcome): number | undefined {
  if (reading?.firstTokenMs === undefined || !reading.done) return undefined;
  const computed = request.promptTokens - reading.cachedTokens;
  return reading.firstTokenMs - (computed / parameters.engines.prefillTokensPerSecond) * 1_000;
}

/** Latencies of a set of requests. */
export function summariseLatency(outcomes: readonly RequestOutcome[]) {
  const ttft = createDurations();
  const shortWait = createDurations();
  const interToken = createDurations();
  for (const outcome of outcomes) {
    const { reading, request } = outcome;
    if (reading?.firstTokenMs !== undefined) ttft.add(reading.firstTokenMs);
    for (const gap of reading?.gapsMs ?? []) interToken.add(gap);
    const wait = waitMs(outcome);
    if (!request.long && wait !== undefined) shortWait.add(wait);
  }
  const gaps = interToken.percentiles();
  const waits = shortWait.percentiles();
  return {
    ttftMs: ttft.percentiles(),
    interTokenMs: { p50: gaps.p50, p95: gaps.p95 },
    shortWaitMs: { p50: waits.p50, p99: waits.p99 },
  };
}

/** Share with four decimals; 0 of nothing. */
export function share(part: number, whole: number): number {
  return whole === 0 ? 0 : Math.round((part / whole) * 10_000) / 10_000;
}

/** Share of the scheduled requests that were answered whole and on time. */
export function shareOnTime(outcomes: readonly RequestOutcome[]): number {
  return share(outcomes.filter(isWholeOnTime).length, outcomes.length);
}

/** Figures of each part of a run. */
export function summariseParts(
  parts: readonly LoadPart[],
  outcomes: readonly RequestOutcome[],
): readonly PartResult[] {
  return parts.map(({ label, load }, index) => {
    const own = outcomes.filter(({ request }) => request.part === index);
    const { ttftMs, shortWaitMs } = summariseLatency(own);
    const servedWholeOnTime = shareOnTime(own);
    return { label, load, requests: own.length, servedWholeOnTime, ttftMs, shortWaitMs };
  });
}
