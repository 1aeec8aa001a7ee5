/** Parts 4 and 5: offers and the exchange of team usage between entries. */
import { createPeerConnector } from '../../src/adapters/connect/connector.js';
import { listenInternal } from '../../src/adapters/connect/listener.js';
import { peerRoutes } from '../../src/adapters/connect/peerservice.js';
import { systemClock } from '../../src/base/clock.js';
import { createLogger } from '../../src/base/logging.js';
import { createLimitAllocator } from '../../src/limits/allocator.js';
import { createUsageExchange } from '../../src/limits/usageexchange.js';
import { type TeamLimiter } from '../../src/limits/teamlimits.js';
import { type PeerClient, type PeerConnection } from '../../src/ports/agents.js';
import { credential } from './daemons.js';
import { startEventEngine } from './engine.js';
import { fitLine, pause } from './figures.js';
import { startAgentDaemon } from './nodes.js';
import { portOf, type TrafficCounter } from './traffic.js';

const log = createLogger('capacity', 'error');

const hashesPerOffer = 32;

const offerWindowMs = 4_000;

const connectDelayMs = 1_500;

const batchIntervalMs = 20;

/** Percent of a core that this process has used since `before`. */
function ownCorePercent(before: NodeJS.CpuUsage, seconds: number): number {
  const { user, system } = process.cpuUsage(before);
  return ((user + system) / 1e6 / seconds) * 100;
}

/** Part 4: offers with 32 hashes from this process to one agent. */
export async function runOffersPart(traffic: TrafficCounter): Promise<void> {
  console.log('\n4. Offers with 32 hashes: agent daemon and calling client');
  const engine = await startEventEngine();
  const agent = await startAgentDaemon('agent-offers', engine);
  const connection = createPeerConnector(credential).agent(agent.addresses.internal);
  await pause(connectDelayMs);
  engine.fill(30_000);
  const ports = new Set([portOf(agent.addresses.internal)]);
  const blockHashes = Array.from({ length: hashesPerOffer }, (_item, index) =>
    BigInt.asUintN(64, BigInt(index + 1) * 0x9e3779b97f4a7c15n),
  );
  const blockDepths = blockHashes.map((_hash, index) => (index + 1) * 15);
  let sent = 0;
  let refused = 0;
  const sendOffer = async (): Promise<void> => {
    sent += 1;
    const reply = await connection.client.offer({
      requestId: `0123456789abcdef0123456789-${sent}`,
      team: 'team-1',
      model: 'model',
      blockHashes,
      blockDepths,
      promptTokens: 8_000,
      outputTokens: 100,
      remainingMs: 30_000,
    });
    if (!reply.reservationId) refused += 1;
  };
  const points: {
    rate: number;
    agentCorePercent: number;
    clientCorePercent: number;
    bytes: number;
  }[] = [];
  // The first round is discarded: it warms up just-in-time compilation.
  for (const [round, rate] of [800, 0, 50, 200, 800].entries()) {
    const agentUsageBefore = await agent.usage();
    const ownUsageBefore = process.cpuUsage();
    const bytesBefore = traffic.bytes(ports);
    const start = performance.now();
    let startedCount = 0;
    while (performance.now() - start < offerWindowMs) {
      const dueCount = Math.floor(((performance.now() - start) * rate) / 1_000);
      for (; startedCount < dueCount; startedCount += 1) sendOffer().catch(() => (refused += 1));
      await pause(batchIntervalMs);
    }
    const seconds = (performance.now() - start) / 1_000;
    const clientCorePercent = ownCorePercent(ownUsageBefore, seconds);
    const agentCorePercent =
      (((await agent.usage()).cpuSeconds - agentUsageBefore.cpuSeconds) / seconds) * 100;
    const bytes = (traffic.bytes(ports) - bytesBefore) / seconds;
    if (round === 0) continue;
    points.push({
      rate: startedCount / seconds,
      agentCorePercent,
      clientCorePercent,
      bytes,
    });
    const coreUse = `agent ${agentCorePercent.toFixed(2)}%, client ${clientCorePercent.toFixed(2)}% of a core`;
    console.log(
      `  ${(startedCount / seconds).toFixed(0)} offers/s: ${coreUse}, ${Math.round(bytes)} B/s`,
    );
  }
  const slopeOf = (valueOf: (point: (typeof points)[number]) => number): number =>
    fitLine(points.map((point) => [point.rate, valueOf(point)] as const)).slope;
  const agentUs = slopeOf((point) => point.agentCorePercent) * 10_000;
  const clientUs = slopeOf((point) => point.clientCorePercent) * 10_000;
  const bytesPerOffer = slopeOf((point) => point.bytes);
  console.log(
    `  per offer: agent ${agentUs.toFixed(0)} µs, client ${clientUs.toFixed(0)} µs, ` +
      `${bytesPerOffer.toFixed(0)} B; refused or failed ${refused} of ${sent}`,
  );
  connection.dispose();
  await agent.stop();
  engine.close();
}

/** Creates a limiter that reports a random demand for every team at each call. */
function createBusyLimiter(teams: number): TeamLimiter {
  return {
    admit: () => {
      throw new Error('not used');
    },
    takeDemand: () =>
      new Map(
        Array.from({ length: teams }, (_item, index) => {
          const requests = 1 + Math.random() * 10;
          return [`team-${index + 1}`, { requests, tokens: requests * 330, streams: 3 }] as const;
        }),
      ),
  };
}

async function startExchange(
  instance: string,
  teams: number,
  peers: readonly PeerConnection<PeerClient>[],
) {
  const exchange = createUsageExchange({
    clock: systemClock,
    log,
    self: { instance, incarnation: '01234567-89ab-cdef-0123-456789abcdef' },
    peers: () => peers,
    allocator: createLimitAllocator(systemClock),
    limiter: createBusyLimiter(teams),
    configurationRevision: () => 1,
  });
  const bind = { host: '127.0.0.1', port: 0 };
  const listener = await listenInternal(bind, credential, peerRoutes(exchange.service));
  const close = (): void => {
    exchange.dispose();
    listener.destroy();
    for (const peer of peers) peer.dispose();
  };
  return { address: listener.address, close };
}

const exchangeWindowMs = 3_000;

/**
 * The measured entry exchanges usage with all other entries, and these only with the measured one,
 * so its traffic equals that in a full mesh.
 */
async function measureExchange(teams: number, entries: number, traffic: TrafficCounter) {
  const connector = createPeerConnector(credential);
  const measuredPeers: PeerConnection<PeerClient>[] = [];
  const measured = await startExchange('entry-1', teams, measuredPeers);
  const others = [];
  for (let index = 2; index <= entries; index += 1) {
    const peers = [connector.entry(measured.address)];
    const other = await startExchange(`entry-${index}`, teams, peers);
    others.push(other);
    measuredPeers.push(connector.entry(other.address));
  }
  const ports = new Set([measured, ...others].map(({ address }) => portOf(address)));
  await pause(connectDelayMs);
  const ownUsageBefore = process.cpuUsage();
  const bytesBefore = traffic.bytes(ports);
  const start = performance.now();
  await pause(exchangeWindowMs);
  const seconds = (performance.now() - start) / 1_000;
  // Both ends of each connection are in this process, so each byte is counted twice.
  const bytes = (traffic.bytes(ports) - bytesBefore) / 2 / seconds;
  const corePercent = ownCorePercent(ownUsageBefore, seconds) / 2;
  measured.close();
  for (const other of others) other.close();
  return { bytes, corePercent };
}

/** Part 5: bytes and processor time of the usage exchange at one entry. */
export async function runExchangePart(traffic: TrafficCounter): Promise<void> {
  console.log('\n5. Usage exchange at one entry (processor time: half of both ends)');
  const points: (readonly [number, number])[] = [];
  for (const entries of [2, 8, 32]) {
    for (const teams of [8, 50, 450]) {
      const { bytes, corePercent } = await measureExchange(teams, entries, traffic);
      const perPeer = bytes / (entries - 1);
      points.push([teams, perPeer]);
      const rates = `${Math.round(bytes)} B/s, ${Math.round(perPeer)} B/s per peer`;
      console.log(
        `  ${entries} entries, ${teams} teams: ${rates}, ${corePercent.toFixed(2)}% of a core`,
      );
    }
  }
  const { slope, base } = fitLine(points);
  console.log(`  per peer: ${base.toFixed(0)} B/s, and ${slope.toFixed(1)} B/s per team`);
}
