import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';
import { type Disposable } from '../../src/base/lifecycle.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { type SharedChanges, type TableSharing } from '../../src/configuration/sharing.js';
import { type RowChange, type TableWatch, watchTable } from '../../src/configuration/watch.js';
import { toVersion } from '../../src/storeera/version.js';
import { createManualClock } from '../standins/clock.js';
import { createRestorableStore, type StoreCopy } from '../standins/platform/restorablestore.js';

const table = 't';

const open: Disposable[] = [];

afterEach(() => {
  for (const item of open.splice(0)) item.dispose();
});

function setUp() {
  const clock = createManualClock();
  const store = createRestorableStore(clock);

  /** Starts a watch; `rows` are those that its listener was told of. */
  const start = (verifyMs?: () => number, sharing?: TableSharing) => {
    const rows = new Map<string, string>();
    const client = store.connect();
    const watch = watchTable({
      clock,
      random: createSeededRandom(1),
      log: createNullLogger(),
      feed: client,
      eras: client.eras,
      table,
      waitMs: () => 3_000,
      ...(verifyMs && { verifyMs }),
      sharing,
      onChange(change: RowChange) {
        if (change.isSnapshot) rows.clear();
        for (const { key, value } of change.rows) {
          if (value === undefined) rows.delete(key);
          else rows.set(key, value);
        }
      },
    });
    open.push(watch);
    return { watch, rows };
  };

  const put = (...items: readonly string[]): void => {
    for (const item of items) store.put(table, item.slice(0, 1), item);
  };
  return { clock, store, start, put };
}

type Site = ReturnType<typeof setUp>;

/** What happens between the restore and the first read; `copy` was taken before the row `b2`. */
const orders: Readonly<Record<string, (site: Site, copy: StoreCopy, watch: TableWatch) => void>> = {
  'nothing is written again': ({ store }, copy) => store.restore(copy),
  'the copy has all that was read': ({ store }) => store.restore(store.copy()),
  'fewer numbers are given out than the known ones'({ store, put }, copy) {
    store.restore(copy);
    put('b4');
  },
  'as many numbers are given out as the known ones'({ store, put }, copy) {
    store.restore(copy);
    put('b4', 'c5');
  },
  'numbers pass the known ones before the first read'({ store, put }, copy) {
    store.restore(copy);
    put('b4', 'c5', 'a6', 'a7');
  },
  'another row gets the number of a known one'({ store, put }, copy) {
    store.restore(copy);
    put('c4', 'b5');
  },
  'a removed row stands there again'({ store }, copy) {
    store.remove(table, 'a');
    store.restore(copy);
  },
  'the store comes back twice'({ store, put }, copy) {
    store.restore(copy);
    put('b4', 'c5');
    store.restore(store.copy());
    put('b6');
  },
  'a peer tells of a version of the new era'({ store, put }, copy, watch) {
    store.restore(copy);
    put('b4', 'c5');
    watch.expectVersion(toVersion(2, store.ver));
  },
  'a peer has not noticed it'({ store, put }, copy, watch) {
    store.restore(copy);
    put('b4');
    watch.expectVersion(toVersion(1, 1_000));
  },
};

describe('a table of a store that came back from an older copy', () => {
  // Guards against rows that are never read because their versions were given out again (CONFIG).
  it.each(Object.keys(orders))('is read when %s', async (name) => {
    const site = setUp();
    const { clock, store, start, put } = site;
    put('a1');
    const copy = store.copy();
    const { watch, rows } = start();
    await clock.advance(10);
    put('b2', 'c3');
    await clock.advance(100);
    orders[name]?.(site, copy, watch);
    // The open call waits at the store meanwhile; it ends 3 s after it began.
    await clock.advance(3_500);
    expect(Object.fromEntries(rows)).toEqual(
      Object.fromEntries(
        ['a', 'b', 'c'].flatMap((key) => {
          const value = store.read(table, key);
          return value === undefined ? [] : [[key, value]];
        }),
      ),
    );
  });

  it('is read by a watch that starts before its rows are written again', async () => {
    const { clock, store, start, put } = setUp();
    put('a1');
    const copy = store.copy();
    put('a2', 'a3');
    store.restore(copy);
    const { rows } = start();
    await clock.advance(10);
    expect([...rows.values()]).toEqual(['a1']);
    put('a2');
    await clock.advance(3_100);
    expect([...rows.values()]).toEqual(['a2']);
  });

  // Guards against a watch that waits for the end of its open call while another one knows the era.
  it('is read at once when another call has named the new era', async () => {
    const { clock, store, start, put } = setUp();
    put('a1');
    const { watch, rows } = start(() => 500);
    const copy = store.copy();
    await clock.advance(10);
    put('a2');
    await clock.advance(100);
    store.restore(copy);
    await clock.advance(900);
    expect([...rows.values()]).toEqual(['a1']);
    expect(watch.sinceFailureMs()).toBeLessThan(900);
  });

  // Guards against rows of one era that are taken over, or count as confirmed, in another one.
  it('takes over no changes that a process of another era has read', async () => {
    const { clock, store, start, put } = setUp();
    let apply: (changes: SharedChanges) => boolean = () => false;
    const published: number[] = [];
    const sharing: TableSharing = {
      isFollowing: () => false,
      hearsOthers: () => false,
      settleMs: () => 0,
      publish: ({ rows }) => published.push(rows.length),
      listen(listener) {
        apply = listener;
      },
      pack: () => undefined,
      merge: () => undefined,
    };
    put('a1');
    const { rows } = start(undefined, sharing);
    await clock.advance(10);
    const message = (era: number): SharedChanges => {
      const version = toVersion(era, store.ver);
      const later = { key: 'b', value: `b of era ${era}`, version: version + 1 };
      return { from: version, to: version + 1, ageMs: 0, rows: [later] };
    };
    const early = apply(message(2));
    store.restore(store.copy());
    await clock.advance(3_100);
    const late = apply(message(1));
    await clock.advance(10);
    expect({ early, late, rows: [...rows.values()], published }).toMatchInlineSnapshot(`
      {
        "early": false,
        "late": false,
        "published": [
          0,
          0,
        ],
        "rows": [
          "a1",
        ],
      }
    `);
  });

  // Guards against orders of writes, outages and restores after which a process has other rows.
  it('has the rows of the store after any series of events', async () => {
    const key = fc.constantFrom('a', 'b', 'c');
    const event = fc.oneof(
      fc.record({ kind: fc.constant('put' as const), key }),
      fc.record({ kind: fc.constant('remove' as const), key }),
      fc.record({ kind: fc.constant('copy' as const) }),
      fc.record({ kind: fc.constant('restore' as const) }),
      fc.record({ kind: fc.constant('away' as const), ms: fc.nat({ max: 1_500 }) }),
      fc.record({ kind: fc.constant('wait' as const), ms: fc.nat({ max: 4_000 }) }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 30 }), async (events) => {
        const { clock, store, start } = setUp();
        let copy = store.copy();
        const { watch, rows } = start(() => 1_000);
        for (const [index, item] of events.entries()) {
          if (item.kind === 'put') store.put(table, item.key, `${item.key}${index}`);
          if (item.kind === 'remove') store.remove(table, item.key);
          if (item.kind === 'copy') copy = store.copy();
          if (item.kind === 'restore') store.restore(copy);
          store.faults.isAway = item.kind === 'away';
          if ('ms' in item) await clock.advance(item.ms);
        }
        store.faults.isAway = false;
        await clock.advance(4_000);
        watch.dispose();
        for (const name of ['a', 'b', 'c']) expect(rows.get(name)).toBe(store.read(table, name));
      }),
      { seed: 56, numRuns: 300 },
    );
  });
});
