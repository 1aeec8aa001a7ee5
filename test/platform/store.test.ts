import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createHttpClient } from '../../src/base/httpclient.js';
import { systemClock } from '../../src/base/clock.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { StoreReplyLostError, StoreUnavailableError } from '../../src/base/errors.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createEraTracker } from '../../src/storeera/eras.js';
import { createPlatformStore, type PlatformStore } from '../../platform/store.js';
import { startStoreStandin, type StoreStandin } from '../standins/platform/store.js';

let standin: StoreStandin;
let store: PlatformStore;

beforeEach(async () => {
  standin = await startStoreStandin();
  const address = { host: '127.0.0.1', port: standin.port };
  const eras = createEraTracker({ clock: systemClock, log: createNullLogger() });
  store = createPlatformStore({ address, httpClient: createHttpClient(), eras });
});

afterEach(() => standin.close());

const key = { partition: '', sort: 'row' };

describe('the client of the platform store', () => {
  it('commits writes at the expected version and reports others as conflicts', async () => {
    const write = (value: string, version: number) =>
      store.transact([{ ...key, value, condition: { version } }], noCancellation);
    expect(await write('one', 0)).toBe('committed');
    expect(await write('two', 0)).toBe('conflict');
    const item = await store.get(key, noCancellation);
    expect(item).toMatchObject({ ...key, value: 'one' });
    expect(await write('three', item?.version ?? -1)).toBe('committed');
    const removal = { ...key, remove: true, condition: { version: (item?.version ?? 0) + 1 } };
    expect(await store.transact([removal], noCancellation)).toBe('committed');
    expect(await store.get(key, noCancellation)).toBeUndefined();
  });

  it('lists a table of more than one page', async () => {
    for (let count = 0; count < 620; count += 1) standin.put('big', `k${count}`, count);
    const { rows, version } = await store.list('big', noCancellation);
    expect([rows.length, version]).toEqual([620, 620]);
  });

  it('reports changes, removals and lost history', async () => {
    standin.put('op', 'a', 1);
    const { version } = await store.list('op', noCancellation);
    standin.put('op', 'a', 2);
    standin.remove('op', 'a');
    const change = await store.changes('op', version, 500, noCancellation);
    expect(change).toMatchObject({
      rows: [{ value: '2' }, { value: undefined }],
      version: version + 2,
    });
    standin.compact();
    expect(await store.changes('op', version, 500, noCancellation)).toBe('history-lost');
  });

  it('reports no change of a row in another partition', async () => {
    standin.put('op', 'config', 'of the operator');
    const { rows, version } = await store.list('op', noCancellation);
    standin.putInPartition('op', 'other', 'config', 'of another writer');
    standin.put('op', 'later', 1);
    const change = await store.changes('op', version, 500, noCancellation);
    expect(rows.map(({ key: rowKey }) => rowKey)).toEqual(['config']);
    expect(change).toMatchObject({ rows: [{ key: 'later' }], version: version + 2 });
  });

  it('reads the other rows of a reply that has a malformed one', async () => {
    standin.put('op', 'a', 1);
    standin.addMalformedRow('op');
    const { rows, version } = await store.list('op', noCancellation);
    standin.put('op', 'b', 2);
    const change = await store.changes('op', version, 500, noCancellation);
    expect(rows.map(({ key: rowKey }) => rowKey)).toEqual(['a']);
    expect(change).toMatchObject({ rows: [{ key: 'b' }] });
  });

  it('returns no changes after the wait has elapsed', async () => {
    expect(await store.changes('op', 0, 30, noCancellation)).toEqual({ rows: [], version: 0 });
  });

  it.each(['busy', 'reset', 'silent'] as const)(
    'rejects with StoreUnavailableError when the store is %s',
    async (fault) => {
      standin.fault = fault;
      await expect(store.get(key, noCancellation)).rejects.toThrow(StoreUnavailableError);
    },
  );

  it('rejects a write with StoreReplyLostError when its reply is lost', async () => {
    standin.fault = 'late';
    const write = store.transact(
      [{ ...key, value: 'x', condition: { version: 0 } }],
      noCancellation,
    );
    await expect(write).rejects.toThrow(StoreReplyLostError);
    expect(standin.rows('cicadatide').get('row')).toBe('x');
  });

  it('rejects with StoreUnavailableError when the store refuses connections', async () => {
    await standin.close();
    await expect(store.get(key, noCancellation)).rejects.toThrow(StoreUnavailableError);
  });
});
