import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { type AsyncQueue, createAsyncQueue } from '../../src/base/async.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { type AgentStatus, AgentStatusSchema } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createAgentDirectory } from '../../src/membership/directory.js';
import { maxConnectedAgents, selectSubset } from '../../src/membership/subset.js';
import { type PeerConnector } from '../../src/ports/agents.js';
import { type ListedInstance } from '../../src/ports/instances.js';
import { createManualClock } from '../standins/clock.js';

type StatusFields = Exclude<MessageInitShape<typeof AgentStatusSchema>, AgentStatus>;

const address = 'http://127.0.0.1:1';

function listedAgent(index: number, dataCentre = 'dc1', leaving = false): ListedInstance {
  const url = `http://127.0.0.1:${index}`;
  return { instance: `agent-${index}`, role: 'agent', address: url, dataCentre, leaving };
}

function createSite() {
  const clock = createManualClock();
  const streams: AsyncQueue<AgentStatus>[] = [];
  const state = { listed: [] as readonly ListedInstance[], listFails: false, disposed: 0 };
  const connector = {
    agent: () => ({
      address,
      client: {
        watch() {
          const stream = createAsyncQueue<AgentStatus>();
          streams.push(stream);
          return stream;
        },
      },
      reset: () => undefined,
      dispose() {
        state.disposed += 1;
      },
    }),
  } as unknown as PeerConnector;
  const directory = createAgentDirectory({
    clock,
    random: createSeededRandom(1),
    log: createNullLogger(),
    connector,
    instances: {
      async list() {
        if (state.listFails) throw new Error('list is down');
        return state.listed;
      },
    },
    staticAgents: [address],
    self: { instance: 'entry-1', dataCentre: 'dc1' },
  });
  const sendStatus = (fields: StatusFields = {}): void =>
    streams
      .at(-1)
      ?.push(
        create(AgentStatusSchema, { target: 't1', intervalMs: 250, incarnation: 'a', ...fields }),
      );
  /** Sends a status every 250 ms of the manual clock. */
  const sendStatuses = async (durationMs: number, fields: StatusFields = {}): Promise<void> => {
    for (let passed = 0; passed < durationMs; passed += 250) {
      sendStatus(fields);
      await clock.advance(250);
    }
  };
  return { clock, streams, state, directory, sendStatus, sendStatuses };
}

type Site = ReturnType<typeof createSite>;

const changes: readonly (readonly [string, (site: Site) => void, number])[] = [
  ['reports that it is leaving', (site) => site.sendStatus({ leaving: true }), 0],
  ['reports that its target is down', (site) => site.sendStatus({ targetDown: true }), 0],
  ['loses its connection', (site) => site.streams.at(-1)?.fail(new Error('reset')), 0],
  ['ends its status stream', (site) => site.streams.at(-1)?.end(), 0],
  ['fails a request', (site) => site.directory.reportFailure(address, 'refused'), 0],
  ['sends no status on an open connection', () => undefined, 1_500],
];

// Guards against new work for a target that is leaving, has crashed or no longer responds.
test.each(changes)('an agent that %s gets no new work', async (_name, change, afterMs) => {
  const site = createSite();
  await site.sendStatuses(1_000);
  expect(site.directory.usable()).toHaveLength(1);
  change(site);
  await site.clock.advance(afterMs);
  expect(site.directory.usable()).toHaveLength(0);
  site.directory.dispose();
});

// Guards against further use of a leaving target whose own report of leaving is lost.
test('an agent listed as leaving is unusable within 3 s although it still reports', async () => {
  const site = createSite();
  site.state.listed = [listedAgent(1)];
  await site.sendStatuses(4_000);
  expect(site.directory.usable()).toHaveLength(1);
  site.state.listed = [listedAgent(1, 'dc1', true)];
  await site.sendStatuses(3_000);
  expect(site.directory.usable()).toHaveLength(0);
  site.directory.dispose();
});

// Guards against losing known agents when the platform's list is unavailable.
test('an agent stays usable while the list is unavailable or empty', async () => {
  const site = createSite();
  await site.sendStatuses(1_000);
  site.state.listFails = true;
  await site.sendStatuses(5_000);
  expect(site.directory.usable()).toHaveLength(1);
  site.state.listFails = false;
  await site.sendStatuses(5_000);
  expect(site.directory.usable()).toHaveLength(1);
  site.directory.dispose();
});

test('a restarted agent is usable again after its first status', async () => {
  const site = createSite();
  await site.sendStatuses(1_000);
  site.streams.at(-1)?.fail(new Error('reset'));
  await site.clock.advance(1_000);
  expect(site.streams.length).toBeGreaterThan(1);
  expect(site.directory.usable()).toHaveLength(0);
  await site.sendStatuses(250, { incarnation: 'b' });
  expect(site.directory.usable()[0]?.status?.incarnation).toBe('b');
  site.directory.dispose();
});

// Guards against more connections than the control traffic allows, and against remote ones first.
test('a large list is reduced to agents of the own data centre first, evenly over all agents', () => {
  const agents = Array.from({ length: 600 }, (_, index) => listedAgent(index, `dc${index % 7}`));
  const uses = new Map<string, number>();
  for (let entry = 0; entry < 340; entry += 1) {
    const owner = { instance: `entry-${entry}`, dataCentre: `dc${entry % 7}` };
    const subset = selectSubset(agents, owner);
    expect(subset).toHaveLength(maxConnectedAgents);
    const local = subset.filter(({ dataCentre }) => dataCentre === owner.dataCentre);
    expect(local.length).toBe(agents.filter((a) => a.dataCentre === owner.dataCentre).length);
    for (const { instance } of subset) uses.set(instance, (uses.get(instance) ?? 0) + 1);
  }
  expect(uses.size).toBe(600);
  expect(Math.max(...uses.values())).toBeLessThan(80);
});
