import { StoreUnavailableError } from '../../base/errors.js';
import { refusal } from '../../base/refusals.js';
import { diffValues } from '../../configuration/diff.js';
import { type StoredRecord } from '../../configuration/records.js';
import { type SubmissionOutcome } from '../../configuration/store.js';
import { type Submission } from '../../configuration/validation.js';
import { readJson } from '../callers/body.js';
import { describeMissingRole, hasRole } from './access.js';
import { type OperatorContext, type OperatorOperation, requireStore } from './context.js';
import { sendJson } from './server.js';

const bodyLimits = { maxBytes: 1_048_576, timeoutMs: 10_000 } as const;

/** HTTP status of each outcome of a submission. */
const outcomeStatus: Readonly<Record<SubmissionOutcome['state'], number>> = {
  accepted: 200,
  refused: 422,
  conflict: 409,
  unavailable: 503,
  unknown: 502,
};

/** Reads the submission; a field of a wrong type gets a value that validation refuses by name. */
function toSubmission(body: Readonly<Record<string, unknown>>): Submission {
  const toText = (value: unknown): string => (typeof value === 'string' ? value : '');
  const toCount = (value: unknown): number => (typeof value === 'number' ? value : -1);
  return {
    submissionId: toText(body.submissionId),
    kind: toText(body.kind),
    name: toText(body.name),
    schemaVersion: toCount(body.schemaVersion ?? 1),
    baseRevision: toCount(body.baseRevision),
    value: body.value,
    remove: body.remove === true,
  };
}

async function submit(ctx: OperatorContext): Promise<void> {
  const { api, operator, req, res, token } = ctx;
  const store = requireStore(ctx);
  const submission = toSubmission(await readJson(req, bodyLimits, api.clock));
  const role = submission.kind === 'operator' ? 'admin' : 'operator';
  if (!hasRole(operator, role)) {
    const reason = describeMissingRole(operator, role);
    await store.auditRefusal(submission, operator.name, reason);
    throw refusal('forbidden', reason);
  }
  const outcome = await store.submit(submission, operator.name, token);
  if (outcome.state === 'accepted')
    await api.configuration.updater.publishRevision(outcome.revision);
  sendJson(res, outcomeStatus[outcome.state], outcome);
}

/** Reads the stored record, or the active record of the replica when no table is available. */
async function readRecord(
  ctx: OperatorContext,
  kind: string,
  name: string,
  revision?: number,
): Promise<StoredRecord | undefined> {
  const { replica, store } = ctx.api.configuration;
  const findActiveRecord = () =>
    replica
      .snapshot()
      .records.find(
        (record) =>
          record.kind === kind &&
          record.name === name &&
          (revision === undefined || record.revision === revision),
      );
  if (!store) return findActiveRecord();
  try {
    return await store.read(kind, name, ctx.token, revision);
  } catch (err) {
    if (!(err instanceof StoreUnavailableError)) throw err;
    return findActiveRecord();
  }
}

function parseRevision(value: unknown): number | undefined {
  if (value === undefined || value === null) return undefined;
  const revision = Number(value);
  if (Number.isSafeInteger(revision) && revision > 0) return revision;
  throw refusal('invalidRequest', 'revision must be a whole number above 0');
}

async function list({ api, res, url }: OperatorContext): Promise<void> {
  const kind = url.searchParams.get('kind');
  const { revision, records } = api.configuration.replica.snapshot();
  const visible = records
    .filter((record) => !record.deleted && (!kind || record.kind === kind))
    .sort((a, b) => `${a.kind}/${a.name}`.localeCompare(`${b.kind}/${b.name}`));
  sendJson(res, 200, { revision, records: visible });
}

async function show(ctx: OperatorContext): Promise<void> {
  const [kind = '', name = ''] = ctx.params;
  const revision = parseRevision(ctx.url.searchParams.get('revision'));
  const record = await readRecord(ctx, kind, name, revision);
  if (!record) throw refusal('unknownRecord', `${kind} "${name}" does not exist`);
  sendJson(ctx.res, 200, record);
}

/** Compares a value with the stored record, or the stored record with one of its revisions. */
async function diff(ctx: OperatorContext): Promise<void> {
  const body = await readJson(ctx.req, bodyLimits, ctx.api.clock);
  const { kind, name } = toSubmission(body);
  const revision = parseRevision(body.revision);
  const stored = await readRecord(ctx, kind, name);
  const base = revision === undefined ? stored : await readRecord(ctx, kind, name, revision);
  if (!base && revision !== undefined) {
    throw refusal('unknownRecord', `revision ${revision} did not change ${kind} "${name}"`);
  }
  const before = base && !base.deleted ? base.value : undefined;
  const current = stored && !stored.deleted ? stored.value : undefined;
  const after = body.value ?? current;
  sendJson(ctx.res, 200, {
    kind,
    name,
    fromRevision: base?.revision ?? 0,
    differences: diffValues(before ?? {}, after ?? {}),
  });
}

/** Operations on records. The submission handler checks the role itself, to audit a refusal. */
export const recordOperations: readonly OperatorOperation[] = [
  { method: 'POST', pattern: /^records$/, role: 'viewer', run: submit },
  { method: 'GET', pattern: /^records$/, role: 'viewer', run: list },
  { method: 'GET', pattern: /^records\/([^/]+)\/([^/]+)$/, role: 'viewer', run: show },
  { method: 'POST', pattern: /^diff$/, role: 'viewer', run: diff },
];
