import { type CancellationToken } from '../base/cancellation.js';

/** Key of one item: items of a partition are sorted by `sort`. */
export interface TableKey {
  readonly partition: string;
  readonly sort: string;
}

/** One stored item. `version` increases by 1 with each write. */
export interface TableItem extends TableKey {
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}

/** Condition that must hold for a write; 0 means that the item is absent. */
export interface TableCondition {
  readonly version: number;
}

/** One write of a transaction. Without a value the item is only checked. */
export interface TableWrite extends TableKey {
  readonly value?: string;
  readonly remove?: boolean;
  readonly condition: TableCondition;
}

/**
 * Transactional table service of the platform.
 *
 * Every call rejects with `StoreUnavailableError` when it certainly had no effect, and a write
 * with `StoreReplyLostError` when it may have taken effect.
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
  /** Applies all writes, or none when a condition fails. At most 25 writes. */
  transact(
    writes: readonly TableWrite[],
    token: CancellationToken,
  ): Promise<'committed' | 'conflict'>;
}
