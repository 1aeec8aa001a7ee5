import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createFreeLeaseMarker } from '../../src/orders/freelease.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createOnDemandOrderLease, orderWindowMs } from '../../src/orders/ondemandlease.js';
import { eraOf, numberOf } from '../../src/storeera/version.js';
import { createManualClock } from '../standins/clock.js';
import { createRestorableStore, type StoreCopy } from '../standins/platform/restorablestore.js';

const leaseMs = 3_000;

const leaseRow = { partition: '', sort: 'order-holder' };

const pairOf = (fencingNumber: number) => [eraOf(fencingNumber), numberOf(fencingNumber)];

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
      markFree: () => settled(lease.markFree(noCancellation)),
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

  // Guards against two machines that give orders with one fencing number (ONE).
  it('gives no holder a fencing number that another one had before', async () => {
    const { clock, store, start } = setUp();
    const [a, b] = [start('a'), start('b')];
    await a.observe();
    await b.observe();
    const copy = store.copy();
    await clock.advance(5_000);
    const first = await a.acquire();
    store.restore(copy);
    await clock.advance(5_000);
    await b.observe();
    await clock.advance(5_000);
    const second = await b.acquire();
    await a.observe();
    await clock.advance(5_000);
    const third = await a.acquire();
    expect([first, second, third].map((number) => pairOf(number ?? -1))).toMatchInlineSnapshot(`
      [
        [
          1,
          1,
        ],
        [
          2,
          1,
        ],
        [
          2,
          2,
        ],
      ]
    `);
  });

  // Guards against a process that knows only the copy and acts beside a holder that the copy lacks.
  it('is not acquired by a process that starts after the restore until other orders are old', async () => {
    const { clock, store, start } = setUp();
    const a = start('a');
    await a.observe();
    await clock.advance(5_000);
    const copy = store.copy();
    await a.acquire();
    store.restore(copy);
    const late = start('late');
    const acquiredAt: number[] = [];
    const startedAt = clock.now();
    for (let tries = 0; tries < 100 && acquiredAt.length === 0; tries += 1) {
      if ((await late.acquire()) !== undefined) acquiredAt.push(clock.now() - startedAt);
      await clock.advance(100);
    }
    expect(acquiredAt[0]).toBeGreaterThanOrEqual(leaseMs + orderWindowMs);
    expect(acquiredAt[0]).toBeLessThan(2 * leaseMs);
  });

  // Guards against late weights on days without a restore, when all processes start anew (VERSION).
  it('is acquired at once by a process that starts later in an era without orders', async () => {
    const { clock, store, start } = setUp();
    const a = start('a');
    await a.observe();
    const marker = createFreeLeaseMarker({
      clock,
      random: createSeededRandom(1),
      log: createNullLogger(),
      eras: { current: 1 },
      lease: a.lease,
      leaseMs,
      token: noCancellation,
    });
    marker.observeTable();
    await clock.advance(3 * leaseMs + 5_000);
    const free = store.copy();
    const first = await start('b').acquire();
    store.restore(free);
    const afterRestore = await start('c').acquire();
    expect({ first: pairOf(first ?? -1), afterRestore }).toMatchInlineSnapshot(`
      {
        "afterRestore": undefined,
        "first": [
          1,
          2,
        ],
      }
    `);
  });

  // Guards against rollouts that stop for seconds although the holder is known.
  it('is acquired at once by the process that has just acted', async () => {
    const { clock, store, start } = setUp();
    const a = start('a');
    await a.observe();
    await clock.advance(5_000);
    const copy = store.copy();
    const before = await a.acquire();
    await clock.advance(1_000);
    store.restore(copy);
    await a.observe();
    const after = await a.acquire();
    expect([before, after].map((number) => pairOf(number ?? -1))).toMatchInlineSnapshot(`
      [
        [
          1,
          1,
        ],
        [
          2,
          1,
        ],
      ]
    `);
  });

  // Guards against a former holder that acts at once because the row names it again.
  it('is not acquired at once by a holder whose successor the copy lacks', async () => {
    const { clock, store, start } = setUp();
    const [a, b] = [start('a'), start('b')];
    await a.acquire();
    await clock.advance(5_000);
    await a.acquire();
    const copy = store.copy();
    await b.observe();
    await clock.advance(5_000);
    expect(await b.acquire()).toBeDefined();
    store.restore(copy);
    await a.observe();
    expect(await a.acquire()).toBeUndefined();
    expect(a.lease.isHolder).toBe(false);
  });

  // Guards against series of restores, restarts and missed changes in which two processes act.
  it('lets no two processes act within its duration, whatever happens', async () => {
    const name = fc.constantFrom('a', 'b', 'c');
    const event = fc.oneof(
      { weight: 3, arbitrary: fc.record({ kind: fc.constant('acquire' as const), name }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('observe' as const), name }) },
      fc.record({ kind: fc.constant('restart' as const), name }),
      fc.record({ kind: fc.constant('markFree' as const), name }),
      fc.record({ kind: fc.constant('copy' as const) }),
      fc.record({ kind: fc.constant('restore' as const) }),
      fc.record({ kind: fc.constant('wait' as const), ms: fc.nat({ max: 5_000 }) }),
      fc.record({ kind: fc.constant('wait' as const), ms: fc.nat({ max: 900 }) }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 40 }), async (events) => {
        const { clock, store, start } = setUp();
        let copy = store.copy();
        const processes = new Map(['a', 'b', 'c'].map((holder) => [holder, start(holder)]));
        const acts: { readonly holder: string; readonly at: number; readonly fence: number }[] = [];
        for (const item of events) {
          if (item.kind === 'wait') await clock.advance(item.ms);
          if (item.kind === 'copy') copy = store.copy();
          if (item.kind === 'restore') store.restore(copy);
          if (!('name' in item)) continue;
          if (item.kind === 'restart')
            processes.set(item.name, start(`${item.name}/${acts.length}`));
          const found = processes.get(item.name);
          // Rejects when the write was applied in an era that the process doesn't know.
          if (item.kind === 'markFree') await found?.markFree().catch(() => undefined);
          if (item.kind === 'observe') await found?.observe();
          const fence = item.kind === 'acquire' ? await found?.acquire() : undefined;
          if (fence !== undefined) acts.push({ holder: item.name, at: clock.now(), fence });
        }
        for (const [index, act] of acts.entries()) {
          const before = acts[index - 1];
          if (!before || before.holder === act.holder) continue;
          expect(act.at - before.at).toBeGreaterThanOrEqual(leaseMs);
          expect(act.fence).toBeGreaterThan(before.fence);
        }
      }),
      { seed: 56, numRuns: 2_000 },
    );
  });
});
