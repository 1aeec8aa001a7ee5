import { type HostPort, parseHostPort } from '../base/address.js';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type TablePort } from '../ports/table.js';

/** Rows in which the entries tell each other their addresses. */
export interface EntryRows {
  observe(key: string, value: string, version: number): void;
  /** Addresses of the other entries. */
  peers(): readonly HostPort[];
}

export interface EntryRowsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly instance: string;
  readonly address: HostPort;
  readonly token: CancellationToken;
}

const prefix = 'entry.';

/** First and longest delay before the row is written again after a failure. */
const minRetryMs = 200;

const maxRetryMs = 3_000;

/**
 * Writes this entry's address into the store, unless it is there from an earlier run, and keeps the
 * addresses of the others. Nothing is removed: an entry that is gone costs a datagram now and then.
 */
export function registerEntry(options: EntryRowsOptions): EntryRows {
  const { clock, random, log, table, instance, address, token } = options;
  const key = `${prefix}${instance}`;
  const value = `${address.host}:${address.port}`;
  const entries = new Map<string, string>();

  const write = async (): Promise<boolean> => {
    const item = await table.get({ partition: '', sort: key }, token);
    if (item?.value === value) return true;
    const condition = { version: item?.version ?? 0 };
    return (
      (await table.transact([{ partition: '', sort: key, value, condition }], token)) ===
      'committed'
    );
  };

  const run = async (): Promise<void> => {
    for (let attempt = 0; !token.isCancellationRequested; attempt += 1) {
      try {
        if (await write()) return;
      } catch (err) {
        if (attempt === 0) log.warn({ err: errMessage(err) }, 'entry is not registered yet');
      }
      await sleep(clock, minRetryMs + fullJitter(random, minRetryMs, maxRetryMs, attempt), token);
    }
  };

  run().catch((err: unknown) => log.debug({ err: errMessage(err) }, 'registration ended'));

  return {
    observe(rowKey, rowValue) {
      if (rowKey.startsWith(prefix)) entries.set(rowKey, rowValue);
    },
    peers() {
      const addresses: HostPort[] = [];
      for (const [name, text] of entries) {
        const peer = name === key ? undefined : parseHostPort(text);
        if (peer) addresses.push(peer);
      }
      return addresses;
    },
  };
}
