/**
 * Parts 1, 2, 3 and 6: an entry with idle agents, an agent with watching entries, an agent with the
 * cache events of its engine, and the table calls of an entry.
 */
import { agentRoutes, statusIntervalFor } from '../../src/adapters/connect/agentservice.js';
import { createPeerConnector } from '../../src/adapters/connect/connector.js';
import { listenInternal } from '../../src/adapters/connect/listener.js';
import { type Clock, systemClock } from '../../src/base/clock.js';
import { createDisposableStore } from '../../src/base/lifecycle.js';
import { createLogger } from '../../src/base/logging.js';
import { systemRandom } from '../../src/base/random.js';
import { createAgentDirectory } from '../../src/membership/directory.js';
import { maxConnectedAgents } from '../../src/membership/subset.js';
import { type EngineWorker } from '../../src/scheduling/worker.js';
import { startDynamodb } from '../../test/standins/dynamodb.js';
import { credential, startDaemon } from './daemons.js';
import { type EventEngine, startEventEngine } from './engine.js';
import { type Cost, measureDaemon, pause, printCosts } from './figures.js';
import { portOf, type TrafficCounter } from './traffic.js';

/** Number of entries and agents in a deployment of the expected size. */
const expectedCounts = { entries: 340, agents: 600 };

/** Status interval when the subsets of all entries are distributed evenly over the agents. */
const expectedIntervalMs = statusIntervalFor(
  (expectedCounts.entries * maxConnectedAgents) / expectedCounts.agents,
);

const log = createLogger('capacity', 'error');

/** Idle engine worker with only the fields that the status stream uses. */
const idleWorker = {
  status: {
    models: ['model'],
    adapters: [],
    role: 'mixed',
    weightsVersion: 'weights-1',
    incarnation: '01234567.engine-1',
    queueMs: 0,
    running: 0,
    places: 8,
    targetDown: false,
    reportedLoad: 0,
  },
} as unknown as EngineWorker;

/** Runs the measurement for all sizes concurrently and returns the results by size. */
async function measureSizes<T>(
  sizes: readonly number[],
  measure: (size: number) => Promise<T>,
): Promise<ReadonlyMap<number, T>> {
  const results = await Promise.all(sizes.map(measure));
  return new Map(sizes.map((size, index) => [size, results[index] as T]));
}

/**
 * Creates a clock whose timer delays are multiplied by a factor, to imitate the longer status
 * interval of an agent with more subscribers.
 */
function createSlowClock(factor: number): Clock {
  const setTimer: Clock['setTimer'] = (delayMs, callback) =>
    systemClock.setTimer(delayMs * factor, callback);
  return { ...systemClock, setTimer };
}

function startIdleAgent(name: string, intervalFactor: number) {
  const routes = agentRoutes({
    clock: createSlowClock(intervalFactor),
    identity: { instance: name, target: name, kind: 'engine', dataCentre: 'dc-1' },
    engine: idleWorker,
    service: undefined,
    orders: undefined,
    serviceRoute: '',
    isLeaving: () => false,
    onLeaving: () => ({ dispose: () => undefined }),
    configurationRevision: () => 1n,
  });
  return listenInternal({ host: '127.0.0.1', port: 0 }, credential, routes);
}

async function measureEntry(agentCount: number, traffic: TrafficCounter, intervalFactor = 1) {
  const names = Array.from(
    { length: agentCount },
    (_item, index) => `agent-${agentCount}-${index + 1}`,
  );
  const agents = await Promise.all(names.map((name) => startIdleAgent(name, intervalFactor)));
  const table = await startDynamodb();
  const tableRequests = (): number => table.counts.requests();
  const entry = await startDaemon('entry', `entry-${agentCount}`, {
    ...(agentCount > 0 && {
      peers: { agents: agents.map(({ address }) => address.replace('http://', '')).join(', ') },
    }),
    table: { endpoint: table.url },
  });
  const ports = new Set(agents.map(({ address }) => portOf(address)));
  const started = performance.now();
  const requestsBefore = tableRequests();
  const cost = await measureDaemon(entry, () => traffic.bytes(ports));
  const seconds = (performance.now() - started) / 1_000;
  const tableCallsPerSecond = (tableRequests() - requestsBefore) / seconds;
  await entry.stop();
  for (const agent of agents) agent.destroy();
  await table.stop();
  return { cost, tableCallsPerSecond };
}

/** Parts 1 and 6: one entry with different numbers of idle agents, and its table calls. */
export async function runEntryPart(traffic: TrafficCounter): Promise<void> {
  const [results, expectedSize] = await Promise.all([
    measureSizes([0, 8, 32, 96], (count) => measureEntry(count, traffic)),
    measureEntry(maxConnectedAgents, traffic, expectedIntervalMs / statusIntervalFor(1)),
  ]);
  const costs = new Map([...results].map(([size, { cost }]) => [size, cost]));
  printCosts('1. One entry against agents at rest', 'agent', costs);
  const { corePercent, residentMb, bytesPerSecond } = expectedSize.cost;
  console.log(
    `  ${maxConnectedAgents} agents with a status every ${expectedIntervalMs} ms: ` +
      `${corePercent.toFixed(2)}% of a core, ${residentMb.toFixed(1)} MB, ` +
      `${Math.round(bytesPerSecond)} B/s`,
  );
  console.log('\n6. Table calls of one entry at rest');
  for (const [size, { tableCallsPerSecond }] of results) {
    console.log(`  ${size} agents: ${tableCallsPerSecond.toFixed(2)} calls/s`);
  }
}

/** Starts an agent daemon with the engine as its target. */
export async function startAgentDaemon(name: string, engine: EventEngine) {
  const target = { name, kind: 'engine', url: engine.url };
  return startDaemon('agent', name, { target });
}

async function measureAgent(entryCount: number, traffic: TrafficCounter): Promise<Cost> {
  const engine = await startEventEngine();
  const agent = await startAgentDaemon(`agent-${entryCount}`, engine);
  const resources = createDisposableStore();
  for (let index = 1; index <= entryCount; index += 1) {
    resources.add(
      createAgentDirectory({
        clock: systemClock,
        random: systemRandom,
        log,
        connector: createPeerConnector(credential),
        instances: undefined,
        staticAgents: [agent.addresses.internal],
        self: { instance: `entry-${index}`, dataCentre: 'dc-1' },
      }),
    );
  }
  const ports = new Set([portOf(agent.addresses.internal)]);
  const cost = await measureDaemon(agent, () => traffic.bytes(ports));
  resources.dispose();
  await agent.stop();
  engine.close();
  return cost;
}

/** Part 2: one agent with different numbers of watching entries. */
export async function runAgentPart(traffic: TrafficCounter): Promise<void> {
  const costs = await measureSizes([0, 8, 32, 96], (count) => measureAgent(count, traffic));
  printCosts('2. One agent against watching entries at rest', 'entry', costs);
}

/** Delay in which the agent connects to the event stream of the engine. */
const eventStreamConnectMs = 1_000;

async function measureEvents(rate: number, blocks: number, traffic: TrafficCounter) {
  const engine = await startEventEngine();
  const agent = await startAgentDaemon(`agent-events-${rate}`, engine);
  await pause(eventStreamConnectMs);
  engine.fill(blocks);
  if (rate > 0) engine.setRate(rate);
  const ports = new Set([portOf(engine.url)]);
  const cost = await measureDaemon(agent, () => traffic.bytes(ports));
  await agent.stop();
  engine.close();
  return cost;
}

/** Part 3: an agent with cache events at different rates, then with different index sizes. */
export async function runEventsPart(traffic: TrafficCounter): Promise<void> {
  const rates = await measureSizes([0, 100, 400, 1_600], (rate) =>
    measureEvents(rate, 30_000, traffic),
  );
  printCosts('3a. One agent, cache events with 30,000 blocks', 'event/s', rates);
  const sizes = await measureSizes([0, 30_000, 65_000, 130_000], (blocks) =>
    measureEvents(0, blocks, traffic),
  );
  printCosts('3b. One agent, index size without events', 'block', sizes);
}
