import { Registry } from 'prom-client';
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
import { createAgentDirectory } from '../membership/directory.js';
import { type InstancesPort } from '../ports/instances.js';
import { type TablePort } from '../ports/table.js';
import { createDispatcher } from '../routing/dispatcher.js';
import { createOfferPolicy } from '../routing/placement.js';
import {
  createLeastLoadedPolicy,
  createPrefixHashPolicy,
  createRoundRobinPolicy,
  type PlacementPolicy,
  type PolicyName,
} from '../routing/policies.js';
import { createCompletionHandler } from './callers/completions.js';
import { createModelsHandler } from './callers/models.js';
import { createCallerServer } from './callers/server.js';
import { createServiceHandler, servicePrefix } from './callers/services.js';
import { startConfiguration } from './configuration.js';
import { closeHttp, listenHttp } from './listen.js';
import { createOperatorApi } from './operators/api.js';
import { type UnknownCalls } from './operators/context.js';
import { createOperatorServer } from './operators/server.js';
import { createPlatform } from './platform.js';
import { type DaemonProcess, drainPollMs } from './process.js';
import { type Settings } from './settings/schema.js';

/** Outside systems of an entry; tests and the quickstart pass their own. */
export interface EntryAdapters {
  readonly clock?: Clock;
  readonly random?: Random;
  readonly table?: TablePort;
  readonly instances?: InstancesPort;
  /** Replica that is already filled, for the quickstart and tests. */
  readonly replica?: ConfigurationReplica;
  /** Calls with an unknown outcome, for the operators' API. */
  readonly unknownCalls?: UnknownCalls;
}

const policies: Readonly<Record<PolicyName, (clock: Clock, random: Random) => PlacementPolicy>> = {
  roundRobin: () => createRoundRobinPolicy(),
  leastLoaded: (_clock, random) => createLeastLoadedPolicy(random),
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
  const { table, instances } = { ...platform, ...adapters };
  const registry = new Registry();
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
  const policy = policies[settings.requests.policy](clock, random);
  const dispatcher = createDispatcher({ clock, random, log, directory, policy });
  const limits = {
    maxBytes: settings.requests.max_body,
    timeoutMs: settings.requests.body_timeout,
  };
  const completion = { clock, log, replica, dispatcher, limits };
  const callers = createCallerServer({
    clock,
    log,
    replica,
    maxHeaderBytes: settings.requests.max_header,
    routes: [
      {
        path: '/v1/chat/completions',
        methods: ['POST'],
        handler: createCompletionHandler(completion, 'chat'),
      },
      {
        path: '/v1/completions',
        methods: ['POST'],
        handler: createCompletionHandler(completion, 'text'),
      },
      { path: '/v1/models', methods: ['GET'], handler: createModelsHandler(clock, replica) },
      { path: servicePrefix, handler: createServiceHandler({ clock, random, replica, directory }) },
    ],
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
        bootstrapTokenHash: settings.operators.bootstrap_token_hash,
        unknownCalls: adapters.unknownCalls,
      }),
    ],
  });
  const internal = await listenInternal(
    settings.listen.internal,
    settings.internal.credential,
    peerRoutes(configuration.part),
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
      const end = clock.now() + settings.shutdown.drain;
      while (callers.active > 0 && clock.now() < end) {
        await sleep(clock, drainPollMs, noCancellation);
      }
      if (callers.active > 0) log.warn({ cut: callers.active }, 'drain time is over');
      callers.server.closeAllConnections();
      await closed;
      closeAll();
    },
    stop() {
      const cut = callers.active;
      callers.server.close();
      callers.server.closeAllConnections();
      closeAll();
      return cut;
    },
  };
}
