import { type TargetRun, type TargetStandin } from '../standins/platform/target.js';
import { isPromptRoute, type ObservedResponse } from './caller.js';

/** Violation of an invariant; `promise` names the invariant. */
export interface Violation {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

const atMostOnceRoutes: ReadonlySet<string> = new Set(['order', 'reply', 'patientreply']);

const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const completeStream = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');

/** Time after a disconnect from which no run may start; as documented for operators. */
const disconnectGraceMs = 500;

/** Counts the runs that do not continue from a copy of an earlier one (no `kv-from` header). */
function freshRuns(runs: readonly TargetRun[]): number {
  return runs.filter(({ headers }) => headers['kv-from'] === undefined).length;
}

/**
 * Checks the records of callers and targets: responses are complete and come from a target,
 * non-idempotent calls run at most once, refused requests do not run, streams contain each event
 * once and in order, and no run starts for a caller that has disconnected. `maxEventLoopDelayMs` is
 * the largest delay of the event loop of this process; it is added to the disconnect limit.
 */
export function findViolations(
  responses: readonly ObservedResponse[],
  targets: readonly TargetStandin[],
  maxEventLoopDelayMs: number,
): readonly Violation[] {
  const runsOf = new Map<string, TargetRun[]>();
  for (const { runs } of targets) {
    for (const run of runs) {
      runsOf.set(run.requestId, [...(runsOf.get(run.requestId) ?? []), run]);
    }
  }
  const sentIds = new Set(responses.map(({ requestId }) => requestId));
  const found: Violation[] = [];
  const report = (promise: string, requestId: string, detail: string): void => {
    found.push({ promise, requestId, detail });
  };
  for (const {
    requestId,
    route,
    status,
    body,
    isSigned,
    isComplete,
    disconnectedAt,
  } of responses) {
    const runs = runsOf.get(requestId) ?? [];
    const isStream = isPromptRoute(route);
    const isAtMostOnce = atMostOnceRoutes.has(route);
    if (isAtMostOnce && freshRuns(runs) > 1)
      report('runs at most once', requestId, `${runs.length} runs`);
    if (refusalStatuses.has(status) && runs.length > 0) {
      report(
        'refused requests do not run',
        requestId,
        `status ${status} after ${runs.length} runs`,
      );
    }
    for (const run of runs) {
      const sinceDisconnectMs = run.startedAt - (disconnectedAt ?? Infinity);
      if (sinceDisconnectMs > disconnectGraceMs + maxEventLoopDelayMs) {
        report(
          'no run for disconnected callers',
          requestId,
          `${Math.round(sinceDisconnectMs)} ms later`,
        );
      }
      const expectedBody = route === 'look' ? '' : `body of ${requestId}`;
      if (run.body !== expectedBody)
        report('request body is forwarded unchanged', requestId, run.body);
    }
    if (status !== 200) continue;
    if (!isSigned) report('response is signed by a target', requestId, body.slice(0, 40));
    if (isStream && isComplete && body !== completeStream)
      report('stream is complete', requestId, body);
    if (isStream && !completeStream.startsWith(body))
      report('events are in order', requestId, body);
    if (!isStream && isComplete && !/^answer of ([\w-]+)(\|\1)*$/.test(body))
      report('response is complete', requestId, `${body.length} bytes, ${body.slice(0, 40)}`);
  }
  for (const requestId of runsOf.keys()) {
    if (!sentIds.has(requestId)) report('only requests of callers run', requestId, 'unknown id');
  }
  return found;
}

/** Checks the orders that the engines accepted. */
export function findOrderViolations(targets: readonly TargetStandin[]): readonly Violation[] {
  const found: Violation[] = [];
  const holders = new Map<number, string>();
  for (const { id, orders } of targets) {
    let highestFence = 0;
    for (const { fence, holder } of orders) {
      const knownHolder = holders.get(Number(fence));
      const hasOtherHolder = knownHolder !== undefined && knownHolder !== holder;
      if (hasOtherHolder)
        found.push({
          promise: 'one holder per fencing number',
          requestId: id,
          detail: `fence ${fence}`,
        });
      if (Number(fence) < highestFence) {
        found.push({
          promise: 'fencing numbers do not decrease',
          requestId: id,
          detail: `fence ${fence}`,
        });
      }
      highestFence = Math.max(highestFence, Number(fence));
      holders.set(Number(fence), String(holder));
    }
  }
  return found;
}
