import { expect, test } from 'vitest';
import { hashKey } from '../../src/configuration/replica.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { startDynamodb } from '../standins/dynamodb.js';
import { startEngine } from '../standins/engine.js';
import {
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
  waitUntil,
} from '../standins/site.js';

const model = 'test-model';
const operatorToken = 'bootstrap-token-of-the-site';

async function post(entry: DaemonProcess, body: object): Promise<Response> {
  return fetch(`${entry.addresses.operators}/v1/records`, {
    method: 'POST',
    headers: { authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
}

const isReady = async ({ addresses }: DaemonProcess): Promise<boolean> =>
  (await fetch(`${addresses.operators}/readyz`)).ok;

// Guards against an entry that can't start during a table outage although agents have the records.
test('a new entry gets its configuration from the agents when the table and all entries are down', async () => {
  const table = await startDynamodb();
  const engine = await startEngine({ model, decodeTokensPerSecond: 2_000 });
  const sections = {
    table: { endpoint: table.url },
    operators: { bootstrap_token_hash: hashKey(operatorToken) },
  };
  const first = await startSiteEntry({ name: 'entry-1', agents: [], sections });
  const agent = await startSiteAgent({
    name: 'engine-1',
    url: engine.url,
    entries: [first.addresses.internal],
  });
  const team = { name: 'red', keyHashes: [hashKey(teamKey('red'))] };
  const records = [
    { kind: 'team', name: 'red', value: team },
    { kind: 'route', name: model, value: { name: model, kind: 'model' } },
  ];
  for (const [index, record] of records.entries()) {
    const res = await post(first, { ...record, submissionId: `record-${index}`, baseRevision: 0 });
    expect(await res.json()).toMatchObject({ state: 'accepted', revision: index + 1 });
  }
  const agents = [agent.addresses.internal];
  const watcher = await startSiteEntry({ name: 'watcher', agents, sections });
  const headers = { authorization: `Bearer ${operatorToken}` };
  await waitUntil(async () => {
    const res = await fetch(`${watcher.addresses.operators}/v1/status`, { headers });
    const { configuration } = (await res.json()) as {
      configuration: { revision: number; inForce: number };
    };
    return configuration.revision === 2 && configuration.inForce === 2;
  });
  first.stop();
  watcher.stop();
  table.fault = 'dropBefore';

  const isolated = await startSiteEntry({ name: 'entry-2', agents: [], sections });
  const second = await startSiteEntry({ name: 'entry-3', agents, sections });
  await waitForRoute(second.addresses.callers ?? '', 'red', '/v1/completions', {
    model,
    prompt: 'x',
    max_tokens: 1,
  });
  expect(await isReady(second)).toBe(true);
  expect(await isReady(isolated)).toBe(false);
  const refused = await post(second, { ...records[0], submissionId: 'in-outage', baseRevision: 1 });
  expect(refused.status).toBe(503);
  expect(await refused.json()).toMatchObject({ state: 'unavailable' });
  table.fault = 'none';
  await waitUntil(() => isReady(isolated));
  for (const daemon of [agent, isolated, second]) daemon.stop();
  await Promise.all([engine.close(), table.stop()]);
});
