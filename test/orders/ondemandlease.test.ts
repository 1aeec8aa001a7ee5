import { describe, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { type Clock } from '../../src/base/clock.js';
import { StoreReplyLostError, StoreUnavailableError } from '../../src/base/errors.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createOnDemandOrderLease, orderWindowMs } from '../../src/orders/ondemandlease.js';
import { type TableItem, type TablePort } from '../../src/ports/table.js';
import { singleEra } from '../../src/storeera/eras.js';
import { createManualClock, type ManualClock } from '../standins/clock.js';

const leaseMs = 3_000;

/** A table with one row in memory and injected faults. */
function createRow() {
  let row: TableItem | undefined;
  let fault: 'none' | 'down' | 'lost' = 'none';
  const table: TablePort = {
    async get() {
      if (fault === 'down') throw new StoreUnavailableError('down');
      return row;
    },
    query: async () => [],
    async transact([write]) {
      if (fault === 'down') throw new StoreUnavailableError('down');
      if ((row?.version ?? 0) !== write?.condition.version) return 'conflict';
      const { partition, sort, value = '' } = write;
      row = { partition, sort, value, version: (row?.version ?? 0) + 1 };
      if (fault === 'lost') throw new StoreReplyLostError('lost');
      return 'committed';
    },
  };
  return {
    table,
    setFault: (next: typeof fault) => {
      fault = next;
    },
    deliver: (...leases: readonly ReturnType<typeof createOnDemandOrderLease>[]) => {
      for (const lease of leases) if (row) lease.observe(row.value, row.version);
    },
  };
}

function setUp(clock: Clock = createManualClock()) {
  const row = createRow();
  const log = createNullLogger();
  const create = (holder: string, own: Clock = clock) =>
    createOnDemandOrderLease({
      clock: own,
      log,
      table: row.table,
      eras: singleEra,
      holder,
      leaseMs,
    });
  return { row, create };
}

const acquire = (lease: ReturnType<typeof createOnDemandOrderLease>) =>
  lease.acquire(noCancellation);

describe('on-demand order lease', () => {
  it('is acquired by one of two processes that try at the same time', async () => {
    const { create } = setUp();
    const numbers = await Promise.all([acquire(create('a')), acquire(create('b'))]);
    expect(numbers.filter((number) => number !== undefined)).toEqual([1]);
  });

  it('is not acquired by a second process until the lease of the first has expired', async () => {
    const clock = createManualClock();
    const { row, create } = setUp(clock);
    const [a, b] = [create('a'), create('b')];
    expect(await acquire(a)).toBe(1);
    row.deliver(a, b);
    await clock.advance(leaseMs + orderWindowMs);
    expect(await acquire(b)).toBeUndefined();
    await clock.advance(500);
    expect(await acquire(b)).toBe(2);
  });

  it('is lost by a holder after another process acquired it', async () => {
    const clock = createManualClock();
    const { row, create } = setUp(clock);
    const [a, b] = [create('a'), create('b')];
    await acquire(a);
    row.deliver(a, b);
    await clock.advance(5_000);
    expect(await acquire(b)).toBe(2);
    expect(await acquire(a)).toBeUndefined();
    row.deliver(a);
    expect(a.isHolder).toBe(false);
  });

  // Guards against numbers that engines have seen before, or that are lower.
  it('continues its fencing numbers after a row that can not be decoded', async () => {
    const clock = createManualClock();
    const { row, create } = setUp(clock);
    const [a, b] = [create('a'), create('b')];
    await acquire(a);
    await row.table.transact(
      [{ partition: '', sort: 'order-holder', value: '{', condition: { version: 1 } }],
      noCancellation,
    );
    row.deliver(b);
    await clock.advance(5_000);
    expect(await acquire(b)).toBe(3);
  });

  it('is renewed by the holder before each later order', async () => {
    const clock = createManualClock();
    const { row, create } = setUp(clock);
    const [a, b] = [create('a'), create('b')];
    for (let round = 0; round < 4; round += 1) {
      expect(await acquire(a)).toBe(1);
      row.deliver(a, b);
      await clock.advance(2_000);
      expect(await acquire(b)).toBeUndefined();
    }
  });

  it('is invalid after a suspension that the monotonic clock did not count', async () => {
    const base = createManualClock();
    let suspendedMs = 0;
    const clock: ManualClock = { ...base, wallTime: () => base.wallTime() + suspendedMs };
    const { row, create } = setUp(clock);
    const [a, b] = [create('a', clock), create('b', base)];
    await acquire(a);
    row.deliver(a, b);
    await base.advance(5_000);
    await acquire(b);
    // The machine of the first holder was suspended for all of that time.
    suspendedMs = 5_000;
    expect(await acquire(a)).toBeUndefined();
  });

  it('is shared by concurrent orders of one process', async () => {
    const { create } = setUp();
    const a = create('a');
    expect(await Promise.all([acquire(a), acquire(a), acquire(a)])).toEqual([1, 1, 1]);
  });

  it('returns no fencing number while the store is down or when its reply was lost', async () => {
    const { row, create } = setUp();
    const a = create('a');
    row.setFault('down');
    expect(await acquire(a)).toBeUndefined();
    row.setFault('lost');
    expect(await acquire(a)).toBeUndefined();
    row.setFault('none');
    expect(await acquire(a)).toBeUndefined();
    row.deliver(a);
    expect(await acquire(a)).toBe(1);
  });
});
