import { setTimeout as delay } from 'node:timers/promises';
import { createLoadGenerator, type LoadGenerator, type RequestOutcome } from './load/generator.js';
import { type ScheduledRequest, teamNames } from './load/workload.js';
import { countViolations } from './output/checks.js';
import { type OverheadResult, type RunResult } from './output/results.js';
import {
  createDurations,
  isWhole,
  share,
  summariseLatency,
  watchEventLoop,
} from './output/summary.js';
import { type RunSpec } from './runner.js';
import { type HostPool } from './site/pool.js';
import { type Site, startSite } from './site/site.js';

/** One number of concurrent streams. */
interface Level {
  readonly streams: number;
  readonly outputTokens: number;
  /** Divides the decode rate, so that the token rate of many streams fits one machine. */
  readonly slowFactor: number;
  readonly durationMs: number;
}

const levels: readonly Level[] = [
  { streams: 1, outputTokens: 3, slowFactor: 1, durationMs: 1_200 },
  { streams: 64, outputTokens: 24, slowFactor: 1, durationMs: 1_300 },
  { streams: 512, outputTokens: 24, slowFactor: 4, durationMs: 2_200 },
];

/** Engines that add almost no time of their own, so that differences show the router's part. */
const fastEngine = {
  places: 1_024,
  prefillTokensPerSecond: 1e8,
  decodeTokensPerSecond: 50,
  decodeSlowdownPerStream: 0,
  tickMs: 1,
} as const;

/** Share of a level over which its streams start one after another. */
const startShare = 0.4;

/** Requests that start in this first share of a level open connections and are not counted. */
const ignoredShare = 0.25;

const warmUpLevel: Level = { streams: 48, outputTokens: 6, slowFactor: 1, durationMs: 700 };

const system = 'Answer in the style of the archive. '.repeat(110);

/** Keeps a number of streams open for the duration; each starts again when it has ended. */
async function runLevel(
  generator: LoadGenerator,
  level: Level,
  prefix: string,
): Promise<readonly RequestOutcome[]> {
  const startedAt = performance.now();
  const sinceStart = (): number => performance.now() - startedAt;
  const outcomes: RequestOutcome[] = [];
  const runStream = async (stream: number): Promise<void> => {
    await delay((stream / level.streams) * level.durationMs * startShare);
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
        long: false,
        deadlineMs: 4_000,
      };
      outcomes.push(await generator.send(scheduled, startedAt));
    }
  };
  await Promise.all(Array.from({ length: level.streams }, (_item, stream) => runStream(stream)));
  return outcomes;
}

function latencies(level: Level, outcomes: readonly RequestOutcome[]) {
  const firstToken = createDurations();
  const interToken = createDurations();
  for (const { reading, request } of outcomes) {
    if (request.atMs < level.durationMs * ignoredShare) continue;
    if (reading?.firstTokenMs === undefined) continue;
    firstToken.add(reading.firstTokenMs);
    for (const gap of reading.gapsMs) interToken.add(gap);
  }
  return { firstToken, interToken };
}

/** Difference with one decimal; a negative one is noise of the two runs. */
function added(through: number, direct: number): number {
  return Math.round((through - direct) * 10) / 10;
}

function compare(
  level: Level,
  direct: readonly RequestOutcome[],
  through: readonly RequestOutcome[],
): OverheadResult {
  const base = latencies(level, direct);
  const routed = latencies(level, through);
  const baseFirst = base.firstToken.percentiles();
  const first = routed.firstToken.percentiles();
  const baseGap = base.interToken.percentiles();
  const gap = routed.interToken.percentiles();
  return {
    streams: level.streams,
    samples: routed.firstToken.count,
    directFirstTokenMs: { p50: baseFirst.p50, p99: baseFirst.p99 },
    addedFirstTokenMs: {
      p50: added(first.p50, baseFirst.p50),
      p99: added(first.p99, baseFirst.p99),
    },
    addedInterTokenMs: { p50: added(gap.p50, baseGap.p50), p99: added(gap.p99, baseGap.p99) },
  };
}

async function setSlowFactor(site: Site, factor: number): Promise<void> {
  await Promise.all(site.engines.map((_url, index) => site.slowEngine(index, factor)));
}

/** Measures what entry and agent add to the latencies of the engines called directly. */
export async function runOverhead(pool: HostPool, spec: RunSpec): Promise<RunResult> {
  const site = await startSite(pool, { ...spec, engine: fastEngine });
  const routed = createLoadGenerator(site.entries);
  const direct = createLoadGenerator(site.engines, ({ id, team }) => ({
    request_id: `${id}/0`,
    cache_salt: `team:${team}`,
    weights_version: 'v1',
  }));
  const readDelay = watchEventLoop();
  const overhead: OverheadResult[] = [];
  const through: RequestOutcome[] = [];
  try {
    await runLevel(direct, warmUpLevel, 'warm-direct');
    await runLevel(routed, warmUpLevel, 'warm-routed');
    for (const level of levels) {
      await setSlowFactor(site, level.slowFactor);
      const directOutcomes = await runLevel(direct, level, 'direct');
      const outcomes = await runLevel(routed, level, 'routed');
      overhead.push(compare(level, directOutcomes, outcomes));
      through.push(...outcomes);
    }
  } finally {
    await Promise.all([routed.close(), direct.close()]);
  }
  const generatorDelayMs = readDelay();
  const records = await site.close();
  return {
    scenario: spec.scenario,
    policy: spec.policy,
    requests: through.length,
    servedWholeOnTime: share(through.filter(isWhole).length, through.length),
    prefixHitRate: 0,
    ...summariseLatency(through),
    recomputedTokens: 0,
    leastRecomputedTokens: 0,
    violations: countViolations({ requests: through, calls: [] }, records),
    daemonCrashes: records.daemonCrashes,
    generatorDelayMs,
    outcomes: {},
    serviceCalls: {},
    overhead,
  };
}
