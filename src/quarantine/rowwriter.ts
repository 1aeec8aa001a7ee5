import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type TablePort } from '../ports/table.js';
import { encodeRow, type QuarantineRow } from './row.js';

/** Writes quarantines into the store in the background. */
export interface RowWriter {
  /**
   * Writes the row that `current` returns after a delay, if the store still has the replaced version
   * (undefined for none); retries until then. Does nothing once `current` returns undefined.
   */
  write(
    key: string,
    replacedVersion: number | undefined,
    current: () => QuarantineRow | undefined,
  ): void;
  remove(key: string): void;
}

export interface RowWriterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly token: CancellationToken;
}

/**
 * Delay before an accusation is written into the store, in which one gateway mostly writes it before
 * the others try, and its combination of parts may get smaller.
 */
const minWriteDelayMs = 300;

const maxWriteDelayMs = 1_500;

/** Base and limit of the random delay before a failed write is retried. */
const minRetryMs = 500;

const maxRetryMs = 5_000;

export function createRowWriter(options: RowWriterOptions): RowWriter {
  const { clock, random, log, table, token } = options;

  const write = async (
    key: string,
    replacedVersion: number | undefined,
    current: () => QuarantineRow | undefined,
  ): Promise<void> => {
    await sleep(clock, minWriteDelayMs + random.next() * maxWriteDelayMs, token);
    for (let attempt = 0; ; attempt += 1) {
      const row = current();
      if (!row) return;
      try {
        const condition = { version: replacedVersion ?? 0 };
        // A conflict means that another gateway wrote the row; the watch delivers it either way.
        await table.transact(
          [{ partition: '', sort: key, value: encodeRow(row), condition }],
          token,
        );
        return;
      } catch (err) {
        if (attempt === 0)
          log.warn(
            { key, err: errMessage(err) },
            'failed to write a quarantine into the store; retrying',
          );
      }
      await sleep(clock, minRetryMs + fullJitter(random, minRetryMs, maxRetryMs, attempt), token);
    }
  };

  const remove = async (key: string): Promise<void> => {
    const item = await table.get({ partition: '', sort: key }, token);
    if (!item) return;
    const condition = { version: item.version };
    await table.transact([{ partition: '', sort: key, remove: true, condition }], token);
  };

  return {
    write(key, replacedVersion, current) {
      write(key, replacedVersion, current).catch((err: unknown) =>
        log.debug({ key, err: errMessage(err) }, 'write of a quarantine was cancelled'),
      );
    },
    remove(key) {
      remove(key).catch((err: unknown) =>
        log.warn(
          { key, err: errMessage(err) },
          'failed to remove a quarantine from the store; it stays until its hold time is over',
        ),
      );
    },
  };
}
