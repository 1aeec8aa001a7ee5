import { type CancellationToken } from '../base/cancellation.js';
import { type TablePort, type TableWrite } from '../ports/table.js';
import { type StoredRecord } from './records.js';
import { partitions } from './rows.js';
import { type Submission } from './validation.js';

/** Writes that move the ownership of keys, or why the submission must be refused. */
export interface KeyChange {
  readonly writes: readonly TableWrite[];
  readonly problems: readonly string[];
}

/** Key changes of one submission; with the other rows they stay inside 25 writes. */
const maxKeyChanges = 20;

/** Field that holds the hashes of a kind, if it has any. */
const keyFields: Readonly<Record<string, string>> = { team: 'keyHashes', operator: 'tokenHash' };

/** Collects the hashes; a stored record of a newer schema may hold other values there. */
function keysOf(kind: string, value: unknown): ReadonlySet<string> {
  const field = keyFields[kind];
  if (field === undefined || typeof value !== 'object' || value === null) return new Set();
  const held = (value as Readonly<Record<string, unknown>>)[field];
  const list: readonly unknown[] = Array.isArray(held) ? held : [held];
  return new Set(list.filter((hash) => typeof hash === 'string'));
}

/**
 * Gives each key and token one owner. Every hash has a row with its owner, written in the same
 * transaction as the record, so that two operators can't give one key to two teams.
 */
export async function changeKeys(
  table: TablePort,
  submission: Submission,
  stored: StoredRecord | undefined,
  token: CancellationToken,
): Promise<KeyChange> {
  const { kind, name } = submission;
  const older = keysOf(kind, stored?.value);
  const newer = keysOf(kind, submission.remove ? undefined : submission.value);
  const added = [...newer].filter((hash) => !older.has(hash));
  const removed = [...older].filter((hash) => !newer.has(hash));
  const field = `value.${keyFields[kind] ?? ''}`;
  if (added.length + removed.length > maxKeyChanges) {
    const found = `${added.length + removed.length} keys are added or removed`;
    const problem = `${field}: ${found}; change at most ${maxKeyChanges} in one submission`;
    return { writes: [], problems: [problem] };
  }
  const writes: TableWrite[] = [];
  for (const hash of [...added, ...removed]) {
    const key = { partition: partitions.key, sort: `${kind}/${hash}` };
    const row = await table.get(key, token);
    const owner = row && (JSON.parse(row.value) as { readonly name: string }).name;
    if (!newer.has(hash)) {
      if (owner === name)
        writes.push({ ...key, remove: true, condition: { version: row?.version ?? 0 } });
    } else if (owner === undefined || owner === name) {
      const condition = { version: row?.version ?? 0 };
      writes.push({ ...key, value: JSON.stringify({ name }), condition });
    } else {
      const problem = `${field}: ${hash} belongs to ${kind} "${owner}"; write another`;
      return { writes: [], problems: [problem] };
    }
  }
  return { writes, problems: [] };
}
