import { createHash } from 'node:crypto';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage, StoreReplyLostError, StoreUnavailableError } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type TableItem, type TablePort, type TableWrite } from '../ports/table.js';
import { type AuditEvent, type AuditTrail, createAuditTrail } from './audit.js';
import { planKeyWrites } from './keys.js';
import { type StoredRecord } from './records.js';
import { type ConfigurationReplica } from './replica.js';
import {
  changeKey,
  headKey,
  parseHeadRow,
  parseRecordRow,
  recordKey,
  type SubmissionRow,
  submissionKey,
} from './rows.js';
import { type Submission, validateSubmission } from './validation.js';

/**
 * Outcome of a submission. `unavailable` means that nothing took effect; `unknown` that the reply
 * of a write was lost and later attempts did not find out whether the change took effect.
 */
export interface SubmissionOutcome {
  readonly submissionId: string;
  readonly state: 'accepted' | 'refused' | 'conflict' | 'unavailable' | 'unknown';
  /** Revision of an accepted change; the record's revision for a conflict; else 0. */
  readonly revision: number;
  /** Problems with their remedies, one line each; empty for an accepted change. */
  readonly problems: readonly string[];
}

/** Accepts configuration changes, one transaction each, and reads them back. */
export interface ConfigurationStore {
  /** Does not reject when the table fails; the outcome states what is certain. */
  submit(
    submission: Submission,
    operator: string,
    token: CancellationToken,
  ): Promise<SubmissionOutcome>;
  /** Records a refusal that was decided before the submission reached the store. */
  auditRefusal(submission: Submission, operator: string, reason: string): Promise<void>;
  /** Reads the outcome of an earlier submission; undefined when none is recorded. */
  outcome(submissionId: string, token: CancellationToken): Promise<SubmissionOutcome | undefined>;
  /** Reads a record, including a deleted one; with `revision`, as that change wrote it. */
  read(
    kind: string,
    name: string,
    token: CancellationToken,
    revision?: number,
  ): Promise<StoredRecord | undefined>;
  readonly audit: AuditTrail;
}

export interface StoreOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly replica: ConfigurationReplica;
}

/**
 * Attempts of one submission. An attempt is retried when its write conflicts with another change,
 * as each change writes the head row, or when its reply is lost. At 420 changes a day, 8 conflicts
 * in a row are unlikely outside of a script.
 */
const maxAttempts = 8;

const retryBaseMs = 10;

const retryMaxMs = 200;

const resubmitRemedy = 'submit again with the same submission id; it takes effect at most once';

function digestOf(submission: Submission): string {
  const { kind, name, schemaVersion, baseRevision, value, remove = false } = submission;
  const text = JSON.stringify([kind, name, schemaVersion, baseRevision, remove, value ?? null]);
  return createHash('sha256').update(text).digest('hex');
}

function toOutcome({ submissionId, state, revision, problems }: SubmissionRow): SubmissionOutcome {
  return { submissionId, state, revision, problems };
}

export function createConfigurationStore(options: StoreOptions): ConfigurationStore {
  const { clock, random, log, table, replica } = options;
  const audit = createAuditTrail(options);

  const readSubmission = async (id: string, token: CancellationToken) => {
    const item = await table.get(submissionKey(id), token);
    return item && (JSON.parse(item.value) as SubmissionRow);
  };

  const auditEvent = (
    submission: Submission,
    operator: string,
    revision: number,
    reason: string,
  ): AuditEvent => ({
    operator,
    submissionId: submission.submissionId,
    kind: submission.kind,
    name: submission.name,
    action: submission.remove ? 'delete' : 'write',
    state: revision > 0 ? 'accepted' : 'refused',
    fromRevision: submission.baseRevision,
    toRevision: revision,
    reason,
  });

  const submissionWrite = (row: SubmissionRow): TableWrite => ({
    ...submissionKey(row.submissionId),
    value: JSON.stringify(row),
    condition: { version: 0 },
  });

  const refuse = async (
    submission: Submission,
    operator: string,
    refusal: Pick<SubmissionRow, 'state' | 'revision' | 'problems'>,
    shouldStoreRow = true,
  ): Promise<SubmissionOutcome> => {
    const { submissionId } = submission;
    const row = { submissionId, digest: digestOf(submission), ...refusal };
    const event = auditEvent(submission, operator, 0, row.problems.join('; '));
    await audit.append(event, shouldStoreRow ? [submissionWrite(row)] : []);
    return toOutcome(row);
  };

  /**
   * Returns the recorded outcome of the same submission, or a refusal when the id was used for
   * another change; undefined when nothing is recorded.
   */
  const findRecordedOutcome = async (
    submission: Submission,
    operator: string,
    token: CancellationToken,
  ): Promise<SubmissionOutcome | undefined> => {
    const row = await readSubmission(submission.submissionId, token);
    if (!row) return undefined;
    if (row.digest === digestOf(submission)) return toOutcome(row);
    const problems = ['submissionId: was used for another change; write a new id'];
    return refuse(submission, operator, { state: 'refused', revision: 0, problems }, false);
  };

  const buildWrites = (
    submission: Submission,
    operator: string,
    head: TableItem | undefined,
    stored: TableItem | undefined,
  ): { readonly revision: number; readonly writes: readonly TableWrite[] } => {
    const { kind, name, schemaVersion, submissionId } = submission;
    const revision = parseHeadRow(head) + 1;
    const deleted = submission.remove ?? false;
    const value = deleted ? null : submission.value;
    const record: StoredRecord = { kind, name, schemaVersion, revision, value, deleted };
    const row = {
      submissionId,
      digest: digestOf(submission),
      state: 'accepted',
      revision,
    } as const;
    const recordText = JSON.stringify(record);
    const writes: readonly TableWrite[] = [
      {
        ...headKey,
        value: JSON.stringify({ revision }),
        condition: { version: head?.version ?? 0 },
      },
      { ...recordKey(kind, name), value: recordText, condition: { version: stored?.version ?? 0 } },
      { ...changeKey(revision), value: recordText, condition: { version: 0 } },
      submissionWrite({ ...row, problems: [] }),
      audit.toWrite(auditEvent(submission, operator, revision, '')),
    ];
    return { revision, writes };
  };

  /** Returns why the submission doesn't match the stored record; undefined when it does. */
  const findMismatch = (submission: Submission, stored: StoredRecord | undefined) => {
    const { kind, name, baseRevision, remove } = submission;
    const current = stored?.revision ?? 0;
    const isAbsent = !stored || stored.deleted;
    if (remove && isAbsent) {
      const problems = [`name: ${kind} "${name}" does not exist; there is nothing to delete`];
      return { state: 'refused', revision: 0, problems } as const;
    }
    if (baseRevision === current || (baseRevision === 0 && isAbsent)) return undefined;
    const problems = [
      `baseRevision: ${kind} "${name}" is at revision ${current}, not ${baseRevision}; read it ` +
        'with `cicadatide show`, apply the change to it and submit again with its revision',
    ];
    return { state: 'conflict', revision: current, problems } as const;
  };

  /** Makes one attempt; undefined when it must be retried because of a concurrent change. */
  const trySubmit = async (
    submission: Submission,
    operator: string,
    token: CancellationToken,
  ): Promise<SubmissionOutcome | undefined> => {
    const { kind, name, submissionId } = submission;
    const recorded = await findRecordedOutcome(submission, operator, token);
    if (recorded) return recorded;
    const head = await table.get(headKey, token);
    if (parseHeadRow(head) < replica.revision) {
      throw new StoreUnavailableError('the table returned a head row older than this replica');
    }
    const stored = await table.get(recordKey(kind, name), token);
    const mismatch = findMismatch(submission, stored && parseRecordRow(stored));
    if (mismatch) {
      // This submission itself may cause the mismatch, when an earlier attempt took effect late.
      const prior = await findRecordedOutcome(submission, operator, token);
      return prior ?? refuse(submission, operator, mismatch);
    }
    const keyPlan = await planKeyWrites(table, submission, stored && parseRecordRow(stored), token);
    if (keyPlan.problems.length > 0) {
      const prior = await findRecordedOutcome(submission, operator, token);
      const { problems } = keyPlan;
      return prior ?? refuse(submission, operator, { state: 'refused', revision: 0, problems });
    }
    const { revision, writes } = buildWrites(submission, operator, head, stored);
    const result = await table.transact([...writes, ...keyPlan.writes], token);
    if (result === 'conflict') return undefined;
    return { submissionId, state: 'accepted', revision, problems: [] };
  };

  const submit: ConfigurationStore['submit'] = async (submission, operator, token) => {
    const { submissionId } = submission;
    const validationProblems = validateSubmission(submission);
    if (validationProblems.length > 0) {
      const outcome = { state: 'refused', revision: 0, problems: validationProblems } as const;
      return refuse(
        submission,
        operator,
        outcome,
        !validationProblems[0]?.startsWith('submissionId'),
      );
    }
    let isReplyLost = false;
    let reason = 'other changes were accepted first each time';
    for (let count = 0; count < maxAttempts; count += 1) {
      try {
        const outcome = await trySubmit(submission, operator, token);
        if (outcome) return outcome;
      } catch (err) {
        reason = errMessage(err);
        if (err instanceof StoreReplyLostError) {
          // The next attempt first reads the row of this submission.
          isReplyLost = true;
        } else if (err instanceof StoreUnavailableError) {
          break;
        } else {
          throw err;
        }
      }
      await sleep(clock, fullJitter(random, retryBaseMs, retryMaxMs, count), token);
    }
    const problems = [`${reason}; ${resubmitRemedy}`];
    const state = isReplyLost ? 'unknown' : 'unavailable';
    log.warn({ submissionId, state, reason }, 'submission was not settled');
    return { submissionId, state, revision: 0, problems };
  };

  return {
    audit,
    submit,
    auditRefusal: (submission, operator, reason) =>
      audit.append(auditEvent(submission, operator, 0, reason)),
    async outcome(submissionId, token) {
      const row = await readSubmission(submissionId, token);
      return row && toOutcome(row);
    },
    async read(kind, name, token, revision) {
      const key = revision === undefined ? recordKey(kind, name) : changeKey(revision);
      const item = await table.get(key, token);
      const record = item && parseRecordRow(item);
      return record?.kind === kind && record.name === name ? record : undefined;
    },
  };
}
