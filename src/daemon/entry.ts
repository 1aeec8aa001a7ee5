import { collectDefaultMetrics, Registry } from 'prom-client';
import { randomUUID } from 'node:crypto';
import { createPeerConnector } from '../adapters/connect/connector.js';
import { listenInternal } from '../adapters/connect/listener.js';
import { peerRoutes } from '../adapters/connect/peerservice.js';
import { noCancellation } from '../base/cancellation.js';
import { type Clock, sleep, systemClock } from '../base/clock.js';
import { SettingsError } from '../base/errors.js';
import { createDisposableStore } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random, systemRandom } from '../base/random.js';
import { type ConfigurationReplica, createConfigurationReplica } from '../configuration/replica.js';
import { createLimitAllocator } from '../limits/allocator.js';
import { createTeamLimiter } from '../limits/teamlimits.js';
import { createUsageExchange } from '../limits/usageexchange.js';
import { createRetryBudget } from '../limits/retrybudget.js';
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
import { createOnceStack } from './once.js';
import { startOrders } from './orders.js';
import { createPlatform } from './platform.js';
import { type DaemonProcess, waitUntilIdle } from './process.js';
import { type Settings } from './settings/schema.js';

/** Outside systems of an entry; tests and the quickstart pass their own. */
export interface EntryAdapters {
  readonly clock?: Clock;
  readonly random?: Random;
  /** Without a table, non-idempotent calls are refused. */
  readonly table?: TablePort;
  /** Keeps results over 64 KB; without it they are not kept for repeats. */
  readonly objects?: ObjectPort;
  readonly instances?: InstancesPort;
  /** Replica that is already filled, for the quickstart and tests. */
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

/** Composes and starts one entry. */
export async function startEntry(
  settings: Settings,
  log: Logger,
  adapters: EntryAdapters = {},
): Promise<DaemonProcess> {
  const { clock = systemClock, random = systemRandom } = adapters;
  const { callers: callersBind } = settings.listen;
  if (!callersBind) throw new SettingsError('[listen] callers is missing');
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
  const budget = createRetryBudget(clock);
  const dispatcher = createDispatcher({ clock, random, log, directory, policy, health, budget });
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
  const once = table && createOnceStack({ clock, log, table, objects, directory, replica });
  const { instance } = settings.process;
  const orders =
    table && startOrders({ clock, random, log, table, instance, replica, directory }, resources);
  const callers = createCallerServer({
    clock,
    log,
    replica,
    metrics,
    maxHeaderBytes: settings.requests.max_header,
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
      atMostOnceCaller: once?.caller,
      bodyTimeoutMs: limits.timeoutMs,
    }),
  });
  let draining = false;
  const operators = createOperatorServer({
    log,
    registry,
    isReady: () => !draining && replica.ready,
    routes: [
      createOperatorApi({
        clock,
        configuration,
        directory,
        orders,
        bootstrapTokenHash: settings.operators.bootstrap_token_hash,
        unknownCalls: adapters.unknownCalls ?? once?.unknownCalls,
      }),
    ],
  });
  const internal = await listenInternal(
    settings.listen.internal,
    settings.internal.credential,
    peerRoutes(configuration.part, usage.service),
  );
  const addresses = {
    internal: internal.address,
    operators: await listenHttp(operators, settings.listen.operators),
    callers: await listenHttp(callers.server, callersBind),
  };
  log.info({ addresses }, 'entry started');

  const closeAll = (): void => {
    resources.dispose();
    internal.destroy();
    operators.close();
    operators.closeAllConnections();
  };

  return {
    addresses,
    get active() {
      return callers.active;
    },
    async drain() {
      draining = true;
      await sleep(clock, settings.shutdown.balancer_wait, noCancellation);
      callers.stopAccepting();
      const closed = closeHttp(callers.server);
      await waitUntilIdle(clock, log, () => callers.active, settings.shutdown.drain);
      callers.server.closeAllConnections();
      await closed;
      closeAll();
    },
    stop() {
      const cut = callers.active;
      // Without peer connections nothing is cancelled, so callers can resume through another entry.
      closeAll();
      callers.server.close();
      callers.server.closeAllConnections();
      return cut;
    },
  };
}
