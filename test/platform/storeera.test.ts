import { describe, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { StoreReplyLostError, StoreUnavailableError } from '../../src/base/errors.js';
import { eraOf, numberOf } from '../../src/storeera/version.js';
import { createManualClock } from '../standins/clock.js';
import { createRestorableStore } from '../standins/platform/restorablestore.js';

const key = { partition: '', sort: 'row' };

function setUp() {
  const clock = createManualClock();
  const store = createRestorableStore(clock);
  const client = store.connect();
  const write = (version: number) =>
    client.transact([{ ...key, value: 'new', condition: { version } }], noCancellation);
  return { clock, store, client, write };
}

const pairOf = (version: number | undefined) =>
  version === undefined ? undefined : [eraOf(version), numberOf(version)];

describe('the client of a store that came back from an older copy', () => {
  it('gives versions of the new era to rows of the copy', async () => {
    const { store, client } = setUp();
    store.put('cicadatide', 'row', 'a');
    const copy = store.copy();
    store.put('cicadatide', 'row', 'b');
    const before = await client.get(key, noCancellation);
    store.restore(copy);
    const after = await client.get(key, noCancellation);
    expect([before, after].map((item) => [item?.value, pairOf(item?.version)])).toEqual([
      ['b', [1, 2]],
      ['a', [2, 1]],
    ]);
  });

  // Guards against changes that are never read because their numbers were given out again (CONFIG).
  it.each(['known', 'not known yet'])('loses its history when the new era is %s', async (state) => {
    const { store, client } = setUp();
    const copy = store.copy();
    store.put('op', 'a', '1');
    const { version } = await client.list('op', noCancellation);
    store.restore(copy);
    for (const value of ['2', '3']) store.put('op', 'b', value);
    if (state === 'known') await client.get(key, noCancellation);
    expect(await client.changes('op', version, 0, noCancellation)).toBe('history-lost');
  });

  // Guards against a write that replaces another row whose version has the same number.
  it('never reports a write as committed whose condition is of an earlier era', async () => {
    const { store, client, write } = setUp();
    const copy = store.copy();
    store.put('cicadatide', 'row', 'a');
    const item = await client.get(key, noCancellation);
    store.restore(copy);
    store.put('cicadatide', 'row', 'of another process');
    await expect(write(item?.version ?? 0)).rejects.toThrow(StoreReplyLostError);
    const { calls } = store;
    expect(await write(item?.version ?? 0)).toBe('conflict');
    expect(store.calls).toBe(calls);
  });

  it('discards responses of an earlier era that arrive late', async () => {
    const { clock, store, client, write } = setUp();
    const copy = store.copy();
    const deliver: (() => void)[] = [];
    store.faults.delay = () =>
      new Promise((resolve) => {
        deliver.push(resolve);
      });
    const late = [client.list('op', noCancellation), write(0)];
    const results = Promise.allSettled(late);
    await clock.advance(0);
    store.faults.delay = undefined;
    store.restore(copy);
    await client.get(key, noCancellation);
    for (const release of deliver) release();
    const reasons = (await results).map((result) => 'reason' in result && result.reason);
    expect(reasons[0]).toBeInstanceOf(StoreUnavailableError);
    expect(reasons[1]).toBeInstanceOf(StoreReplyLostError);
  });

  it('reads no table across two eras', async () => {
    const { store, client } = setUp();
    for (let count = 0; count < 620; count += 1) store.put('op', `k${count}`, 'v');
    store.faults.delay = () => {
      store.faults.delay = undefined;
      store.restore(store.copy());
      return undefined;
    };
    await expect(client.list('op', noCancellation)).rejects.toThrow(StoreUnavailableError);
  });

  it.each(['x', undefined])('ignores responses whose era is %s', async (era) => {
    const { store, client } = setUp();
    store.put('cicadatide', 'row', 'a');
    await client.get(key, noCancellation);
    store.faults.era = era;
    await expect(client.get(key, noCancellation)).rejects.toThrow(StoreUnavailableError);
    expect(client.eras.current).toBe(1);
  });

  it('uses the numbers of the store when it names no era', async () => {
    const { store, client, write } = setUp();
    store.faults.era = undefined;
    store.put('cicadatide', 'row', 'a');
    expect((await client.get(key, noCancellation))?.version).toBe(1);
    expect(await write(1)).toBe('committed');
  });
});
