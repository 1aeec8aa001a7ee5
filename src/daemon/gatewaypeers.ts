import { type HostPort, parseHostPort } from '../base/address.js';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type RowChange } from '../configuration/watch.js';
import { type TablePort } from '../ports/table.js';
import { type StoreEras } from '../storeera/eras.js';

/** Rows in which the gateways publish their addresses to each other. */
export interface GatewayRows {
  /** The store has this gateway's address, so that its peers count it. */
  readonly isRegistered: boolean;
  /** Applies rows of the system's own table; ignores those of other features. */
  observeRows(change: Pick<RowChange, 'rows' | 'isSnapshot'>): void;
  /** Addresses of the other gateways. */
  peerAddresses(): readonly HostPort[];
}

export interface GatewayRowsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly eras: Pick<StoreEras, 'current'>;
  readonly instance: string;
  readonly address: HostPort;
  readonly token: CancellationToken;
}

const keyPrefix = 'entry.';

/**
 * Shortest delay before a failed write of the row is retried, and base of the jitter that is added
 * to it.
 */
const minRetryMs = 200;

/** Longest jitter before a retry. */
const maxRetryMs = 3_000;

/**
 * Writes this gateway's address into the store, unless an earlier incarnation has written it, and
 * records the addresses of the other gateways. It is written again when the store comes back from a
 * copy without it, because gateways that start later would not count this one. Rows are never
 * removed: a gateway that no longer exists costs its peers only an occasional datagram.
 */
export function registerGateway(options: GatewayRowsOptions): GatewayRows {
  const { clock, random, log, table, eras, instance, address, token } = options;
  const key = `${keyPrefix}${instance}`;
  const value = `${address.host}:${address.port}`;
  const addressesByKey = new Map<string, string>();
  /** Era of the store that has the row; undefined while it is written. */
  let registeredEra: number | undefined;

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
        if (await write()) {
          registeredEra = eras.current;
          return;
        }
      } catch (err) {
        if (attempt === 0)
          log.warn({ err: errMessage(err) }, 'gateway address could not be registered; retrying');
      }
      await sleep(clock, minRetryMs + fullJitter(random, minRetryMs, maxRetryMs, attempt), token);
    }
  };

  const register = (): void => {
    registeredEra = undefined;
    run().catch((err: unknown) =>
      log.debug({ err: errMessage(err) }, 'registration of the gateway address was cancelled'),
    );
  };

  register();

  return {
    get isRegistered() {
      return addressesByKey.get(key) === value;
    },
    observeRows({ rows, isSnapshot }) {
      for (const { key: rowKey, value: rowValue } of rows)
        if (rowValue !== undefined && rowKey.startsWith(keyPrefix))
          addressesByKey.set(rowKey, rowValue);
      const hasRow = rows.some((row) => row.key === key && row.value === value);
      const isOfEarlierEra = registeredEra !== undefined && registeredEra < eras.current;
      if (isSnapshot && isOfEarlierEra && !hasRow) register();
    },
    peerAddresses() {
      const addresses: HostPort[] = [];
      for (const [rowKey, rowValue] of addressesByKey) {
        const peer = rowKey === key ? undefined : parseHostPort(rowValue);
        if (peer) addresses.push(peer);
      }
      return addresses;
    },
  };
}
