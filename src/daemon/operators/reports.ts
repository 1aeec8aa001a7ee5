import { noCancellation } from '../../base/cancellation.js';
import { withTimeout } from '../../base/clock.js';
import { refusal } from '../../base/refusals.js';
import { measureCoverage } from '../../configuration/peers.js';
import { type AgentView } from '../../membership/directory.js';
import { readJson } from '../callers/body.js';
import { describeMissingRole, hasRole, requireRole } from './access.js';
import {
  type OperatorApiOptions,
  type OperatorContext,
  type OperatorOperation,
  requireStore,
  type SettledOutcome,
  type UnknownCalls,
} from './context.js';
import { sendJson } from './server.js';

/** Maximum number of items in one response of the audit trail or of unknown calls. */
const pageSize = 500;

/** Period of the audit trail that is listed when the request sets no `since`. */
const defaultAuditPeriodMs = 24 * 3_600_000;

/** Time limit for the other entries to report their revision. */
const revisionRequestTimeoutMs = 1_500;

async function showOutcome(ctx: OperatorContext): Promise<void> {
  const [submissionId = ''] = ctx.params;
  const found = await requireStore(ctx).outcome(submissionId, ctx.token);
  if (found) {
    sendJson(ctx.res, 200, found);
    return;
  }
  const detail =
    `no outcome of submission "${submissionId}" is recorded; submit it again with the same ` +
    'submission id, it takes effect at most once';
  throw refusal('unknownRecord', detail);
}

async function listAudit(ctx: OperatorContext): Promise<void> {
  const { api, url, res, token } = ctx;
  const sinceParam = url.searchParams.get('since');
  const sinceMs =
    sinceParam === null ? api.clock.wallTime() - defaultAuditPeriodMs : Date.parse(sinceParam);
  if (Number.isNaN(sinceMs)) {
    throw refusal('invalidRequest', 'since must be a time such as 2026-01-31T00:00:00Z');
  }
  const since = new Date(sinceMs).toISOString();
  const entries = await requireStore(ctx).audit.list(since, pageSize, token);
  sendJson(res, 200, { since, entries, more: entries.length === pageSize });
}

function targetStateOf({ status, usable }: AgentView): string {
  if (usable) return 'serving';
  if (!status) return 'silent';
  if (status.leaving) return 'leaving';
  return status.targetDown ? 'target-down' : 'silent';
}

/** Lists the rollouts with their loading targets; undefined if the state can't be read. */
async function listRollouts({ orders }: OperatorApiOptions) {
  const state = await orders?.readState();
  if (!state) return undefined;
  const rollouts = Object.values(state.rollouts).map(({ name, version, phase, message }) => {
    const slots = state.slots.filter(({ rollout }) => rollout === name);
    return { name, version, phase, message, loading: slots.map(({ target }) => target) };
  });
  return rollouts.sort((a, b) => a.name.localeCompare(b.name));
}

async function showStatus({ api, res }: OperatorContext): Promise<void> {
  const { clock, configuration, directory } = api;
  const { replica, updater } = configuration;
  const [rollouts] = await Promise.all([
    listRollouts(api),
    withTimeout(clock, revisionRequestTimeoutMs, updater.pullFromEntries()),
  ]);
  const targets = directory.all().map((view) => ({
    target: view.status?.target ?? '',
    kind: view.status?.kind ?? '',
    instance: view.status?.instance ?? '',
    address: view.address,
    dataCentre: view.status?.dataCentre ?? '',
    state: targetStateOf(view),
    models: view.status?.models ?? [],
    weightsVersion: view.status?.weightsVersion ?? '',
    running: view.status?.running ?? 0,
    places: view.status?.places ?? 0,
    queueMs: view.status?.queueMs ?? 0,
  }));
  targets.sort((a, b) => a.target.localeCompare(b.target));
  const coverage = measureCoverage(replica.revision, configuration.nodes());
  sendJson(res, 200, { ready: replica.ready, configuration: coverage, targets, rollouts });
}

function requireUnknownCalls({ api }: OperatorContext): UnknownCalls {
  if (api.unknownCalls) return api.unknownCalls;
  throw refusal('unknownRoute', 'this entry does not list calls with an unknown outcome');
}

async function listUnknownCalls(ctx: OperatorContext): Promise<void> {
  const calls = await requireUnknownCalls(ctx).listUnknown(pageSize, ctx.token);
  sendJson(ctx.res, 200, { calls, more: calls.length === pageSize });
}

function isSettledOutcome(value: unknown): value is SettledOutcome {
  return value === 'completed' || value === 'not-run';
}

async function settleCall(ctx: OperatorContext): Promise<void> {
  const { api, operator, req, res } = ctx;
  const [id = ''] = ctx.params;
  const unknownCalls = requireUnknownCalls(ctx);
  const limits = { maxBytes: 4_096, timeoutMs: 10_000 };
  const { outcome: settledOutcome } = await readJson(req, limits, api.clock);
  if (!isSettledOutcome(settledOutcome)) {
    throw refusal('invalidRequest', 'outcome must be "completed" or "not-run"');
  }
  const appendAudit = async (state: 'accepted' | 'refused', reason: string): Promise<void> => {
    await api.configuration.store?.audit.append({
      operator: operator.name,
      submissionId: id,
      kind: 'unknown-call',
      name: id,
      action: 'settle',
      state,
      fromRevision: 0,
      toRevision: 0,
      reason,
    });
  };
  if (!hasRole(operator, 'operator')) {
    await appendAudit('refused', describeMissingRole(operator, 'operator'));
    requireRole(operator, 'operator');
  }
  const isSettled = await unknownCalls.settle(id, settledOutcome, operator.name, noCancellation);
  await appendAudit(
    isSettled ? 'accepted' : 'refused',
    isSettled ? settledOutcome : 'the call is not listed as unknown',
  );
  if (!isSettled) throw refusal('unknownRecord', `call "${id}" is not listed as unknown`);
  sendJson(res, 200, { id, outcome: settledOutcome });
}

/** Operations on reports and calls. Settling a call checks the role itself, to audit a refusal. */
export const reportOperations: readonly OperatorOperation[] = [
  { method: 'GET', pattern: /^submissions\/([^/]+)$/, role: 'viewer', run: showOutcome },
  { method: 'GET', pattern: /^audit$/, role: 'viewer', run: listAudit },
  { method: 'GET', pattern: /^status$/, role: 'viewer', run: showStatus },
  { method: 'GET', pattern: /^unknown$/, role: 'viewer', run: listUnknownCalls },
  { method: 'POST', pattern: /^unknown\/([^/]+)$/, role: 'viewer', run: settleCall },
];
