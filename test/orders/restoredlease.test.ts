import { describe, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createOnDemandOrderLease } from '../../src/orders/ondemandlease.js';
import { createManualClock } from '../standins/clock.js';
import { createRestorableStore, type StoreCopy } from '../standins/platform/restorablestore.js';

const leaseMs = 3_000;

const leaseRow = { partition: '', sort: 'order-holder' };

function setUp() {
  const clock = createManualClock();
  const store = createRestorableStore(clock);

  /** Waits for the result of a call that takes no time on the clock. */
  const settled = async <T>(promise: Promise<T>): Promise<T> => {
    await clock.advance(0);
    return promise;
  };

  const start = (holder: string) => {
    const table = store.connect();
    const lease = createOnDemandOrderLease({
      clock,
      log: createNullLogger(),
      table,
      eras: table.eras,
      holder,
      leaseMs,
    });
    return {
      lease,
      acquire: () => settled(lease.acquire(noCancellation)),
      /** Delivers the row as the watch of the table does. */
      async observe() {
        const item = await settled(table.get(leaseRow, noCancellation));
        if (item) lease.observe(item.value, item.version);
      },
    };
  };
  return { clock, store, start };
}

describe('order lease of a store that came back from an older copy', () => {
  // Guards against leases that nobody acquires any more because the row went back (VERSION).
  it.each(['an older row', 'no row'] as const)(
    'is acquired again when the copy has %s',
    async (content) => {
      const { clock, store, start } = setUp();
      const [a, b] = [start('a'), start('b')];
      const copies: Record<typeof content, StoreCopy> = {
        'no row': store.copy(),
        'an older row': store.copy(),
      };
      await a.acquire();
      copies['an older row'] = store.copy();
      for (let renewals = 0; renewals < 3; renewals += 1) {
        await clock.advance(leaseMs);
        await a.observe();
        await a.acquire();
      }
      await a.observe();
      await b.observe();
      store.restore(copies[content]);
      const acquired: string[] = [];
      for (let tries = 0; tries < 40; tries += 1) {
        await clock.advance(250);
        if ((await b.acquire()) !== undefined) acquired.push('b');
      }
      expect(acquired).not.toEqual([]);
    },
  );
});
