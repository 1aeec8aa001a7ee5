import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type TablePort } from '../ports/table.js';

/** Key of the lease row. Agents read it to check fencing numbers. */
export const leaseKey = { partition: 'lease', sort: 'orders' } as const;

/** Contents of the lease row. */
export interface LeaseRow {
  readonly holder: string;
  /** Increases by 1 when the lease is acquired, also again by the same process; not by renewals. */
  readonly fencingNumber: number;
  readonly durationMs: number;
}

/** Lease that allows one process at a time to give orders. It is renewed until disposed. */
export interface OrderLease extends Disposable {
  /** Fencing number while this process holds the lease, otherwise undefined. */
  current(): number | undefined;
}

export interface LeaseOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly instance: string;
  readonly durationMs?: number;
}

const defaultDurationMs = 10_000;

/** Number of renewals by the holder in one lease duration. */
const renewalsPerDuration = 4;

/**
 * A contender waits for this multiple of the duration before it acquires the lease, because its
 * clock may run faster than the holder's.
 */
const expiryFactor = 1.25;

export function parseLease(value: string): LeaseRow {
  return JSON.parse(value) as LeaseRow;
}

export function createOrderLease(options: LeaseOptions): OrderLease {
  const { clock, random, log, table, instance, durationMs = defaultDurationMs } = options;
  const source = createCancellationSource();
  const held: { fencingNumber: number; validUntil: number } = { fencingNumber: 0, validUntil: 0 };
  const observed = { version: -1, since: 0 };

  const write = async (
    version: number,
    fencingNumber: number,
    token: CancellationToken,
  ): Promise<boolean> => {
    const startedAt = clock.now();
    const value = JSON.stringify({ holder: instance, fencingNumber, durationMs });
    const result = await table.transact([{ ...leaseKey, value, condition: { version } }], token);
    if (result === 'conflict') return false;
    held.fencingNumber = fencingNumber;
    // Counted from the start of the write, so that it expires before a contender may acquire it.
    held.validUntil = startedAt + durationMs;
    return true;
  };

  const step = async (token: CancellationToken): Promise<void> => {
    const item = await table.get(leaseKey, token);
    const row = item ? parseLease(item.value) : undefined;
    const version = item?.version ?? 0;
    if (version !== observed.version) {
      observed.version = version;
      observed.since = clock.now();
    }
    const hasHeldNumber = held.fencingNumber > 0 && row?.fencingNumber === held.fencingNumber;
    if (row?.holder === instance && hasHeldNumber) {
      await write(version, held.fencingNumber, token);
      return;
    }
    held.validUntil = 0;
    const unchangedMs = clock.now() - observed.since;
    if (row && unchangedMs < row.durationMs * expiryFactor) return;
    const next = (row?.fencingNumber ?? 0) + 1;
    if (await write(version, next, token))
      log.info({ fencingNumber: next }, 'order lease acquired');
  };

  const run = async (token: CancellationToken): Promise<void> => {
    const intervalMs = durationMs / renewalsPerDuration;
    while (!token.isCancellationRequested) {
      try {
        await step(token);
      } catch (err) {
        log.debug(
          { err: errMessage(err) },
          'order lease could not be checked or renewed; retrying at the next interval',
        );
      }
      await sleep(clock, intervalMs * (0.8 + 0.4 * random.next()), token);
    }
  };

  run(source.token).catch(() => undefined);

  return {
    current: () => (clock.now() < held.validUntil ? held.fencingNumber : undefined),
    dispose: () => source.cancel('lease closed'),
  };
}
