import { setTimeout as delay } from 'node:timers/promises';
import { createLoadGenerator, type LoadGenerator, type RequestOutcome } from './load/generator.js';
import { type ScheduledRequest, teamNames } from './load/workload.js';
import { countViolations } from './output/checks.js';
import { type OverheadResult, type RunResult } from './output/results.js';
import {
  createDurationHistogram,
  isWhole,
  ratio,
  summariseLatency,
  monitorEventLoop,
} from './output/summary.js';
import { type RunSpec } from './runner.js';
import { type HostPool } from './site/pool.js';
import { type Site, startSite } from './site/site.js';

/** Load level: a number of concurrent streams with their length and rate. */
interface Level {
  readonly streams: number;
  readonly outputTokens: number;
  /** Divisor of the decode rate, so that one machine can process the tokens of many streams. */
  readonly slowdownFactor: number;
  readonly durationMs: number;
}

const levels: readonly Level[] = [
  { streams: 1, outputTokens: 3, slowdownFactor: 1, durationMs: 1_200 },
  { streams: 64, outputTokens: 24, slowdownFactor: 1, durationMs: 1_300 },
  { streams: 512, outputTokens: 24, slowdownFactor: 4, durationMs: 2_200 },
];

/** Engines with negligible processing time, so that differences are due to the router. */
const fastEngine = {
  places: 1_024,
  prefillTokensPerSecond: 1e8,
  decodeTokensPerSecond: 50,
  decodeSlowdownPerStream: 0,
  tickMs: 1,
} as const;

/** Fraction of the duration of a level over which the start of its streams is distributed. */
const startFraction = 0.4;

/** Requests in this first fraction of a level open connections and are excluded. */
const ignoredFraction = 0.25;

const warmUpLevel: Level = { streams: 48, outputTokens: 6, slowdownFactor: 1, durationMs: 700 };

const system = 'Answer in the style of the archive. '.repeat(110);

/** Keeps a number of streams open for the duration; a finished stream is replaced by a new one. */
async function runLevel(
  generator: LoadGenerator,
  level: Level,
  prefix: string,
): Promise<readonly RequestOutcome[]> {
  const startedAt = performance.now();
  const sinceStart = (): number => performance.now() - startedAt;
  const outcomes: RequestOutcome[] = [];
  const runStream = async (stream: number): Promise<void> => {
    await delay((stream / level.streams) * level.durationMs * startFraction);
    for (let turn = 0; sinceStart() < level.durationMs; turn += 1) {
      const team = teamNames[stream % teamNames.length] as string;
      const scheduled: ScheduledRequest = {
        id: `${team}.${prefix}-${level.streams}-${stream}-${turn}`,
        team,
        atMs: sinceStart(),
        part: 0,
        system,
        user: `question ${stream}`,
        promptTokens: 0,
        hashes: [],
        outputTokens: level.outputTokens,
        isLong: false,
        deadlineMs: 4_000,
      };
      outcomes.push(await generator.send(scheduled, startedAt));
    }
  };
  await Promise.all(Array.from({ length: level.streams }, (_item, stream) => runStream(stream)));
  return outcomes;
}

function collectLatencies(level: Level, outcomes: readonly RequestOutcome[]) {
  const firstToken = createDurationHistogram();
  const interToken = createDurationHistogram();
  for (const { response, request } of outcomes) {
    if (request.atMs < level.durationMs * ignoredFraction) continue;
    if (response?.firstTokenMs === undefined) continue;
    firstToken.add(response.firstTokenMs);
    for (const gap of response.gapsMs) interToken.add(gap);
  }
  return { firstToken, interToken };
}

/** Difference rounded to one decimal; a negative difference is noise. */
function addedMs(routedMs: number, directMs: number): number {
  return Math.round((routedMs - directMs) * 10) / 10;
}

function compareLatencies(
  level: Level,
  direct: readonly RequestOutcome[],
  routed: readonly RequestOutcome[],
): OverheadResult {
  const directLatencies = collectLatencies(level, direct);
  const routedLatencies = collectLatencies(level, routed);
  const directFirstToken = directLatencies.firstToken.percentiles();
  const routedFirstToken = routedLatencies.firstToken.percentiles();
  const directInterToken = directLatencies.interToken.percentiles();
  const routedInterToken = routedLatencies.interToken.percentiles();
  return {
    streams: level.streams,
    samples: routedLatencies.firstToken.count,
    directFirstTokenMs: { p50: directFirstToken.p50, p99: directFirstToken.p99 },
    addedFirstTokenMs: {
      p50: addedMs(routedFirstToken.p50, directFirstToken.p50),
      p99: addedMs(routedFirstToken.p99, directFirstToken.p99),
    },
    addedInterTokenMs: {
      p50: addedMs(routedInterToken.p50, directInterToken.p50),
      p99: addedMs(routedInterToken.p99, directInterToken.p99),
    },
  };
}

async function setSlowdownFactor(site: Site, factor: number): Promise<void> {
  await Promise.all(site.engines.map((_url, index) => site.slowEngine(index, factor)));
}

/** Measures the latency that entry and agent add to direct calls of the engines. */
export async function runOverhead(pool: HostPool, spec: RunSpec): Promise<RunResult> {
  const site = await startSite(pool, { ...spec, engine: fastEngine });
  const routed = createLoadGenerator(site.entries);
  const direct = createLoadGenerator(site.engines, ({ id, team }) => ({
    request_id: `${id}/0`,
    cache_salt: `team:${team}`,
    weights_version: 'v1',
  }));
  const stopEventLoopMonitor = monitorEventLoop();
  const overhead: OverheadResult[] = [];
  const routedOutcomes: RequestOutcome[] = [];
  try {
    await runLevel(direct, warmUpLevel, 'warm-direct');
    await runLevel(routed, warmUpLevel, 'warm-routed');
    for (const level of levels) {
      await setSlowdownFactor(site, level.slowdownFactor);
      const directOutcomes = await runLevel(direct, level, 'direct');
      const levelOutcomes = await runLevel(routed, level, 'routed');
      overhead.push(compareLatencies(level, directOutcomes, levelOutcomes));
      routedOutcomes.push(...levelOutcomes);
    }
  } finally {
    await Promise.all([routed.close(), direct.close()]);
  }
  const generatorDelayMs = stopEventLoopMonitor();
  const records = await site.close();
  return {
    scenario: spec.scenario,
    policy: spec.policy,
    requests: routedOutcomes.length,
    servedWholeOnTime: ratio(routedOutcomes.filter(isWhole).length, routedOutcomes.length),
    prefixHitRate: 0,
    ...summariseLatency(routedOutcomes),
    recomputedTokens: 0,
    leastRecomputedTokens: 0,
    violations: countViolations({ requests: routedOutcomes, calls: [] }, records),
    daemonCrashes: records.daemonCrashes,
    generatorDelayMs,
    outcomes: {},
    serviceCalls: {},
    overhead,
  };
}
