import { type TargetRun, type TargetStandin } from '../standins/platform/target.js';
import { type SeenAnswer } from './caller.js';

/** One broken promise. */
export interface Violation {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

const onceRoutes: ReadonlySet<string> = new Set(['order']);

const refusals: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const wholeStream = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');

/** Time after a caller's close from which no work may begin for it, as the operators' rules say. */
const leftMs = 500;

/** Runs of a request that were not continued from a copy of an earlier one. */
function freshRuns(runs: readonly TargetRun[]): number {
  return runs.filter(({ headers }) => headers['kv-from'] === undefined).length;
}

/**
 * Checks what callers and targets saw: answers are whole and their own, calls that may not be
 * repeated ran once, refusals did not run, streams have every event once and in order, and nothing
 * begins for callers that have left. `lateMs` is how late this process itself was at most.
 */
export function findViolations(
  answers: readonly SeenAnswer[],
  targets: readonly TargetStandin[],
  lateMs: number,
): readonly Violation[] {
  const runsOf = new Map<string, TargetRun[]>();
  for (const { runs } of targets) {
    for (const run of runs) {
      runsOf.set(run.requestId, [...(runsOf.get(run.requestId) ?? []), run]);
    }
  }
  const sent = new Set(answers.map(({ requestId }) => requestId));
  const found: Violation[] = [];
  const report = (promise: string, requestId: string, detail: string): void => {
    found.push({ promise, requestId, detail });
  };
  for (const { requestId, route, status, body, isSigned, isWhole, leftAt } of answers) {
    const runs = runsOf.get(requestId) ?? [];
    const isStream = route === 'fit' || route === 'reply';
    const isOnce = onceRoutes.has(route) || route === 'reply';
    if (isOnce && freshRuns(runs) > 1) report('runs once', requestId, `${runs.length} runs`);
    if (refusals.has(status) && runs.length > 0) {
      report('refusals are true', requestId, `status ${status} after ${runs.length} runs`);
    }
    for (const run of runs) {
      const sinceLeftMs = run.startedAt - (leftAt ?? Infinity);
      if (sinceLeftMs > leftMs + lateMs) {
        report('no work for callers that left', requestId, `${Math.round(sinceLeftMs)} ms later`);
      }
      const body0 = route === 'look' ? '' : `body of ${requestId}`;
      if (run.body !== body0) report('forwarded unchanged', requestId, run.body);
    }
    if (status !== 200) continue;
    if (!isSigned) report('answers are the targets own', requestId, body.slice(0, 40));
    if (isStream && isWhole && body !== wholeStream) report('streams are whole', requestId, body);
    if (isStream && !wholeStream.startsWith(body)) report('events in order', requestId, body);
    if (!isStream && isWhole && !/^answer of /.test(body)) report('answers whole', requestId, body);
  }
  for (const requestId of runsOf.keys()) {
    if (!sent.has(requestId)) report('only what callers sent runs', requestId, 'unknown id');
  }
  return found;
}

/** Promises about what the engines were ordered to do. */
export function findOrderViolations(targets: readonly TargetStandin[]): readonly Violation[] {
  const found: Violation[] = [];
  const holders = new Map<number, string>();
  for (const { id, orders } of targets) {
    let highest = 0;
    for (const { fence, holder } of orders) {
      const known = holders.get(Number(fence));
      const isTwice = known !== undefined && known !== holder;
      if (isTwice) found.push({ promise: 'one holder', requestId: id, detail: `fence ${fence}` });
      if (Number(fence) < highest) {
        found.push({ promise: 'fencing numbers grow', requestId: id, detail: `fence ${fence}` });
      }
      highest = Math.max(highest, Number(fence));
      holders.set(Number(fence), String(holder));
    }
  }
  return found;
}
