import { type CancellationToken } from '../base/cancellation.js';

/** Key of one item. The items of a partition are ordered by `sort`. */
export interface TableKey {
  readonly partition: string;
  readonly sort: string;
}

/**
 * One stored item. `version` increases with each write: by 1 in the DynamoDB and the in-memory
 * table, to the version of the transaction in the platform's store, which includes the era of the store
 * (`src/storeera`).
 */
export interface TableItem extends TableKey {
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}

/** Version that the item must have for the write; 0 means that the item must not exist. */
export interface TableCondition {
  readonly version: number;
}

/** One write of a transaction. Without `value` and `remove` only the condition is checked. */
export interface TableWrite extends TableKey {
  readonly value?: string;
  readonly remove?: boolean;
  readonly condition: TableCondition;
}

/**
 * The platform's transactional table service.
 *
 * Calls reject with `StoreUnavailableError` when they certainly had no effect; writes reject with
 * `StoreReplyLostError` when they may have taken effect.
 */
export interface TablePort {
  /** Reads one item with strong consistency. */
  get(key: TableKey, token: CancellationToken): Promise<TableItem | undefined>;
  /** Reads the items of a partition whose sort key is greater than `after`, in order. */
  query(
    partition: string,
    after: string,
    limit: number,
    token: CancellationToken,
  ): Promise<readonly TableItem[]>;
  /** Applies all writes, or none if any condition fails. Accepts at most 25 writes. */
  transact(
    writes: readonly TableWrite[],
    token: CancellationToken,
  ): Promise<'committed' | 'conflict'>;
}
