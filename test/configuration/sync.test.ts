import { Writable } from 'node:stream';
import { expect, test } from 'vitest';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { createLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { measureCoverage, type ConfigurationPeer } from '../../src/configuration/peers.js';
import { createConfigurationReader } from '../../src/configuration/reader.js';
import {
  type ConfigurationReplica,
  createConfigurationReplica,
} from '../../src/configuration/replica.js';
import { createConfigurationStore } from '../../src/configuration/store.js';
import {
  type ConfigurationUpdater,
  createConfigurationUpdater,
} from '../../src/configuration/sync.js';
import { createManualClock, type ManualClock } from '../standins/clock.js';
import { createFaultyTable, type FaultyTable } from '../standins/faultytable.js';

interface Node {
  readonly name: string;
  readonly replica: ConfigurationReplica;
  readonly sync: ConfigurationUpdater;
  /** False when calls to this node fail. */
  reachable: boolean;
}

/** Processes that are connected to each other and to one table in memory. */
function createSite(seed: number) {
  const clock: ManualClock = createManualClock();
  const table: FaultyTable = createFaultyTable(createMemoryTable());
  const nodes: Node[] = [];
  const lines: string[] = [];
  const write = (chunk: Buffer, _encoding: unknown, done: () => void) => {
    lines.push(chunk.toString('utf8'));
    done();
  };
  const log = createLogger('site', 'warn', new Writable({ write }));

  const toPeer = (node: Node): ConfigurationPeer => ({
    address: node.name,
    revision: node.replica.revision,
    async pull(known) {
      if (!node.reachable || !node.replica.ready) throw new Error('no answer');
      const { revision, records } = node.replica.snapshot();
      const changed = records.filter((record) => record.revision > known);
      const changes = { base: known, revision, records: changed };
      const reply = { instance: node.name, role: 'entry', revision };
      return { ...reply, changes: revision > known ? changes : undefined };
    },
    async notify(revision) {
      if (!node.reachable) throw new Error('no answer');
      node.sync.observeRevision(revision);
    },
  });

  const start = (name: string, role: 'entry' | 'agent' = 'entry'): Node => {
    const replica = createConfigurationReplica();
    const random = createSeededRandom(seed + nodes.length);
    const others = (prefix: string) => () =>
      nodes.filter((node) => node.name !== name && node.name.startsWith(prefix)).map(toPeer);
    const peers = {
      entries: others('entry'),
      agents: role === 'entry' ? others('agent') : () => [],
    };
    const reader = role === 'entry' ? createConfigurationReader(table) : undefined;
    const options = { clock, random, log, replica, reader, peers, required: true };
    const sync = createConfigurationUpdater(options);
    const node = { name, replica, sync, reachable: true };
    nodes.push(node);
    return node;
  };

  const stop = (node: Node): void => {
    node.sync.dispose();
    nodes.splice(nodes.indexOf(node), 1);
  };

  let changes = 0;
  const change = async (node: Node, name = 'red', remove = false): Promise<number> => {
    const random = createSeededRandom(seed);
    const store = createConfigurationStore({ clock, random, log, table, replica: node.replica });
    const current = await store.read('team', name, noCancellation);
    changes += 1;
    const outcome = await store.submit(
      {
        submissionId: `change-${changes}`.padEnd(12, '.'),
        kind: 'team',
        name,
        schemaVersion: 1,
        baseRevision: current?.revision ?? 0,
        value: { name, weight: changes },
        remove,
      },
      'ada',
      noCancellation,
    );
    expect(outcome.state).toBe('accepted');
    return outcome.revision;
  };

  return { clock, table, lines, nodes, start, stop, change };
}

// Guards against a process that keeps an old revision or a deleted record.
test('changes and deletions reach entries and agents by push and by pull', async () => {
  const { clock, start, change } = createSite(11);
  const [first, second] = [start('entry-1'), start('entry-2')];
  const agent = start('agent-1', 'agent');
  await clock.advance(3_000);
  expect([first.replica.ready, second.replica.ready, agent.replica.ready]).toEqual([
    true,
    true,
    true,
  ]);
  await first.sync.publishRevision(await change(first));
  expect(first.replica.get('team', 'red')?.weight).toBe(1);
  await clock.advance(250);
  expect(second.replica.get('team', 'red')?.weight).toBe(1);
  await clock.advance(1_500);
  expect(agent.replica.get('team', 'red')?.weight).toBe(1);
  await change(second, 'red', true);
  await clock.advance(3_000);
  for (const { replica } of [first, second, agent]) {
    expect(replica.revision).toBe(2);
    expect(replica.list('team')).toEqual([]);
  }
});

type Site = ReturnType<typeof createSite>;

const fallbacks: readonly (readonly [string, (site: Site) => Promise<void>])[] = [
  [
    'a stale read of the table',
    async ({ table, clock }) => {
      const get = table.get.bind(table);
      table.get = async (key, token) => {
        const item = await get(key, token);
        return item && { ...item, version: 1, value: '{"revision":1}' };
      };
      await clock.advance(5_000);
    },
  ],
  [
    'a late push',
    async ({ nodes, clock }) => {
      for (const { sync } of nodes) sync.observeRevision(1);
      await clock.advance(5_000);
    },
  ],
  [
    'a lagging peer during an outage',
    async ({ table, nodes, clock, start }) => {
      table.fault = 'down';
      const lagging = start('entry-lagging');
      lagging.replica.apply({ revision: 1, records: [] });
      for (const node of nodes) if (node !== lagging) node.reachable = false;
      await clock.advance(10_000);
      for (const node of nodes) node.reachable = true;
    },
  ],
  [
    'a restart of an entry during an outage beside a lagging peer',
    async ({ table, nodes, clock, start, stop }) => {
      const lagging = start('entry-lagging');
      lagging.replica.apply({ revision: 1, records: [] });
      lagging.sync.dispose();
      table.fault = 'down';
      stop(nodes[0] as Node);
      start('entry-1');
      await clock.advance(6_000);
      stop(lagging);
    },
  ],
  [
    'a restart of all entries during an outage',
    async ({ table, nodes, clock, start, stop }) => {
      table.fault = 'down';
      for (const node of nodes.filter(({ name }) => name.startsWith('entry'))) stop(node);
      start('entry-1');
      start('entry-2');
      await clock.advance(20_000);
    },
  ],
];

// Guards against a process that returns to an older revision.
test.each(fallbacks)('%s never returns a process to an older revision', async (_name, disturb) => {
  const site = createSite(23);
  const entry = site.start('entry-1');
  site.start('entry-2');
  site.start('agent-1', 'agent');
  await site.clock.advance(3_000);
  for (let count = 0; count < 3; count += 1)
    await entry.sync.publishRevision(await site.change(entry));
  await site.clock.advance(2_000);
  expect(site.nodes.map(({ replica }) => replica.revision)).toEqual([3, 3, 3]);
  const seen: number[] = [];
  for (const { replica } of site.nodes) replica.onDidChange(() => seen.push(replica.revision));
  await disturb(site);
  expect(Math.min(3, ...seen)).toBe(3);
  for (const { replica } of site.nodes) {
    expect(replica.revision).toBe(3);
    expect(replica.get('team', 'red')?.weight).toBe(3);
  }
});

// Guards against a start without a received configuration, and against an end of the retries.
test('a process without a table and peers is not ready and keeps retrying', async () => {
  const { clock, table, lines, start } = createSite(31);
  table.fault = 'down';
  const entry = start('entry-1');
  await clock.advance(60_000);
  expect(entry.replica.ready).toBe(false);
  expect(table.reads).toBeGreaterThan(12);
  expect(lines.join('')).toContain('check [table] endpoint and [peers] entries');
  table.fault = 'none';
  await clock.advance(5_500);
  expect(entry.replica.ready).toBe(true);
});

// Guards against a thundering herd when no peer replies, and against loss of unknown kinds.
test('340 entries that start without peers stay below 2,000 reads per second', async () => {
  const { clock, table, nodes, start } = createSite(53);
  const size = 1_100;
  const put = (partition: string, sort: string, value: object) => {
    const write = { partition, sort, value: JSON.stringify(value), condition: { version: 0 } };
    return table.transact([write], noCancellation);
  };
  for (let revision = 1; revision <= size; revision += 1) {
    const record = { kind: 'future', name: `r${revision}`, schemaVersion: 9, revision };
    await put('config.record', `future/r${revision}`, {
      ...record,
      value: { x: 1 },
      deleted: false,
    });
  }
  await put('config.head', 'head', { revision: size });
  for (let index = 1; index <= 340; index += 1) start(`entry-${index}`).reachable = false;
  const counts: number[] = [];
  for (let second = 0; second < 4; second += 1) {
    const before = table.reads;
    await clock.advance(1_000);
    counts.push(table.reads - before);
  }
  if (process.env.CICADATIDE_SHOW_FIGURES) console.log(JSON.stringify(counts));
  expect(Math.max(...counts)).toBeLessThan(1_300);
  for (const { replica } of nodes) expect(replica.snapshot().records).toHaveLength(size);
  expect(nodes[0]?.replica.snapshot().records[0]?.value).toEqual({ x: 1 });
}, 60_000);

// Guards against more table reads than the platform serves, also after an outage.
test('340 entries and 600 agents stay below 2,000 reads per second', async () => {
  const { clock, table, start, nodes, change } = createSite(47);
  for (let index = 1; index <= 340; index += 1) start(`entry-${index}`);
  for (let index = 1; index <= 600; index += 1) start(`agent-${index}`, 'agent');
  const readsOf = async (seconds: number): Promise<readonly number[]> => {
    const counts: number[] = [];
    for (let second = 0; second < seconds; second += 1) {
      const before = table.reads;
      await clock.advance(1_000);
      counts.push(table.reads - before);
    }
    return counts;
  };
  const phases = { start: await readsOf(3), steady: await readsOf(3) };
  const entry = nodes[0] as Node;
  await entry.sync.publishRevision(await change(entry));
  const changed = await readsOf(2);
  const covered = measureCoverage(
    1,
    nodes.map(({ name, replica }) => ({
      address: name,
      instance: name,
      role: 'agent',
      revision: replica.revision,
    })),
  );
  expect(covered).toMatchObject({ inForce: 940, known: 940 });
  table.fault = 'down';
  const outage = await readsOf(8);
  table.fault = 'none';
  const figures = { ...phases, changed, outage, back: await readsOf(4) };
  for (const counts of Object.values(figures)) expect(Math.max(...counts)).toBeLessThan(2_000);
  expect(Math.max(...figures.steady)).toBeLessThanOrEqual(Math.ceil(340 / 0.75));
  expect(Math.max(...figures.changed)).toBeLessThanOrEqual(2 * 340 + Math.ceil(340 / 0.75));
  expect(Math.max(...figures.back)).toBeLessThanOrEqual(Math.ceil(340 / 0.75));
  if (process.env.CICADATIDE_SHOW_FIGURES) console.log(JSON.stringify(figures));
}, 60_000);
