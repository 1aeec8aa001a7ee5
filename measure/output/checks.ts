import { type LoadOutcome, type RequestOutcome } from '../load/generator.js';
import { type SiteRecords } from '../site/site.js';
import { type Violations } from './results.js';
import { expectedText } from './summary.js';

/** Time after which a leaving target must not receive new work. */
const leavingGraceMs = 3_000;

/** Request id without the attempt number that the agent appends. */
export function requestIdOf(runId: string): string {
  return runId.split('/')[0] ?? runId;
}

function countDuplicates(ids: readonly string[]): number {
  return ids.length - new Set(ids).size;
}

function isTruncated({ response, request }: RequestOutcome): boolean {
  if (!response || !response.endedCleanly || response.errorWork !== undefined) return false;
  return !response.done || response.tokens < request.outputTokens;
}

function isMisordered({ response, request }: RequestOutcome): boolean {
  return response !== undefined && !expectedText(request).startsWith(response.text);
}

/** Counts violations of the guarantees, from the stand-ins' records and the received responses. */
export function countViolations(load: LoadOutcome, records: SiteRecords): Violations {
  const started = new Set(records.engineRuns.map(({ id }) => requestIdOf(id)));
  const attempts = records.engineRuns.map(({ id }) => id);
  const repeatedCalls = [...records.serviceRuns.values()].filter((runs) => runs > 1).length;
  const falseNotRunRequests = load.requests.filter(
    ({ request, work }) => work === 'not-run' && started.has(request.id),
  );
  const falseNotRunCalls = load.calls.filter(
    ({ call, work }) => work === 'not-run' && records.serviceRuns.has(call.key),
  );
  const startedAfterLeaving = records.engineRuns.filter(({ engine, startedAt }) => {
    const leavingSince = records.leavingSince.get(engine);
    return leavingSince !== undefined && startedAt > leavingSince + leavingGraceMs;
  });
  return {
    doubleRuns: repeatedCalls + countDuplicates(attempts),
    falseNotRun: falseNotRunRequests.length + falseNotRunCalls.length,
    truncatedStreams: load.requests.filter(isTruncated).length,
    misordered: load.requests.filter(isMisordered).length,
    crossTeam: records.engineRuns.filter(({ foreignBlocks }) => foreignBlocks > 0).length,
    workAfterLeaving: startedAfterLeaving.length,
  };
}
