import { type CancellationToken } from '../base/cancellation.js';

/** One row of a watched table. */
export interface Row {
  readonly key: string;
  /** Text of the row; undefined when the row was removed. */
  readonly value: string | undefined;
  /** Grows with each transaction of the store. */
  readonly version: number;
}

/** Rows as of one moment. */
export interface RowSet {
  readonly rows: readonly Row[];
  /** Version to continue from. */
  readonly version: number;
}

/** Reads tables and follows their changes. Errors are those of `TablePort`. */
export interface RowFeedPort {
  /** Reads all rows of a table. */
  list(table: string, token: CancellationToken): Promise<RowSet>;
  /**
   * Waits for changes after a version, up to `waitMs`. `history-lost` means that changes are
   * missing and the table has to be read again.
   */
  changes(
    table: string,
    after: number,
    waitMs: number,
    token: CancellationToken,
  ): Promise<RowSet | 'history-lost'>;
}
