import { type TableItem, type TableKey } from '../ports/table.js';
import { type StoredRecord } from './records.js';

/** Final outcome of a submission; a conflict is a refusal because of another change. */
export type SubmissionState = 'accepted' | 'refused' | 'conflict';

/** Row of one submission, stored under its id, so that a repeat takes effect at most once. */
export interface SubmissionRow {
  readonly submissionId: string;
  /** Hash of the submitted content, to detect an id that is used for another change. */
  readonly digest: string;
  readonly state: SubmissionState;
  /** Revision of the accepted change; the record's revision for a conflict; else 0. */
  readonly revision: number;
  readonly problems: readonly string[];
}

/** One entry of the audit trail. */
export interface AuditEntry {
  /** Wall-clock time at the entry that made the decision, in ISO 8601. */
  readonly at: string;
  readonly operator: string;
  readonly submissionId: string;
  readonly kind: string;
  readonly name: string;
  readonly action: 'write' | 'delete' | 'settle';
  readonly state: 'accepted' | 'refused';
  /** Revision of the record that the submission was based on. */
  readonly fromRevision: number;
  /** Revision of the accepted change, else 0. */
  readonly toRevision: number;
  readonly reason: string;
}

/** Table partitions of the configuration. Change rows are never removed. */
export const partitions = {
  head: 'config.head',
  record: 'config.record',
  change: 'config.change',
  submission: 'config.submission',
  audit: 'config.audit',
  key: 'config.key',
} as const;

const revisionDigits = 16;

/** Sort key of a change row; the padding makes text order equal to number order. */
export function changeSortKey(revision: number): string {
  return String(revision).padStart(revisionDigits, '0');
}

export const headKey: TableKey = { partition: partitions.head, sort: 'head' };

export function recordKey(kind: string, name: string): TableKey {
  return { partition: partitions.record, sort: `${kind}/${name}` };
}

export function changeKey(revision: number): TableKey {
  return { partition: partitions.change, sort: changeSortKey(revision) };
}

export function submissionKey(submissionId: string): TableKey {
  return { partition: partitions.submission, sort: submissionId };
}

/** Key of an audit entry; the nonce separates entries of one submission in one millisecond. */
export function auditKey(entry: AuditEntry, nonce: number): TableKey {
  const sort = `${entry.at}/${entry.submissionId}/${nonce.toString(16)}`;
  return { partition: partitions.audit, sort };
}

export function parseHeadRow(item: TableItem | undefined): number {
  return item ? (JSON.parse(item.value) as { readonly revision: number }).revision : 0;
}

export function parseRecordRow(item: TableItem): StoredRecord {
  return JSON.parse(item.value) as StoredRecord;
}
