import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import { createDynamodbTable, type DynamodbTable } from '../../src/adapters/dynamodb/table.js';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { StoreReplyLostError, StoreUnavailableError } from '../../src/base/errors.js';
import { type TablePort } from '../../src/ports/table.js';
import { startDynamodb } from '../standins/dynamodb.js';
import { type FaultyHttpServer, type HttpFault } from '../standins/httpfaults.js';

let http: FaultyHttpServer;
let dynamodb: DynamodbTable;

beforeAll(async () => {
  http = await startDynamodb();
  dynamodb = createDynamodbTable({
    endpoint: http.url,
    region: 'local',
    accessKey: 'key',
    secretKey: 'secret',
    tableName: 'cicadatide',
  });
});

afterAll(async () => {
  dynamodb.dispose();
  await http.stop();
});

const implementations: readonly (readonly [string, () => TablePort])[] = [
  ['memory', createMemoryTable],
  ['dynamodb', () => dynamodb],
];

// Guards against implementations that differ in conditions, versions, sort order or paging.
describe.each(implementations)('%s table', (_name, create) => {
  const put = (sort: string, version: number, value = 'v') => ({
    partition: 'contract',
    sort,
    value,
    condition: { version },
  });

  test('writes only when every condition is met, and increments versions', async () => {
    const table = create();
    const read = (sort: string) => table.get({ partition: 'contract', sort }, noCancellation);
    const transact = (...writes: Parameters<TablePort['transact']>[0]) =>
      table.transact(writes, noCancellation);
    expect(await read('a')).toBeUndefined();
    expect(await transact(put('a', 0), put('b', 0))).toBe('committed');
    expect(await transact(put('a', 0))).toBe('conflict');
    expect(await transact(put('c', 0), put('a', 7))).toBe('conflict');
    expect(await read('c')).toBeUndefined();
    expect(await transact(put('a', 1, 'é"\n'))).toBe('committed');
    expect(await read('a')).toEqual({
      partition: 'contract',
      sort: 'a',
      version: 2,
      value: 'é"\n',
    });
    const check = { partition: 'contract', sort: 'a', condition: { version: 2 } };
    expect(await transact(check, put('d', 0))).toBe('committed');
    expect((await read('a'))?.version).toBe(2);
    expect(await transact({ ...check, condition: { version: 1 } }, put('e', 0))).toBe('conflict');
    expect(await transact({ ...check, remove: true })).toBe('committed');
    expect(await read('a')).toBeUndefined();
    expect(await transact(put('a', 0))).toBe('committed');
  });

  test('queries one partition in key order, after a key and up to a limit', async () => {
    const table = create();
    const sorts = ['05', '01', '09', '03', '07'];
    const writes = sorts.map((sort) => ({ ...put(sort, 0), partition: 'ordered' }));
    expect(await table.transact(writes, noCancellation)).toBe('committed');
    const query = async (after: string, limit: number) => {
      const items = await table.query('ordered', after, limit, noCancellation);
      return items.map(({ sort }) => sort);
    };
    expect(await query('', 100)).toEqual(['01', '03', '05', '07', '09']);
    expect(await query('03', 100)).toEqual(['05', '07', '09']);
    expect(await query('', 4)).toEqual(['01', '03', '05', '07']);
    expect(await query('09', 4)).toEqual([]);
  });
});

const faults: readonly (readonly [HttpFault, typeof StoreReplyLostError, boolean])[] = [
  ['reject', StoreUnavailableError, false],
  ['dropBefore', StoreReplyLostError, false],
  ['dropAfter', StoreReplyLostError, true],
  ['error', StoreReplyLostError, true],
  ['silent', StoreReplyLostError, false],
];

// Guards against an error that reports "no effect" for a write that may have taken effect.
test.each(faults)(
  'a failed dynamodb write is reported with its possible effect: fault %s',
  async (fault, writeError, tookEffect) => {
    const key = { partition: 'faults', sort: fault };
    const before = http.counts.requests();
    http.fault = fault;
    const write = { ...key, value: 'v', condition: { version: 0 } };
    await expect(dynamodb.transact([write], noCancellation)).rejects.toBeInstanceOf(writeError);
    expect(http.counts.requests() - before).toBe(1);
    await expect(dynamodb.get(key, noCancellation)).rejects.toBeInstanceOf(StoreUnavailableError);
    http.fault = 'none';
    expect((await dynamodb.get(key, noCancellation)) !== undefined).toBe(tookEffect);
  },
);

// Guards against calls that wait indefinitely on a connection that no longer responds.
test('a silent connection is replaced, and a refused write has no effect', async () => {
  const key = { partition: 'faults', sort: 'connections' };
  await dynamodb.get(key, noCancellation);
  http.freezeConnections();
  const connections = http.counts.connections();
  await expect(dynamodb.get(key, noCancellation)).rejects.toBeInstanceOf(StoreUnavailableError);
  expect(await dynamodb.get(key, noCancellation)).toBeUndefined();
  expect(http.counts.connections()).toBeGreaterThan(connections);
  await http.stop();
  // The first call uses a connection that the table closed; only the second one is refused.
  await expect(dynamodb.get(key, noCancellation)).rejects.toBeInstanceOf(StoreUnavailableError);
  const write = { ...key, value: 'v', condition: { version: 0 } };
  const refused = dynamodb.transact([write], noCancellation);
  await expect(refused).rejects.toBeInstanceOf(StoreUnavailableError);
  await http.resume();
  expect(await dynamodb.transact([write], noCancellation)).toBe('committed');
});
