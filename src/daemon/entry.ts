import { collectDefaultMetrics, Registry } from 'prom-client';
import { randomUUID } from 'node:crypto';
import { createPeerConnector } from '../adapters/connect/connector.js';
import { listenInternal } from '../adapters/connect/listener.js';
import { peerRoutes } from '../adapters/connect/peerservice.js';
import { noCancellation } from '../base/cancellation.js';
import { type Clock, sleep, systemClock } from '../base/clock.js';
import { deriveLimits } from '../callerlimits/derivedlimits.js';
import { SettingsError } from '../base/errors.js';
import { createDisposableStore } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random, systemRandom } from '../base/random.js';
import { type ConfigurationReplica, createConfigurationReplica } from '../configuration/replica.js';
import { createLimitAllocator } from '../limits/allocator.js';
import { createTeamLimiter } from '../limits/teamlimits.js';
import { createUsageExchange } from '../limits/usageexchange.js';
import { createRetryBudgets } from '../limits/retrybudget.js';
import { createAgentDirectory } from '../membership/directory.js';
import { type InstancesPort } from '../ports/instances.js';
import { type ObjectPort } from '../ports/objects.js';
import { type TablePort } from '../ports/table.js';
import { createDispatcher } from '../routing/dispatcher.js';
import { createTargetHealth } from '../routing/health.js';
import { createOfferPolicy, type OfferPolicyOptions } from '../routing/placement.js';
import {
  createLeastLoadedPolicy,
  createPrefixHashPolicy,
  createRoundRobinPolicy,
  type PlacementPolicy,
  type PolicyName,
} from '../routing/policies.js';
import { createCallerRoutes } from './callers/routes.js';
import { createCallerServer } from './callers/server.js';
import { startConfiguration } from './configuration.js';
import { closeHttp, listenHttp } from './listen.js';
import { createEntryMetrics } from './metrics.js';
import { createOperatorApi } from './operators/api.js';
import { type UnknownCalls } from './operators/context.js';
import { createOperatorServer } from './operators/server.js';
import { createAtMostOnceCalls } from './atmostonce.js';
import { readMachine } from './machine.js';
import { startOrders } from './orders.js';
import { createPlatform } from './platform.js';
import { type DaemonProcess, logInterrupted, waitUntilIdle } from './process.js';
import { type Settings } from './settings/schema.js';

/** External dependencies of an entry; tests, measurements and the quickstart replace them. */
export interface EntryAdapters {
  readonly clock?: Clock;
  readonly random?: Random;
  /** Without a table, non-idempotent calls are refused. */
  readonly table?: TablePort;
  /**
   * Stores results over 64 KB and up to 8 MiB for later requests with the same key. Larger results,
   * and without an object store all over 64 KB, are dropped.
   */
  readonly objects?: ObjectPort;
  readonly instances?: InstancesPort;
  /** Replica that may already have its records, for the quickstart, tests and measurements. */
  readonly replica?: ConfigurationReplica;
  /** Calls with an unknown outcome, for tests of the operators' API. */
  readonly unknownCalls?: UnknownCalls;
}

const policies: Readonly<Record<PolicyName, (options: OfferPolicyOptions) => PlacementPolicy>> = {
  roundRobin: () => createRoundRobinPolicy(),
  leastLoaded: ({ random }) => createLeastLoadedPolicy(random),
  prefixHash: () => createPrefixHashPolicy(),
  cicadatide: createOfferPolicy,
};

/** Creates the components of one entry and starts it. */
export async function startEntry(
  settings: Settings,
  log: Logger,
  adapters: EntryAdapters = {},
): Promise<DaemonProcess> {
  const { clock = systemClock, random = systemRandom } = adapters;
  const { callers: callersBind } = settings.listen;
  if (!callersBind)
    throw new SettingsError('[listen] callers is missing; set it to the address for callers');
  const resources = createDisposableStore();
  const platform = createPlatform(settings, resources);
  const { table, objects, instances } = { ...platform, ...adapters };
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const replica = adapters.replica ?? createConfigurationReplica();
  const connector = createPeerConnector(settings.internal.credential);
  const directory = resources.add(
    createAgentDirectory({
      clock,
      random,
      log,
      connector,
      instances,
      staticAgents: settings.peers.agents,
      self: { instance: settings.process.instance, dataCentre: settings.process.data_centre },
    }),
  );
  const configuration = startConfiguration(
    { settings, clock, random, log, replica, connector, table, instances, directory },
    resources,
  );
  const health = createTargetHealth(clock);
  const policy = policies[settings.requests.policy]({ clock, random, health });
  const budgets = createRetryBudgets(clock);
  const dispatcher = createDispatcher({ clock, random, log, directory, policy, health, budgets });
  const limits = {
    maxBytes: settings.requests.max_body,
    timeoutMs: settings.requests.body_timeout,
  };
  const allocator = createLimitAllocator(clock);
  const teamLimits = createTeamLimiter(clock, allocator);
  const usage = resources.add(
    createUsageExchange({
      clock,
      log,
      self: { instance: settings.process.instance, incarnation: randomUUID() },
      peers: configuration.peers.connections,
      allocator,
      limiter: teamLimits,
      configurationRevision: () => replica.revision,
    }),
  );
  const metrics = createEntryMetrics(registry, directory, replica);
  const atMostOnce =
    table && createAtMostOnceCalls({ clock, log, table, objects, directory, replica });
  const { instance } = settings.process;
  const orders =
    table && startOrders({ clock, random, log, table, instance, replica, directory }, resources);
  const callerServer = createCallerServer({
    clock,
    log,
    replica,
    metrics,
    maxHeaderBytes: settings.requests.max_header,
    maxConnections: deriveLimits(await readMachine()).maxConnections,
    routes: createCallerRoutes({
      clock,
      random,
      log,
      replica,
      directory,
      dispatcher,
      limits,
      metrics,
      teamLimits,
      atMostOnceRunner: atMostOnce?.atMostOnceRunner,
      bodyTimeoutMs: limits.timeoutMs,
    }),
  });
  let isDraining = false;
  const operatorServer = createOperatorServer({
    log,
    registry,
    isReady: () => !isDraining && replica.ready,
    routes: [
      createOperatorApi({
        clock,
        configuration,
        directory,
        orders,
        bootstrapTokenHash: settings.operators.bootstrap_token_hash,
        unknownCalls: adapters.unknownCalls ?? atMostOnce?.unknownCalls,
      }),
    ],
  });
  const internal = await listenInternal(
    settings.listen.internal,
    settings.internal.credential,
    peerRoutes(configuration.peerServiceMethods, usage.service),
  );
  const addresses = {
    internal: internal.address,
    operators: await listenHttp(operatorServer, settings.listen.operators),
    callers: await listenHttp(callerServer.server, callersBind),
  };
  log.info({ addresses }, 'entry started');

  const closeAll = (): void => {
    resources.dispose();
    internal.destroy();
    operatorServer.close();
    operatorServer.closeAllConnections();
  };

  return {
    addresses,
    get active() {
      return callerServer.active;
    },
    async drain() {
      isDraining = true;
      await sleep(clock, settings.shutdown.balancer_wait, noCancellation);
      callerServer.stopAccepting();
      // The listener stays open meanwhile: closing it also closes connections with unread responses.
      await waitUntilIdle(clock, () => callerServer.active, settings.shutdown.drain);
      logInterrupted(log, callerServer.active);
      const closed = closeHttp(callerServer.server);
      callerServer.server.closeAllConnections();
      await closed;
      closeAll();
    },
    stop() {
      const interruptedCount = callerServer.active;
      // Closes the peer connections first, so that no cancel request reaches an agent and callers can
      // resume through another entry.
      closeAll();
      callerServer.server.close();
      callerServer.server.closeAllConnections();
      return interruptedCount;
    },
  };
}
