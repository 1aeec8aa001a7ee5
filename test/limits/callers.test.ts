import { afterAll, beforeAll, expect, test } from 'vitest';
import { hashKey } from '../../src/configuration/replica.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { record, siteRecords, startSiteEntry, teamKey } from '../standins/site.js';

let entry: DaemonProcess;

beforeAll(async () => {
  const { records } = siteRecords(['blue'], ['m'], ['desk']);
  const limits = { requestsPerSecond: 0.01 };
  const teams = ['red', 'green'].map((name) =>
    record('team', { name, keyHashes: [hashKey(teamKey(name))], limits } as never),
  );
  const configuration = { revision: 1, records: [...records, ...teams] };
  entry = await startSiteEntry({ name: 'entry-1', agents: [], configuration });
});

afterAll(() => {
  entry.stop();
});

// Guards against a limit that isn't enforced, gives a wrong wait, or applies to another team.
test.each([
  ['completions', '/v1/completions', 'red'],
  ['services', '/services/desk/orders', 'green'],
])('a team over its limit is refused with Retry-After: %s', async (_name, path, team) => {
  const send = (name: string) =>
    fetch(`${entry.addresses.callers}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${teamKey(name)}` },
      body: JSON.stringify({ model: 'm', prompt: 'hello', max_tokens: 1 }),
    });
  expect((await send(team)).status).toBe(503);
  const refused = await send(team);
  expect(refused.status).toBe(429);
  expect(Number(refused.headers.get('retry-after'))).toBeGreaterThan(50);
  expect(refused.headers.get('x-cicadatide-work')).toBe('not-run');
  expect(await refused.json()).toMatchObject({ error: { code: 'teamLimit' } });
  expect((await send('blue')).status).toBe(503);
});
