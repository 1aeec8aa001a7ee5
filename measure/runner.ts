import { type EngineRun } from '../test/standins/engine.js';
import { createLoadGenerator, type LoadOutcome } from './load/generator.js';
import { leastRecomputedTokens } from './load/lowerbound.js';
import {
  createWorkload,
  type ScheduledRequest,
  tailTokensOf,
  type Workload,
} from './load/workload.js';
import { countViolations, requestIdOf } from './output/checks.js';
import { type RunResult } from './output/results.js';
import {
  isWhole,
  isWholeOnTime,
  ratio,
  onTimeRatio,
  summariseLatency,
  summariseParts,
  monitorEventLoop,
} from './output/summary.js';
import { parameters } from './parameters.js';
import { type LoadScenarioName, type Scenario, scenarios } from './scenarios.js';
import { type HostPool } from './site/pool.js';
import { type Site, type SiteRecords, startSite } from './site/site.js';

/** Scenario, policy and seed of one run. */
export interface RunSpec {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
}

const toLowerBoundRequest = (request: ScheduledRequest) => ({
  hashes: request.hashes,
  tailTokens: tailTokensOf(request),
});

/** Requests of the workload that an engine started, in order of arrival. */
function startedRequests(workload: Workload, runs: readonly EngineRun[]) {
  const started = new Set(runs.map(({ id }) => requestIdOf(id)));
  return workload.requests.filter(({ id }) => started.has(id));
}

function summariseCache(workload: Workload, runs: readonly EngineRun[]) {
  const measuredIds = new Set<string>();
  for (const { id, part } of workload.requests) if (part >= 0) measuredIds.add(id);
  let prompt = 0;
  let cached = 0;
  let recomputed = 0;
  for (const run of runs) {
    if (!measuredIds.has(requestIdOf(run.id))) continue;
    prompt += run.promptTokens;
    cached += run.cachedTokens;
    recomputed += run.prefilledTokens;
  }
  const started = startedRequests(workload, runs);
  const warmUp = started.filter(({ part }) => part < 0).map(toLowerBoundRequest);
  const measured = started.filter(({ part }) => part >= 0).map(toLowerBoundRequest);
  const { count, cacheBlocks } = parameters.engines;
  return {
    prefixHitRate: ratio(cached, prompt),
    recomputedTokens: recomputed,
    leastRecomputedTokens: leastRecomputedTokens(warmUp, measured, count * cacheBlocks),
  };
}

function countOutcomes({ requests }: LoadOutcome): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const outcome of requests) {
    let name = `status ${outcome.status}`;
    if (outcome.status === 0) name = 'no response';
    else if (isWholeOnTime(outcome)) name = 'on time';
    else if (isWhole(outcome)) name = 'late';
    else if (outcome.response) name = 'broken stream';
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function countCalls({ calls }: LoadOutcome): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { status, work } of calls) {
    const name = status === 200 ? 'served' : work || 'no response';
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Computes the results of a run from the callers' outcomes and the stand-ins' records. */
export function summariseRun(
  spec: RunSpec,
  scenario: Scenario,
  workload: Workload,
  load: LoadOutcome,
  records: SiteRecords,
  generatorDelayMs: number,
): RunResult {
  const requests = load.requests.filter(({ request }) => request.part >= 0);
  const measured = { ...load, requests };
  const unusedTable = scenario.hasTable === true && records.tableCalls === 0;
  return {
    scenario: spec.scenario,
    policy: spec.policy,
    requests: requests.length,
    servedWholeOnTime: onTimeRatio(requests),
    ...summariseCache(workload, records.engineRuns),
    ...summariseLatency(requests),
    violations: countViolations(load, records),
    daemonCrashes: records.daemonCrashes,
    generatorDelayMs,
    outcomes: countOutcomes(measured),
    serviceCalls: countCalls(load),
    ...(scenario.parts.length > 1 && { steps: summariseParts(scenario.parts, requests) }),
    ...(unusedTable && { skipped: ['the entries made no call to the table'] }),
  };
}

/**
 * Schedules the actions of the scenario. The returned function cancels those that have not started
 * and waits for the others.
 */
function scheduleActions(scenario: Scenario, site: Site, warmUpMs: number) {
  const started: Promise<void>[] = [];
  const timers = (scenario.actions ?? []).map(({ atMs, run }) =>
    setTimeout(() => started.push(run(site)), warmUpMs + atMs),
  );
  return async (): Promise<void> => {
    for (const timer of timers) clearTimeout(timer);
    await Promise.all(started);
  };
}

/** Runs one scenario with scheduled load. */
export async function runLoadScenario(pool: HostPool, spec: RunSpec): Promise<RunResult> {
  const scenario: Scenario = scenarios[spec.scenario as LoadScenarioName];
  const workload = createWorkload(scenario, spec.seed);
  if (scenario.needsReplacementHosts) await pool.prepareReplacements();
  const { policy, seed } = spec;
  const { hasProxies = false, hasTable = false } = scenario;
  const site = await startSite(pool, { policy, seed, hasProxies, hasTable });
  const generator = createLoadGenerator(site.entries);
  let finishActions = async (): Promise<void> => undefined;
  const stopEventLoopMonitor = monitorEventLoop();
  try {
    const load = await generator.run(workload, () => {
      finishActions = scheduleActions(scenario, site, workload.warmUpMs);
    });
    const delayMs = stopEventLoopMonitor();
    await finishActions();
    const records = await site.close();
    return summariseRun(spec, scenario, workload, load, records, delayMs);
  } finally {
    await generator.close();
  }
}
