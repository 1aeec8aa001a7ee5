import { type CancellationToken } from '../base/cancellation.js';
import { type TablePort, type TableWrite } from '../ports/table.js';
import { type StoredRecord } from './records.js';
import { partitions } from './rows.js';
import { type Submission } from './validation.js';

/** Writes that change the owners of keys, or the reasons to refuse the submission. */
export interface KeyWritePlan {
  readonly writes: readonly TableWrite[];
  readonly problems: readonly string[];
}

/** Limit of key changes in one submission; with the other rows they stay within 25 writes. */
const maxKeyChanges = 20;

/** Field with the key hashes, for each kind that has one. */
const keyFields: Readonly<Record<string, string>> = { team: 'keyHashes', operator: 'tokenHash' };

/** Collects the hashes; a stored record of a newer schema may contain other values there. */
function keyHashesOf(kind: string, value: unknown): ReadonlySet<string> {
  const field = keyFields[kind];
  if (field === undefined || typeof value !== 'object' || value === null) return new Set();
  const fieldValue = (value as Readonly<Record<string, unknown>>)[field];
  const values: readonly unknown[] = Array.isArray(fieldValue) ? fieldValue : [fieldValue];
  return new Set(values.filter((hash) => typeof hash === 'string'));
}

/**
 * Plans the writes that give each key and token one owner. Every hash has a row with its owner,
 * written in the same transaction as the record, so that two operators can't assign one key to two
 * teams.
 */
export async function planKeyWrites(
  table: TablePort,
  submission: Submission,
  stored: StoredRecord | undefined,
  token: CancellationToken,
): Promise<KeyWritePlan> {
  const { kind, name } = submission;
  const currentHashes = keyHashesOf(kind, stored?.value);
  const newHashes = keyHashesOf(kind, submission.remove ? undefined : submission.value);
  const added = [...newHashes].filter((hash) => !currentHashes.has(hash));
  const removed = [...currentHashes].filter((hash) => !newHashes.has(hash));
  const field = `value.${keyFields[kind] ?? ''}`;
  if (added.length + removed.length > maxKeyChanges) {
    const changeSummary = `${added.length + removed.length} keys are added or removed`;
    const problem = `${field}: ${changeSummary}; change at most ${maxKeyChanges} in one submission`;
    return { writes: [], problems: [problem] };
  }
  const writes: TableWrite[] = [];
  for (const hash of [...added, ...removed]) {
    const key = { partition: partitions.key, sort: `${kind}/${hash}` };
    const row = await table.get(key, token);
    const owner = row && (JSON.parse(row.value) as { readonly name: string }).name;
    if (!newHashes.has(hash)) {
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
