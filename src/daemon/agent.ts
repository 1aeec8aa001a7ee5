import { collectDefaultMetrics, Registry } from 'prom-client';
import { type AgentIdentity, agentRoutes } from '../adapters/connect/agentservice.js';
import { createPeerConnector } from '../adapters/connect/connector.js';
import { listenInternal } from '../adapters/connect/listener.js';
import { peerRoutes } from '../adapters/connect/peerservice.js';
import { createHttpService } from '../adapters/http/service.js';
import { createOpenaiEngine } from '../adapters/openai/engine.js';
import { createCancellationSource, noCancellation } from '../base/cancellation.js';
import { type Clock, sleep, systemClock } from '../base/clock.js';
import { SettingsError } from '../base/errors.js';
import { createDisposableStore } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random, systemRandom } from '../base/random.js';
import { createConfigurationReplica } from '../configuration/replica.js';
import { createServiceWorker } from '../idempotency/serviceworker.js';
import { createOrderExecutor } from '../orders/executor.js';
import { createEngineWorker } from '../scheduling/worker.js';
import { type InstancesPort } from '../ports/instances.js';
import { type TablePort } from '../ports/table.js';
import { startConfiguration } from './configuration.js';
import { listenHttp } from './listen.js';
import { registerAgentMetrics } from './metrics.js';
import { createOperatorServer } from './operators/server.js';
import { createPlatform } from './platform.js';
import { type DaemonProcess, logInterrupted, waitUntilIdle } from './process.js';
import { type Settings } from './settings/schema.js';

/** External dependencies of an agent; tests and measurements replace them. */
export interface AgentAdapters {
  readonly clock?: Clock;
  readonly random?: Random;
  readonly instances?: InstancesPort;
  /** Table with the row of the order lease; without a table, orders are refused as not ready. */
  readonly table?: TablePort;
}

/** Creates the components of the agent for one target and starts it. */
export async function startAgent(
  settings: Settings,
  log: Logger,
  adapters: AgentAdapters = {},
): Promise<DaemonProcess> {
  const { clock = systemClock, random = systemRandom } = adapters;
  const { name: target, kind, url, service: serviceRoute = '', places } = settings.target;
  if (!target || !kind || !url) throw new SettingsError('set name, kind and url in [target]');
  const resources = createDisposableStore();
  const { instances, table } = { ...createPlatform(settings, resources), ...adapters };
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const replica = createConfigurationReplica();
  const connector = createPeerConnector(settings.internal.credential);
  const configuration = startConfiguration(
    {
      settings,
      clock,
      random,
      log,
      replica,
      connector,
      table: undefined,
      instances,
      directory: undefined,
    },
    resources,
  );
  const isConfigured = (): boolean => replica.ready || !configuration.isRequired;
  const identity: AgentIdentity = {
    instance: settings.process.instance,
    target,
    kind,
    dataCentre: settings.process.data_centre,
  };

  const startEngineWorker = () => {
    const engineClient = resources.add(createOpenaiEngine(url));
    const teamWeight = (team: string): number => replica.get('team', team)?.weight ?? 1;
    const configuredSlots = () => replica.get('target', target)?.places;
    const worker = resources.add(
      createEngineWorker({ clock, log, engine: engineClient, target, teamWeight, configuredSlots }),
    );
    const orders = resources.add(
      createOrderExecutor({ clock, log, engine: engineClient, admission: worker, table }),
    );
    return { worker, orders };
  };
  const startServiceWorker = () => {
    const serviceClient = resources.add(createHttpService(url));
    return resources.add(
      createServiceWorker({ clock, log, service: serviceClient, slots: places }),
    );
  };
  const { worker: engine, orders } = kind === 'engine' ? startEngineWorker() : {};
  const service = kind === 'service' ? startServiceWorker() : undefined;
  const activeCount = (): number => (engine?.active ?? 0) + (service?.running ?? 0);

  registerAgentMetrics(registry, replica, () => {
    if (engine) return engine.status;
    return { running: service?.running ?? 0, places, queueMs: 0 };
  });
  const leavingSource = createCancellationSource();
  const registerRoutes = agentRoutes({
    clock,
    identity,
    engine,
    service,
    orders,
    serviceRoute,
    isLeaving: () => leavingSource.token.isCancellationRequested,
    onLeaving: (listener) => leavingSource.token.onCancellationRequested(listener),
    configurationRevision: () => BigInt(replica.revision),
  });
  const internal = await listenInternal(
    settings.listen.internal,
    settings.internal.credential,
    (router) => {
      registerRoutes(router);
      peerRoutes(configuration.peerServiceMethods)(router);
    },
  );
  const operatorServer = createOperatorServer({
    log,
    registry,
    isReady: () =>
      !leavingSource.token.isCancellationRequested &&
      isConfigured() &&
      (engine?.status.targetDown !== true || engine.status.paused),
    routes: [],
  });
  const addresses = {
    internal: internal.address,
    operators: await listenHttp(operatorServer, settings.listen.operators),
  };
  log.info({ addresses, target }, 'agent started');

  const closeAll = (): void => {
    resources.dispose();
    internal.destroy();
    operatorServer.close();
    operatorServer.closeAllConnections();
  };

  return {
    addresses,
    get active() {
      return activeCount();
    },
    async drain() {
      leavingSource.cancel('planned stop');
      engine?.leave();
      service?.leave();
      await sleep(clock, settings.shutdown.balancer_wait, noCancellation);
      await waitUntilIdle(clock, activeCount, settings.shutdown.drain);
      logInterrupted(log, activeCount());
      closeAll();
    },
    stop() {
      const interruptedCount = activeCount();
      closeAll();
      return interruptedCount;
    },
  };
}
