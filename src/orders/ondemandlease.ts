import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type TableKey, type TablePort } from '../ports/table.js';

/** Key of the row that names the process which may give orders. */
const rowKey: TableKey = { partition: '', sort: 'order-holder' };

interface HolderRow {
  readonly holder: string;
  /** Grows by 1 with each change of the holder. */
  readonly fencingNumber: number;
}

/**
 * Right to give orders, taken when there is an order to give. A lease that is renewed all the time
 * costs calls to the store in every process; orders come a few times a minute.
 */
export interface OnDemandOrderLease {
  /** Key of the row in the system's own table. */
  readonly key: string;
  /** True while the row names this process. */
  readonly isHolder: boolean;
  /** Time since the row last changed, as far as this process saw it; Infinity without a row. */
  unchangedMs(): number;
  /**
   * Returns the fencing number if this process may give an order now, at most `orderWindowMs`
   * later; undefined when another process may.
   */
  acquire(token: CancellationToken): Promise<number | undefined>;
  /** Takes over what the store says of the row. */
  observe(value: string, version: number): void;
}

export interface OnDemandOrderLeaseOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: TablePort;
  /** Names one run of this process. */
  readonly holder: string;
  /** Time that must lie between the orders of two holders. */
  readonly leaseMs: number;
}

/** Time after a claim was sent within which an order may be given. */
export const orderWindowMs = 800;

/** Covers the way of an order to its engine and clocks that run a little apart. */
const expiryMarginMs = 400;

/** Wall clock and monotonic clock may drift this much between a claim and an order. */
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

export function createOnDemandOrderLease(options: OnDemandOrderLeaseOptions): OnDemandOrderLease {
  const { clock, log, table, holder, leaseMs } = options;
  const expiryMs = leaseMs + orderWindowMs + expiryMarginMs;
  let row: HolderRow | undefined;
  let version = -1;
  let isVersionKnown = false;
  let observedAt = -Infinity;
  let validUntil = -Infinity;
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
    else if (version < 0) version = 0;
    isVersionKnown = true;
  };

  /**
   * The monotonic clock stands still while the machine is suspended, but the wall clock does not:
   * a gap between them that changed means that the claim may be older than it looks.
   */
  const isValid = (): boolean =>
    clock.now() < validUntil && Math.abs(currentClockGap() - clockGap) < maxClockDriftMs;

  const write = async (token: CancellationToken): Promise<number | undefined> => {
    const isOwn = row?.holder === holder;
    const fencingNumber = isOwn ? (row?.fencingNumber ?? 0) : (row?.fencingNumber ?? 0) + 1;
    const next: HolderRow = { holder, fencingNumber };
    const expected = version;
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
      log.info({ fencingNumber, unchangedMs: Math.round(unchangedMs) }, 'orders are claimed');
    row = next;
    validUntil = startedAt + orderWindowMs;
    clockGap = gap;
    // The answer does not name the new version; the watch delivers it, mostly before the next claim.
    isVersionKnown = version !== expected;
    return isValid() ? fencingNumber : undefined;
  };

  const tryAcquire = async (token: CancellationToken): Promise<number | undefined> => {
    try {
      if (!isVersionKnown) await refresh(token);
      if (row?.holder === holder && isValid()) return row.fencingNumber;
      const isAvailable = !row || row.holder === holder || clock.now() - observedAt >= expiryMs;
      return isAvailable ? await write(token) : undefined;
    } catch (err) {
      log.warn({ err: errMessage(err) }, 'orders are not claimed; the store did not answer');
      return undefined;
    }
  };

  return {
    key: rowKey.sort,
    get isHolder() {
      return row?.holder === holder;
    },
    unchangedMs: () => (row ? clock.now() - observedAt : Infinity),
    observe,
    acquire(token) {
      // Orders of one process share a claim; two writes at once would conflict with each other.
      pendingAcquire ??= tryAcquire(token).finally(() => {
        pendingAcquire = undefined;
      });
      return pendingAcquire;
    },
  };
}
