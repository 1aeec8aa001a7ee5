/**
 * Measures the time until a configuration change is in force, a failure of an agent is detected and
 * a restarted entry serves requests, and counts calls to the table: `npm run recovery`.
 *
 * Three entries and nine agents run the code of the daemon in this process over loopback, with a
 * DynamoDB stand-in that has a latency of 2 ms.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { createPeerConnector } from '../src/adapters/connect/connector.js';
import { statusIntervalFor } from '../src/adapters/connect/agentservice.js';
import { createDynamodbTable } from '../src/adapters/dynamodb/table.js';
import { hashKey } from '../src/configuration/replica.js';
import { type DaemonProcess } from '../src/daemon/process.js';
import { type PeerClient } from '../src/ports/agents.js';
import { type InstancesPort, type ListedInstance } from '../src/ports/instances.js';
import { type TablePort } from '../src/ports/table.js';
import { startDynamodb } from '../test/standins/dynamodb.js';
import { startEngine } from '../test/standins/engine.js';
import { startProxy } from '../test/standins/proxy.js';
import { siteCredential, startSiteAgent, startSiteEntry, teamKey } from '../test/standins/site.js';

const model = 'test-model';
const token = 'recovery-operator-token';
const submissions = 20;
const pollMs = 10;
const waitTimeoutMs = 20_000;
/** Period over which calls to the table are counted. */
const tableCountPeriodMs = 5_000;

const results: [string, string][] = [];
const report = (name: string, value: string): void => {
  results.push([name, value]);
  process.stdout.write(`${name}: ${value}\n`);
};
const round = (value: number): number => Math.round(value);

const store = await startDynamodb();
store.latencyMs = 2;
const awsOptions = { region: 'local', accessKey: 'x', secretKey: 'x' };
const dynamodbTable = createDynamodbTable({
  ...awsOptions,
  endpoint: store.url,
  tableName: 'cicadatide',
});
const tableCalls = { reads: 0, writes: 0 };
const table: TablePort = {
  get(...args) {
    tableCalls.reads += 1;
    return dynamodbTable.get(...args);
  },
  query(...args) {
    tableCalls.reads += 1;
    return dynamodbTable.query(...args);
  },
  transact(...args) {
    tableCalls.writes += 1;
    return dynamodbTable.transact(...args);
  },
};

const targetNames = Array.from({ length: 9 }, (_, index) => `engine-${index + 1}`);
const engines = await Promise.all(targetNames.map(() => startEngine({ model })));
const sections = { operators: { bootstrap_token_hash: hashKey(token) } };
let entries: DaemonProcess[] = [];
let agents: DaemonProcess[] = [];
let proxies: Awaited<ReturnType<typeof startProxy>>[] = [];
const listedInstances = new Map<string, ListedInstance>();
const instances: InstancesPort = { list: async () => [...listedInstances.values()] };
const adapters = { table, instances };

function listInstance(instance: string, role: 'entry' | 'agent', address: string): void {
  listedInstances.set(instance, { instance, role, address, dataCentre: 'dc1', leaving: false });
}

async function startEntry(name: string): Promise<DaemonProcess> {
  const entry = await startSiteEntry({ name, agents: [], sections, adapters });
  listInstance(name, 'entry', entry.addresses.internal);
  return entry;
}

/** Starts an agent and a proxy; entries can reach the agent only through the proxy. */
async function startAgent(index: number): Promise<void> {
  const name = targetNames[index] ?? '';
  const agent = await startSiteAgent({ name, url: engines[index]?.url ?? '', adapters });
  const proxy = await startProxy(agent.addresses.internal);
  listInstance(`agent-${name}`, 'agent', proxy.url);
  agents[index] = agent;
  proxies[index] = proxy;
}

async function startAll(): Promise<void> {
  await Promise.all(targetNames.map((_name, index) => startAgent(index)));
  entries = await Promise.all(['entry-1', 'entry-2', 'entry-3'].map(startEntry));
}

async function callOperatorApi(entry: DaemonProcess, path: string, body?: unknown) {
  const res = await fetch(`${entry.addresses.operators}/v1/${path}`, {
    method: body ? 'POST' : 'GET',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    ...(body !== undefined && { body: JSON.stringify(body) }),
  });
  return (await res.json()) as Record<string, unknown>;
}

async function waitFor(check: () => Promise<boolean>): Promise<number> {
  const startedAt = performance.now();
  while (!(await check())) {
    if (performance.now() - startedAt > waitTimeoutMs) return Infinity;
    await delay(pollMs);
  }
  return performance.now() - startedAt;
}

const isServing = async (entry: DaemonProcess, target: string): Promise<boolean> => {
  const { targets } = await callOperatorApi(entry, 'status');
  const views = targets as { readonly target: string; readonly state: string }[];
  return views.some((view) => view.target === target && view.state === 'serving');
};

const allServing = async (): Promise<boolean> => {
  for (const entry of entries) {
    for (const name of targetNames) if (!(await isServing(entry, name))) return false;
  }
  return true;
};

const canServeCallers = async (entry: DaemonProcess): Promise<boolean> => {
  const res = await fetch(`${entry.addresses.callers}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${teamKey('red')}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, prompt: 'x', max_tokens: 1 }),
  });
  await res.arrayBuffer();
  return res.ok;
};

async function submit(kind: string, value: { readonly name: string }): Promise<number> {
  const change = { submissionId: randomUUID(), kind, name: value.name, baseRevision: 0, value };
  const reply = await callOperatorApi(entries[0] as DaemonProcess, 'records', change);
  if (reply['state'] !== 'accepted')
    throw new Error(`the record was rejected: ${JSON.stringify(reply)}`);
  return Number(reply['revision']);
}

/** Returns the revision in force at a node, or -1 if the node has none or does not reply. */
async function revisionOf(client: PeerClient): Promise<number> {
  const known = { knownRevision: BigInt(Number.MAX_SAFE_INTEGER) };
  const reply = await client.getConfiguration(known).catch(() => undefined);
  return reply ? Number(reply.revision) : -1;
}

/** Measures the time from each submission until every process reports its revision. */
async function measureInForce(): Promise<void> {
  const connector = createPeerConnector(siteCredential);
  const nodes = [...entries, ...agents].map(({ addresses }) => connector.entry(addresses.internal));
  const allReady = async (): Promise<boolean> =>
    (await Promise.all(nodes.map(({ client }) => revisionOf(client)))).every(
      (revision) => revision >= 0,
    );
  const readyMs = await waitFor(allReady);
  if (readyMs === Infinity) throw new Error('some nodes have no configuration');
  process.stdout.write(`all nodes have a configuration after a further ${round(readyMs)} ms\n`);
  const durationsMs: number[] = [];
  for (let index = 0; index < submissions; index += 1) {
    const startedAt = performance.now();
    const accepted = submit('team', { name: `team-${index}` });
    const inForce = nodes.map(async ({ client }) => {
      const acceptedRevision = await accepted;
      const waitedMs = await waitFor(async () => (await revisionOf(client)) >= acceptedRevision);
      if (waitedMs === Infinity) throw new Error('a node did not apply the revision in time');
    });
    await Promise.all(inForce);
    durationsMs.push(performance.now() - startedAt);
    await delay(100);
  }
  for (const node of nodes) node.dispose();
  durationsMs.sort((a, b) => a - b);
  const p50 = round(durationsMs[Math.ceil(durationsMs.length / 2) - 1] ?? NaN);
  report('record in force on all 12 nodes, p50', `${p50} ms`);
  report('record in force on all 12 nodes, max', `${round(durationsMs.at(-1) ?? NaN)} ms`);
}

/** Measures the time until no entry lists the target as serving. */
async function measureDetection(name: string, index: number, fail: () => unknown): Promise<void> {
  const target = targetNames[index] ?? '';
  fail();
  const detectionTimes = entries.map((entry) =>
    waitFor(async () => !(await isServing(entry, target))),
  );
  const detectedMs = Math.max(...(await Promise.all(detectionTimes)));
  report(`no entry chooses a target after ${name}`, `${round(detectedMs)} ms`);
}

async function measureTable(name: string): Promise<void> {
  const before = { ...tableCalls };
  await delay(tableCountPeriodMs);
  const perSecond = (count: number, countBefore: number) =>
    (((count - countBefore) * 1_000) / tableCountPeriodMs).toFixed(1);
  const reads = perSecond(tableCalls.reads, before.reads);
  const writes = perSecond(tableCalls.writes, before.writes);
  report(`table calls ${name}`, `${reads} reads/s, ${writes} writes/s`);
}

await startAll();
await waitFor(
  async () => (await callOperatorApi(entries[0] as DaemonProcess, 'status'))['ready'] === true,
);
await submit('route', { name: model, kind: 'model' } as never);
await submit('team', { name: 'red', keyHashes: [hashKey(teamKey('red'))] } as never);
if ((await waitFor(allServing)) === Infinity)
  throw new Error('some entries do not list all targets as serving');
await measureTable('at rest');
await measureInForce();
const rounds = 3;
for (let roundIndex = 0; roundIndex < rounds; roundIndex += 1) {
  const suffix = `(run ${roundIndex + 1} of ${rounds})`;
  await measureDetection(`its planned leaving ${suffix}`, roundIndex * 3, () =>
    agents[roundIndex * 3]?.drain(),
  );
  await measureDetection(`its crash ${suffix}`, roundIndex * 3 + 1, () => {
    agents[roundIndex * 3 + 1]?.stop();
  });
  await measureDetection(`silence ${suffix}`, roundIndex * 3 + 2, () =>
    proxies[roundIndex * 3 + 2]?.silence(),
  );
}
const intervalMs = statusIntervalFor(entries.length);
report('three missed status intervals, computed', `${3 * intervalMs} ms`);

await store.stop();
entries[0]?.stop();
const restartedAt = performance.now();
entries[0] = await startEntry('entry-1');
await waitFor(() => canServeCallers(entries[0] as DaemonProcess));
const restartMs = round(performance.now() - restartedAt);
report('first response of an entry restarted while the table is down', `${restartMs} ms`);
await store.resume();

for (const daemon of [...entries, ...agents]) daemon.stop();
await startAll();
await measureTable('when all processes restart together');
for (const daemon of [...entries, ...agents]) daemon.stop();
for (const proxy of proxies) await proxy.close();
await Promise.all([...engines.map((engine) => engine.close()), store.stop()]);
dynamodbTable.dispose();
const width = Math.max(...results.map(([name]) => name.length));
const rows = results.map(([name, value]) => `| ${name.padEnd(width)} | ${value} |`);
process.stdout.write(`\n${rows.join('\n')}\n`);
process.exit(0);
