import { request } from 'node:http';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { model, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

let site: PlatformSite;
let nextId = 0;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

const nested = (depth: number): string => `${'['.repeat(depth)}${']'.repeat(depth)}`;

const valid = {
  service: 'desk',
  addr: '127.0.0.1:1',
  zone: 'north',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldLeftMs: 0,
  seq: 1,
};

const large = '1e400';

/** Bytes of registrations that another program wrote. */
const oddRegistrations: Readonly<Record<string, string>> = {
  'nested deeply': `{"service":"desk","models":${nested(20_000)}}`,
  'nested deeply in an unknown field': JSON.stringify(valid).replace(
    '{',
    `{"more":${nested(20_000)},`,
  ),
  'a list': nested(20_000),
  'slots too large': JSON.stringify(valid).replace('"slots":4', `"slots":${large}`),
  'slots larger than an integer': JSON.stringify({ ...valid, slots: Number.MAX_VALUE }),
  'weights too large': JSON.stringify({
    ...valid,
    service: 'llm',
    models: [{ name: model, version: Number.MAX_SAFE_INTEGER }],
  }),
  'started too late': JSON.stringify({ ...valid, born: Number.MAX_SAFE_INTEGER }),
  'port too large': JSON.stringify({ ...valid, addr: '127.0.0.1:70000' }),
  'port much too large': JSON.stringify({ ...valid, addr: '127.0.0.1:99999999999999999999' }),
  'port of zero': JSON.stringify({ ...valid, addr: '127.0.0.1:0' }),
  'negative port': JSON.stringify({ ...valid, addr: '127.0.0.1:-1' }),
  'no address': JSON.stringify({ ...valid, addr: '[:::::::::]:80' }),
  'names of properties': JSON.stringify({ ...valid, service: '__proto__', state: 'constructor' }),
  'not text': 'ÿþ{"service"',
};

it('odd registrations among those of the targets neither end a gateway nor hide others', async () => {
  const { addresses } = await site.startGateway('gw-1');
  for (const [id, text] of Object.entries(oddRegistrations))
    site.store.putRaw('servers', `odd ${id}`, Buffer.from(text, 'latin1'));
  await site.startTarget('desk', { id: 'desk-1' });
  const send = (path: string, headers: Readonly<Record<string, string>> = {}): Promise<number> =>
    new Promise((resolve, reject) => {
      const caller = { Host: 'site.test', 'X-Api-Key': 'key-a', 'X-Deadline-Ms': '1500' };
      nextId += 1;
      const req = request(`${addresses.callers}${path}`, {
        headers: { ...caller, 'X-Request-Id': `request-${nextId}`, ...headers },
      });
      req.on('error', reject);
      req.on('response', (res) => {
        res.resume();
        res.on('close', () => resolve(res.statusCode ?? 0));
      });
      req.end();
    });
  await until(async () => (await send('/look/x')) === 200);
  await site.startTarget('llm', { id: 'llm-1', model });
  const prompt = { 'X-Model': model, 'X-Token-Count': '900,40', 'X-Prompt-Prefix': 'aa01:900' };
  await until(async () => (await send('/fit/x', prompt)) === 200);
  // Of the odd ones, three are valid where a gateway uses them.
  const listed = await fetch(`${addresses.operators}/metrics`).then((res) => res.text());
  expect(listed).toMatch(/^cicadatide_targets 5$/m);
});
