import { type CancellationToken } from '../base/cancellation.js';
import { type TableItem, type TablePort } from '../ports/table.js';
import { type StoredRecord } from './records.js';
import { changeSortKey, headKey, partitions, parseHeadRow, parseRecordRow } from './rows.js';

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
  /** Reads the changes after `base`; all records without a `base` or when too many changed. */
  readChanges(base: number | undefined, token: CancellationToken): Promise<ConfigurationChanges>;
}

/** Change rows per read; when the page is full, all records are read instead. */
const maxPageChanges = 100;

/** Rows per read of all records; a row has about 1 KB, so that 1,100 records take 2 reads. */
const maxPageRecords = 1_000;

/** Returns the records up to the first gap, so that a stale read can't skip a change. */
function takeConsecutive(base: number, items: readonly TableItem[]): readonly StoredRecord[] {
  const records: StoredRecord[] = [];
  for (const item of items) {
    const record = parseRecordRow(item);
    if (record.revision !== base + records.length + 1) break;
    records.push(record);
  }
  return records;
}

export function createConfigurationReader(table: TablePort): ConfigurationReader {
  const readHead = async (token: CancellationToken): Promise<number> =>
    parseHeadRow(await table.get(headKey, token));

  const queryChanges = async (base: number, token: CancellationToken) => {
    const items = await table.query(partitions.change, changeSortKey(base), maxPageChanges, token);
    const records = takeConsecutive(base, items);
    return {
      base,
      revision: base + records.length,
      records,
      isPageFull: items.length === maxPageChanges,
    };
  };

  /** Reads all records; changes made meanwhile are added, so that the result is one revision. */
  const readAll = async (token: CancellationToken): Promise<ConfigurationChanges> => {
    const head = await readHead(token);
    const records: StoredRecord[] = [];
    let after = '';
    for (;;) {
      const items = await table.query(partitions.record, after, maxPageRecords, token);
      records.push(...items.map(parseRecordRow));
      if (items.length < maxPageRecords) break;
      after = items.at(-1)?.sort ?? after;
    }
    const laterChanges = await queryChanges(head, token);
    return {
      base: 0,
      revision: laterChanges.revision,
      records: [...records, ...laterChanges.records],
    };
  };

  return {
    readHead,
    async readChanges(base, token) {
      if (base === undefined) return readAll(token);
      const changes = await queryChanges(base, token);
      return changes.isPageFull ? readAll(token) : changes;
    },
  };
}
