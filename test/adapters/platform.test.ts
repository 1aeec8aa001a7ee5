import { expect, test } from 'vitest';
import { createEndpointSliceInstances } from '../../src/adapters/endpointslice/instances.js';
import { createS3Objects } from '../../src/adapters/s3/objects.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { StoreReplyLostError, StoreUnavailableError } from '../../src/base/errors.js';
import { type EndpointConditions, startEndpointSlices } from '../standins/endpointslice.js';
import { startS3 } from '../standins/s3.js';

// Guards against corrupted objects and against reporting a lost write as one without effect.
test('the object store returns stored bytes and reports lost and refused writes', async () => {
  const http = await startS3();
  const credentials = { region: 'local', accessKey: 'key', secretKey: 'secret' };
  const objects = createS3Objects({ endpoint: http.url, bucket: 'results', ...credentials });
  const bytes = Uint8Array.from({ length: 70_000 }, (_value, index) => index % 251);
  expect(await objects.get('a/b c', noCancellation)).toBeUndefined();
  await objects.put('a/b c', bytes, noCancellation);
  expect(Buffer.from((await objects.get('a/b c', noCancellation)) ?? []).equals(bytes)).toBe(true);
  http.fault = 'dropAfter';
  const lost = objects.put('late', bytes, noCancellation);
  await expect(lost).rejects.toBeInstanceOf(StoreReplyLostError);
  http.fault = 'reject';
  const rejected = objects.put('never', bytes, noCancellation);
  await expect(rejected).rejects.toBeInstanceOf(StoreUnavailableError);
  http.fault = 'none';
  expect(await objects.get('late', noCancellation)).toHaveLength(bytes.length);
  expect(await objects.get('never', noCancellation)).toBeUndefined();
  objects.dispose();
  await http.stop();
});

const conditionRows: readonly (readonly [EndpointConditions, boolean])[] = [
  [{}, false],
  [{ ready: true, serving: true, terminating: false }, false],
  [{ ready: false, serving: false, terminating: false }, false],
  [{ ready: false, serving: true, terminating: true }, true],
  [{ ready: false, serving: false, terminating: true }, true],
  [{ ready: false, serving: true }, true],
];

// Guards against sending work to a terminating instance and against omitting a starting one.
test('the instance list maps conditions, roles and addresses', async () => {
  const slices = await startEndpointSlices();
  const instances = createEndpointSliceInstances(slices.http.url);
  const ip = '10.0.0.1';
  slices.publish([
    ...conditionRows.map(([conditions], index) => {
      return { name: `agent-${index}`, role: 'agent', ip, port: 9_000 + index, conditions };
    }),
    { name: 'entry-1', role: 'entry', ip: 'fd00::1', port: 9_100, zone: 'dc2' },
    { name: 'other', role: 'database', ip, port: 9_200 },
  ]);
  const listed = await instances.list(noCancellation);
  const agents = listed.filter(({ role }) => role === 'agent');
  expect(agents.map(({ leaving }) => leaving)).toEqual(conditionRows.map(([, leaving]) => leaving));
  expect(listed.at(-1)).toEqual({
    instance: 'entry-1',
    role: 'entry',
    address: 'http://[fd00::1]:9100',
    dataCentre: 'dc2',
    leaving: false,
  });
  slices.stale = true;
  slices.publish([]);
  expect(await instances.list(noCancellation)).toHaveLength(listed.length);
  for (const fault of ['reject', 'dropBefore', 'error', 'silent'] as const) {
    slices.http.fault = fault;
    await expect(instances.list(noCancellation)).rejects.toBeInstanceOf(StoreUnavailableError);
  }
  slices.http.fault = 'none';
  slices.stale = false;
  expect(await instances.list(noCancellation)).toEqual([]);
  instances.dispose();
  await slices.http.stop();
});
