import { type CancellationToken } from '../base/cancellation.js';

/** One row of a watched table. */
export interface Row {
  readonly key: string;
  /** Value of the row as text; undefined when the row was removed. */
  readonly value: string | undefined;
  /** Increases with each transaction of the store, also when it comes back from an older copy. */
  readonly version: number;
}

/** Rows, and the version from which to read further changes. */
export interface RowSet {
  readonly rows: readonly Row[];
  /** The `after` argument of the next `changes` call. */
  readonly version: number;
  /** Rows of the reply that could not be decoded and are left out; undefined when there are none. */
  readonly malformedRows?: number | undefined;
}

/** Reads tables and watches their changes. Rejects with the same errors as `TablePort`. */
export interface RowFeedPort {
  /** Reads all rows of a table. */
  list(table: string, token: CancellationToken): Promise<RowSet>;
  /**
   * Waits up to `waitMs` for changes after a version. `history-lost` means that older changes are
   * no longer available and the table must be listed again.
   */
  changes(
    table: string,
    after: number,
    waitMs: number,
    token: CancellationToken,
  ): Promise<RowSet | 'history-lost'>;
}
