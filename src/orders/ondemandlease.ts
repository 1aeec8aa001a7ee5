import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type TableKey, type TablePort } from '../ports/table.js';
import { type StoreEras } from '../storeera/eras.js';
import { eraOf, toVersion } from '../storeera/version.js';

/** Key of the row that names the holder of the lease. */
const rowKey: TableKey = { partition: '', sort: 'order-holder' };

interface HolderRow {
  /** Empty when the lease is free: all orders of any former holder are old. */
  readonly holder: string;
  /**
   * Increases with each change of holder. It has the era of the store in which the lease was acquired,
   * so a number that was given out before a restore is never given out again.
   */
  readonly fencingNumber: number;
}

/**
 * Lease on the right to give orders that is acquired only while engines have outdated weights or an
 * order is due. A lease with periodic renewal costs store calls in every process, while there are
 * only a few orders a minute.
 *
 * When the store comes back from an older copy, the row may be gone or name an earlier holder. A row of
 * an earlier era therefore names nobody, and only a process that has just acted may acquire the lease
 * at once; any other one waits until the orders of every unknown holder are too old to conflict.
 */
export interface OnDemandOrderLease {
  /** Key of the row in the system's own table. */
  readonly key: string;
  /** True while this process may acquire the lease at once because it was the last holder. */
  readonly isHolder: boolean;
  /** Time since this process last observed a change of the row; Infinity without a holder. */
  unchangedMs(): number;
  /**
   * Returns the fencing number when this process may give an order now, at most `orderWindowMs`
   * after the start of the write; undefined when another process holds the lease, or the row can't
   * be written in this time.
   */
  acquire(token: CancellationToken): Promise<number | undefined>;
  /**
   * Writes that the lease is free if no process has acquired it in this era of the store and all orders
   * of earlier ones are old. Processes that start later in the era then need not wait; a row that is
   * missing tells them nothing, because the copy may lack it. Rejects like `TablePort`.
   */
  markFree(token: CancellationToken): Promise<void>;
  /** Applies a version of the row from the store; versions that are not newer are ignored. */
  observe(value: string, version: number): void;
}

export interface OnDemandOrderLeaseOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: TablePort;
  readonly eras: StoreEras;
  /** Identifies one incarnation of this process. */
  readonly holder: string;
  /** Minimum time between the orders of two holders. */
  readonly leaseMs: number;
}

/** Time from the start of the lease write within which an order may be given. */
export const orderWindowMs = 800;

/** Covers the delay until an order reaches its engine, and clock drift between processes. */
const expiryMarginMs = 400;

/** Accepted drift between wall clock and monotonic clock from the lease write to an order. */
const maxClockDriftMs = 200;

function parseRow(value: string): HolderRow | undefined {
  try {
    const row = JSON.parse(value) as Partial<HolderRow>;
    const { holder, fencingNumber } = row;
    if (typeof holder !== 'string' || typeof fencingNumber !== 'number') return undefined;
    return { holder, fencingNumber };
  } catch {
    return undefined;
  }
}

/** Time without a change of the row after which another process may acquire the lease. */
export const expiryMs = (leaseMs: number): number => leaseMs + orderWindowMs + expiryMarginMs;

export function createOnDemandOrderLease(options: OnDemandOrderLeaseOptions): OnDemandOrderLease {
  const { clock, log, table, eras, holder, leaseMs } = options;
  let row: HolderRow | undefined;
  let version = -1;
  let isVersionKnown = false;
  let observedAt = -Infinity;
  let validUntil = -Infinity;
  /** Until then no other process can have acquired the lease after this one did, in any era. */
  let exclusiveUntil = -Infinity;
  let clockGap = 0;
  let pendingAcquire: Promise<number | undefined> | undefined;

  const currentClockGap = (): number => clock.wallTime() - clock.now();

  const observe = (value: string, newVersion: number): void => {
    if (newVersion <= version) return;
    version = newVersion;
    isVersionKnown = true;
    observedAt = clock.now();
    row = parseRow(value);
    if (row?.holder !== holder) validUntil = -Infinity;
  };

  const refresh = async (token: CancellationToken): Promise<void> => {
    const item = await table.get(rowKey, token);
    if (item) observe(item.value, item.version);
    else {
      version = toVersion(eras.current, 0);
      row = undefined;
    }
    isVersionKnown = true;
  };

  /**
   * The monotonic clock stops while the machine is suspended, the wall clock does not. A changed
   * gap between them means that the lease may be older than the monotonic clock shows.
   */
  const isClockSteady = (): boolean => Math.abs(currentClockGap() - clockGap) < maxClockDriftMs;

  const isValid = (): boolean => clock.now() < validUntil && isClockSteady();

  /** The row, if it was written in this era of the store. */
  const currentRow = (): HolderRow | undefined =>
    row && eraOf(row.fencingNumber) === eras.current ? row : undefined;

  const isLastHolder = (): boolean => {
    const current = currentRow();
    if (current) return current.holder === holder;
    return clock.now() < exclusiveUntil && isClockSteady();
  };

  /** True once the orders of any other holder, including one that the store has forgotten, are old. */
  const isExpired = (): boolean =>
    currentRow()?.holder === '' ||
    Math.min(clock.now() - observedAt, eras.ageMs()) >= expiryMs(leaseMs);

  /** Above all earlier numbers: each version is replaced once, and versions of later eras are higher. */
  const nextFencingNumber = (): number => Math.max(row?.fencingNumber ?? 0, version) + 1;

  const write = async (token: CancellationToken): Promise<number | undefined> => {
    const current = currentRow();
    const isOwn = current?.holder === holder;
    const expected = version;
    const fencingNumber = isOwn ? current.fencingNumber : nextFencingNumber();
    const next: HolderRow = { holder, fencingNumber };
    const startedAt = clock.now();
    const unchangedMs = startedAt - observedAt;
    const gap = currentClockGap();
    const value = JSON.stringify(next);
    const result = await table.transact(
      [{ ...rowKey, value, condition: { version: expected } }],
      token,
    );
    if (result === 'conflict') {
      await refresh(token);
      return undefined;
    }
    if (!isOwn)
      log.info({ fencingNumber, unchangedMs: Math.round(unchangedMs) }, 'order lease acquired');
    row = next;
    validUntil = startedAt + orderWindowMs;
    exclusiveUntil = startedAt + leaseMs;
    clockGap = gap;
    // The reply lacks the new version; the watch delivers it, mostly before the next write.
    isVersionKnown = version !== expected;
    return isValid() ? fencingNumber : undefined;
  };

  const tryAcquire = async (token: CancellationToken): Promise<number | undefined> => {
    try {
      if (!isVersionKnown || eraOf(version) !== eras.current) await refresh(token);
      const current = currentRow();
      if (current?.holder === holder && isValid()) return current.fencingNumber;
      return isLastHolder() || isExpired() ? await write(token) : undefined;
    } catch (err) {
      log.warn(
        { err: errMessage(err) },
        'order lease was not acquired because a store call failed; no order is given',
      );
      return undefined;
    }
  };

  return {
    key: rowKey.sort,
    get isHolder() {
      return isLastHolder();
    },
    unchangedMs: () => (row?.holder ? clock.now() - observedAt : Infinity),
    observe,
    async markFree(token) {
      if (eras.current === 0) return;
      if (!isVersionKnown || eraOf(version) !== eras.current) await refresh(token);
      if (currentRow() || !isExpired()) return;
      const value = JSON.stringify({ holder: '', fencingNumber: nextFencingNumber() });
      isVersionKnown = false;
      await table.transact([{ ...rowKey, value, condition: { version } }], token);
    },
    acquire(token) {
      // Orders of one process share one write; concurrent writes would conflict with each other.
      pendingAcquire ??= tryAcquire(token).finally(() => {
        pendingAcquire = undefined;
      });
      return pendingAcquire;
    },
  };
}
