import { type HostPort, parseHostPort } from '../base/address.js';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type TablePort } from '../ports/table.js';

/** Rows in which the gateways publish their addresses to each other. */
export interface GatewayRows {
  /** The store has this gateway's address, so that its peers count it. */
  readonly isRegistered: boolean;
  observe(key: string, value: string, version: number): void;
  /** Addresses of the other gateways. */
  peerAddresses(): readonly HostPort[];
}

export interface GatewayRowsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
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
 * records the addresses of the other gateways. Rows are never removed: a gateway that no longer
 * exists costs its peers only an occasional datagram.
 */
export function registerGateway(options: GatewayRowsOptions): GatewayRows {
  const { clock, random, log, table, instance, address, token } = options;
  const key = `${keyPrefix}${instance}`;
  const value = `${address.host}:${address.port}`;
  const addressesByKey = new Map<string, string>();

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
        if (attempt === 0)
          log.warn({ err: errMessage(err) }, 'gateway address could not be registered; retrying');
      }
      await sleep(clock, minRetryMs + fullJitter(random, minRetryMs, maxRetryMs, attempt), token);
    }
  };

  run().catch((err: unknown) =>
    log.debug({ err: errMessage(err) }, 'registration of the gateway address was cancelled'),
  );

  return {
    get isRegistered() {
      return addressesByKey.get(key) === value;
    },
    observe(rowKey, rowValue) {
      if (rowKey.startsWith(keyPrefix)) addressesByKey.set(rowKey, rowValue);
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
