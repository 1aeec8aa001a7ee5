import { type CancellationToken } from '../base/cancellation.js';
import { type TableItem, type TablePort } from '../ports/table.js';
import { type StoredRecord } from './records.js';
import { changeSort, headKey, partitions, readHeadRow, readRecordRow } from './rows.js';

/** Records that changed after `base` up to and including `revision`. */
export interface ConfigurationChanges {
  readonly base: number;
  readonly revision: number;
  readonly records: readonly StoredRecord[];
}

/** Reads the stored configuration; rejects like `TablePort`. */
export interface ConfigurationReader {
  /** Revision of the head row; one read. */
  readHead(token: CancellationToken): Promise<number>;
  /** Changes after a revision; everything without a revision or when too many changed. */
  readChanges(base: number | undefined, token: CancellationToken): Promise<ConfigurationChanges>;
}

/** Change rows per read; more changes than one page are read as whole records instead. */
const changePage = 100;

/** Rows per read of all records; a row has about 1 KB, so that 1,100 records take 2 reads. */
const recordPage = 1_000;

/** Takes the rows up to the first gap, so that no change can be skipped by a stale read. */
function takeConsecutive(base: number, items: readonly TableItem[]): readonly StoredRecord[] {
  const records: StoredRecord[] = [];
  for (const item of items) {
    const record = readRecordRow(item);
    if (record.revision !== base + records.length + 1) break;
    records.push(record);
  }
  return records;
}

export function createConfigurationReader(table: TablePort): ConfigurationReader {
  const readHead = async (token: CancellationToken): Promise<number> =>
    readHeadRow(await table.get(headKey, token));

  const queryChanges = async (base: number, token: CancellationToken) => {
    const items = await table.query(partitions.change, changeSort(base), changePage, token);
    const records = takeConsecutive(base, items);
    return { base, revision: base + records.length, records, full: items.length === changePage };
  };

  /** Reads all records; changes made meanwhile are added, so that the result is one revision. */
  const readAll = async (token: CancellationToken): Promise<ConfigurationChanges> => {
    const head = await readHead(token);
    const records: StoredRecord[] = [];
    let after = '';
    for (;;) {
      const items = await table.query(partitions.record, after, recordPage, token);
      records.push(...items.map(readRecordRow));
      if (items.length < recordPage) break;
      after = items.at(-1)?.sort ?? after;
    }
    const later = await queryChanges(head, token);
    return { base: 0, revision: later.revision, records: [...records, ...later.records] };
  };

  return {
    readHead,
    async readChanges(base, token) {
      if (base === undefined) return readAll(token);
      const changes = await queryChanges(base, token);
      return changes.full ? readAll(token) : changes;
    },
  };
}
