import { randomUUID } from 'node:crypto';
import { Registry } from 'prom-client';
import { createAllowance } from '../base/allowance.js';
import { createCancellationSource } from '../base/cancellation.js';
import { type Clock, systemClock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { createDelayMeter } from '../base/eventloop.js';
import { createDisposableStore } from '../base/lifecycle.js';
import { systemRandom } from '../base/random.js';
import { deriveLimits } from '../callerlimits/derivedlimits.js';
import { type RowChange } from '../configuration/watch.js';
import { createContinuations } from '../continuation/continuation.js';
import { createCopies } from '../continuation/copy.js';
import { createRunEnds } from '../continuation/runend.js';
import { createEngineMemory } from '../enginememory/memory.js';
import { createCacheModel } from '../gateway/cachemodel.js';
import { type CacheSalts, createCacheSalts } from '../gateway/cachesalt.js';
import { createConnectionPool } from '../gateway/connectionpool.js';
import { createContactReports } from '../gateway/contactreports.js';
import { createDispatcher } from '../gateway/dispatcher.js';
import { createFailureTracker } from '../gateway/failuretracker.js';
import { createKvStores } from '../gateway/kvstores.js';
import { createPeers } from '../gateway/peers.js';
import { createPlacer } from '../gateway/placement.js';
import { createPrefillLoad } from '../gateway/prefillload.js';
import { createRepeats } from '../gateway/repeats.js';
import { createRetryBudget } from '../gateway/retrybudget.js';
import { createRouteTable, type RouteTable } from '../gateway/routes.js';
import { createGatewayServer, type GatewayServer } from '../gateway/server.js';
import { createTargetDirectory, type Target } from '../gateway/targets.js';
import { createTargetLimits, type TargetLimits } from '../gateway/targetlimits.js';
import { createSpeedModel } from '../gateway/speeds.js';
import { createStreamAdmission, type StreamAdmission } from '../gateway/streamadmission.js';
import { createTransfers } from '../gateway/transfers.js';
import { createDesiredWeightsHistory } from '../gateway/desiredweights.js';
import { createEqualSpeeds } from '../targetspeeds/equalspeeds.js';
import { createTargetSpeedModel, type TargetSpeedModel } from '../targetspeeds/targetspeeds.js';
import { createFreeLeaseMarker } from '../orders/freelease.js';
import { createOnDemandOrderLease } from '../orders/ondemandlease.js';
import { createWeightsRollout } from '../orders/weightsrollout.js';
import { type ServiceSpec, type SiteConfiguration } from '../ports/site.js';
import { createTeamRates } from '../teamrates/teamrates.js';
import { createCacheModelUpdater } from './gatewaycaches.js';
import { connectionShare, contactSubjects } from './gatewayconnections.js';
import { createGatewaySharing, watchTables, type GatewayFeeds } from './gatewayfeeds.js';
import { createGatewayMetrics, type GatewayMetrics } from './gatewaymetrics.js';
import { type GatewayRows, registerGateway } from './gatewaypeers.js';
import { logConfigurationWarnings } from './configurationwarnings.js';
import { createGatewayQuarantine, type GatewayQuarantine } from './gatewayquarantine.js';
import { createRolloutGateway } from './gatewayrollout.js';
import { createGatewayStop } from './gatewaystop.js';
import { type GatewayOptions } from './gatewayplatform.js';
import { closeHttp, listenHttp } from './listen.js';
import { readMachine } from './machine.js';
import { createExplainRoute } from './operators/explain.js';
import { createOperatorServer, sendJson } from './operators/server.js';
import { type DaemonProcess } from './process.js';
import { type ProcessLoad, watchProcessLoad } from './processload.js';

/**
 * Shortest time between two hints with engine memory or lateness, about 1 KB. Requests stay for seconds;
 * 31 peers that send it five times a second take a sixth of the link of the smallest gateways.
 */
const loadHintIntervalMs = 500;

/** Starts a gateway, which forwards requests straight to targets that have no agent. */
export async function startGateway(options: GatewayOptions): Promise<DaemonProcess> {
  const { settings, platform, log } = options;
  const { decoder, protocol, store } = platform;
  const clock: Clock = systemClock;
  const random = systemRandom;
  const resources = createDisposableStore();
  const stopSource = createCancellationSource();
  const { instance, data_centre: dataCentre } = settings.process;

  let routes: RouteTable | undefined;
  let cacheSalts: CacheSalts | undefined;
  const desiredWeights = createDesiredWeightsHistory(clock);
  let feeds: GatewayFeeds | undefined;
  let processLoad: ProcessLoad | undefined;
  let metrics: GatewayMetrics | undefined;
  let gatewayQuarantine: GatewayQuarantine | undefined;
  let targetLimits: TargetLimits | undefined;
  let callerServer: GatewayServer | undefined;
  let streamAdmission: StreamAdmission | undefined;
  const memory = createEngineMemory(clock);
  const cache = createCacheModel(clock, memory.unlistedTokens);
  const connectionPool = resources.add(
    createConnectionPool(clock, {
      share: (service) => shareOfConnections(service),
      onEvent: (event) => metrics?.recordConnection(event),
    }),
  );
  const directory = createTargetDirectory({
    clock,
    log,
    pool: connectionPool,
    decoder,
    eras: store.eras,
    checkInMs: settings.targets.check_in,
    sinceStoreFailureMs: () => feeds?.targets.sinceFailureMs() ?? Infinity,
    onCacheCleared: (id) => cache.clear(id),
    onInvalidRegistration: () => metrics?.recordIgnoredRow(decoder.targetTable),
    onConnected: (durationMs) => processLoad?.observeConnect(durationMs),
  });
  const speeds = createSpeedModel();
  const loopDelay = resources.add(createDelayMeter(clock));
  const targetSpeeds: TargetSpeedModel =
    settings.placement.learned_speeds === 'on'
      ? createTargetSpeedModel({ clock, log, directory, delay: loopDelay })
      : createEqualSpeeds();
  const prefillLoad = createPrefillLoad(clock);
  const failureTracker = createFailureTracker({ clock, log, token: stopSource.token });
  const stores = resources.add(createKvStores({ clock, log, cache, pool: connectionPool }));

  const contactReports = createContactReports({ clock, ...contactSubjects(directory, stores) });
  const sharing = createGatewaySharing({
    clock,
    random,
    instance,
    gatewayCount,
    requestHint,
  });
  const teamRates = resources.add(
    createTeamRates({
      clock,
      tolerance: {
        windowMs: settings.team_limits.window,
        overage: settings.team_limits.overage,
        slack: settings.team_limits.slack,
      },
      gatewayCount,
      requestHint,
      onOutcome: (...outcome) => metrics?.recordTeamCost(...outcome),
    }),
  );
  const peers = resources.add(
    createPeers({
      clock,
      log,
      instance,
      bind: settings.listen.peers,
      sections: [
        contactReports,
        sharing.section,
        targetSpeeds.section,
        teamRates.section,
        { key: 'm', intervalMs: loadHintIntervalMs, pack: memory.pack, merge: memory.merge },
        {
          key: 'p',
          intervalMs: loadHintIntervalMs,
          pack: () => streamAdmission?.pack(),
          merge: (...hint) => streamAdmission?.merge(...hint),
        },
      ],
      ownInFlight: () => directory.all.map(({ id, inFlight }) => [id, inFlight] as const),
      evidence: () => gatewayQuarantine?.packEvidence(),
      limits: () => targetLimits?.pack(),
    }),
  );
  let gatewayRows: GatewayRows | undefined;
  /** Undefined while the peers share the site's limits without this gateway. */
  function gatewayCount(): number | undefined {
    return gatewayRows?.isRegistered ? peers.knownCount : undefined;
  }
  function requestHint(): void {
    peers.scheduleHint();
  }
  function shareOfConnections(service: string): number {
    const spec = routes?.configuration.services.find(({ name }) => name === service);
    return connectionShare(spec?.maxConnections, gatewayCount());
  }
  const limits = createTargetLimits({
    clock,
    random,
    log,
    directory,
    gatewayCount,
    requestHint: () => peers.scheduleHint(),
  });
  targetLimits = limits;

  gatewayQuarantine = resources.add(
    createGatewayQuarantine({
      clock,
      random,
      log,
      table: store,
      eras: store.eras,
      failureTracker,
      holdMs: settings.quarantine.hold,
      token: stopSource.token,
      requestHint: () => peers.scheduleHint(),
      onCrash: (service) => metrics?.recordCrash(service),
    }),
  );
  const { quarantine, crashDetector } = gatewayQuarantine;

  const changingTargetIds = new Set<string>();
  const isChangingWeights = ({ id }: Target): boolean =>
    changingTargetIds.has(id) || peers.isChangingWeights(id);
  const transfers = createTransfers({
    cache,
    stores,
    directory,
    failureTracker,
    peers,
    prefillLoad,
    speeds,
    isChangingWeights,
  });
  peers.listen({
    onCacheUse: (use) => transfers.record(use),
    onWeightsChange: ({ targetId, model, version }) => {
      directory.find(targetId)?.weights.observe(model, version);
    },
    onWeightsOrder: (targetId) => directory.find(targetId)?.weights.observeOrder(),
    onTableVersions: (versions) => feeds?.expectVersions(versions),
    onEvidence: (evidence) => gatewayQuarantine?.mergeEvidence(evidence),
    onLimits: (hints) => limits.merge(hints),
  });
  const orderLease = createOnDemandOrderLease({
    clock,
    log,
    table: store,
    eras: store.eras,
    holder: `${instance}/${randomUUID()}`,
    leaseMs: settings.orders.lease,
  });
  const freeLeaseMarker = resources.add(
    createFreeLeaseMarker({
      clock,
      random,
      log,
      eras: store.eras,
      lease: orderLease,
      leaseMs: settings.orders.lease,
      token: stopSource.token,
    }),
  );
  const rollout = resources.add(
    createWeightsRollout({
      clock,
      random,
      log,
      lease: orderLease,
      control: platform.control,
      holder: instance,
      gateway: createRolloutGateway({
        directory,
        failureTracker,
        peers,
        desiredWeights,
        deadlineMs: settings.weights.deadline,
        changingTargetIds,
      }),
    }),
  );

  const serviceSpec = (service: string): ServiceSpec | undefined =>
    routes?.configuration.services.find(({ name }) => name === service);
  const placer = createPlacer({
    random,
    directory,
    failureTracker,
    limits,
    transfers,
    peers,
    prefillLoad,
    memory,
    speeds,
    targetSpeeds,
    dataCentre,
    service: serviceSpec,
    cacheSalts: () => cacheSalts,
    desiredWeights,
    weightsBounds: {
      deadlineMs: settings.weights.deadline,
      storeGraceMs: settings.weights.store_grace,
    },
    sinceStoreFailureMs: () => feeds?.sinceFailureMs() ?? Infinity,
    isChangingWeights,
    onCacheUse: (use) => peers.publishCacheUse(use),
  });
  const budget = createRetryBudget({
    clock,
    limits: {
      ratio: settings.repeats.share,
      slack: settings.repeats.slack,
      windowMs: settings.repeats.window,
    },
    gatewayCount,
  });
  const callerLimits = deriveLimits(await readMachine(settings.machine));
  const bodies = createAllowance(callerLimits.maxBodyBytes);
  platform.responseMonitor.limitTargets(callerLimits.maxResponseBytes);
  const registry = new Registry();
  metrics = createGatewayMetrics(registry, {
    directory,
    speeds,
    targetSpeeds,
    configurationVersion: () => routes?.configuration.version ?? 0,
    configurationAgeMs: () => feeds?.configuration.ageMs() ?? Infinity,
    quarantineSize: () => quarantine.size,
    limitedTargets: () => limits.size,
    teamUsedShares: () => teamRates.usedShares(),
    droppedLogLines: options.droppedLogLines,
    droppedHintItems: () => peers.droppedItems,
    idleConnections: () => connectionPool.idleCount,
    heldBodyBytes: () => bodies.heldBytes,
    callers: () => callerServer?.held,
    engineMemory: () =>
      directory.all.flatMap(({ id, registration: { service } }) => {
        const memoryTokens = serviceSpec(service)?.engine?.kvTokens ?? 0;
        return memoryTokens > 0
          ? [{ target: id, heldTokens: memory.heldTokens(id), memoryTokens }]
          : [];
      }),
    heldResponseBytes: () => platform.responseMonitor.heldBytes,
  });
  platform.responseMonitor.listen(({ address: { host, port }, ...response }) => {
    metrics?.recordOversizedResponse(response.call);
    log.warn({ host, port, ...response }, 'response was given up because it exceeds a limit');
  });
  const plannedStop = createGatewayStop({
    clock,
    log,
    delay: loopDelay,
    balancerWaitMs: settings.shutdown.balancer_wait,
    graceMs: settings.shutdown.grace,
    close: () => stop(),
  });
  streamAdmission = createStreamAdmission({
    clock,
    random,
    log,
    enginesPerGateway: () =>
      directory.all.filter(({ registration }) => registration.weights.size > 0).length /
      peers.count,
    onRefusal: (route, reason) => metrics?.recordRefusal(route, reason),
  });
  const dispatcher = createDispatcher({
    clock,
    random,
    log,
    protocol,
    placer,
    failureTracker,
    crashDetector,
    quarantine,
    repeats: createRepeats({
      log,
      budget,
      serviceOf: (targetId) => directory.find(targetId)?.registration.service,
      onDecision: (...decision) => metrics?.recordRepeat(...decision),
    }),
    limits,
    responseMonitor: platform.responseMonitor,
    speeds,
    targetSpeeds,
    streamAdmission,
    memory,
    continuations: createContinuations(
      createCopies({ failureTracker, isChangingWeights }),
      createRunEnds({ clock, log, control: platform.control }),
    ),
    remainingGraceMs: plannedStop.remainingGraceMs,
    onLoadChange: () => peers.scheduleHint(),
  });

  const callers = createGatewayServer({
    clock,
    random,
    log,
    protocol,
    dispatcher,
    remainingGraceMs: plannedStop.remainingGraceMs,
    limits: callerLimits,
    onClosed: (reason) => metrics?.recordClosedConnection(reason),
    bodies,
    teamRates,
    routes: () => routes,
    onResult: (result) => metrics?.recordResult(result),
  });
  callerServer = callers;
  resources.add(callers);
  processLoad = resources.add(
    watchProcessLoad({
      clock,
      log,
      registry,
      callerServer: callers.server,
      delay: loopDelay,
      active: () => callers.active,
    }),
  );
  gatewayRows = registerGateway({
    clock,
    random,
    log,
    table: store,
    eras: store.eras,
    instance,
    address: settings.listen.peers,
    token: stopSource.token,
  });

  const { cacheReader: reader } = platform;
  const cacheModelUpdater = createCacheModelUpdater({
    directory,
    stores,
    import: { clock, random, log, reader, cache, token: stopSource.token },
  });

  const applyConfiguration = (configuration: SiteConfiguration): void => {
    routes = createRouteTable(configuration);
    cacheSalts = createCacheSalts(configuration);
    callers.configure(configuration.limits);
    teamRates.configure(configuration.teams ?? []);
    speeds.configure(configuration.services);
    const engine = configuration.services.find((spec) => spec.engine)?.engine;
    stores.configure(configuration.kvStores, engine?.bytesPerToken ?? 0);
    cacheModelUpdater.update(configuration);
    const { version } = configuration;
    log.info({ version, routes: configuration.routes.length }, 'configuration is in force');
    logConfigurationWarnings(log, configuration);
  };

  const onOperatorRows = ({ rows, maxAgeMs }: RowChange): void => {
    for (const { key, value } of rows) {
      if (value === undefined) continue;
      const configuration = decoder.configuration(key, value);
      const desired = decoder.weights(key, value);
      if (configuration && configuration.version > (routes?.configuration.version ?? -1)) {
        applyConfiguration(configuration);
      } else if (desired && desired.version > (desiredWeights.newest.get(desired.model) ?? -1)) {
        desiredWeights.record(desired, maxAgeMs);
        log.info({ ...desired }, 'desired weights changed');
        rollout.requestStep();
      } else if (!configuration && !desired) {
        log.warn(
          { key, version: routes?.configuration.version },
          'ignoring an operator row that could not be decoded; the known version stays in force',
        );
        metrics?.recordIgnoredRow(decoder.configurationTable);
      }
    }
  };

  const onSystemRows = (change: RowChange): void => {
    quarantine.observeRows(change);
    gatewayRows.observeRows(change);
    for (const { key, value, version } of change.rows)
      if (value !== undefined && key === orderLease.key) orderLease.observe(value, version);
    freeLeaseMarker.observeTable();
    peers.setPeers(gatewayRows.peerAddresses());
    rollout.requestStep();
  };

  let isDraining = false;
  const isReady = (): boolean =>
    !isDraining && routes !== undefined && (feeds?.targets.isSynced ?? false);
  const operatorServer = createOperatorServer({
    log,
    registry,
    isReady,
    routes: [
      {
        path: platform.readyPath,
        handler: async (_req, res) => sendJson(res, isReady() ? 200 : 503, { ready: isReady() }),
      },
      createExplainRoute({
        placer,
        streamAdmission,
        targetSpeeds,
        routes: () => routes,
        configurationAgeMs: () => feeds?.configuration.ageMs() ?? Infinity,
      }),
    ],
  });
  resources.add(directory.onChange(() => rollout.requestStep()));
  feeds = resources.add(
    watchTables({
      clock,
      random,
      log,
      platform,
      peers,
      sharing,
      onConfiguration: onOperatorRows,
      onTargets(change) {
        directory.apply(change);
        if (routes) cacheModelUpdater.update(routes.configuration);
      },
      onSystemRows,
      onMissedChange: (table) => metrics?.recordMissedChange(table),
    }),
  );

  const callersAddress = await listenHttp(callers.server, settings.listen.callers);
  const operatorsAddress = await listenHttp(operatorServer, settings.listen.operators);
  log.info({ callersAddress, operatorsAddress, dataCentre }, 'gateway started');

  function stop(): number {
    const interruptedCount = callers.active;
    stopSource.cancel('gateway stopped');
    resources.dispose();
    closeHttp(callers.server).catch((err: unknown) => {
      log.debug({ err: errMessage(err) }, 'caller listener was already closed');
    });
    callers.server.closeAllConnections();
    operatorServer.closeAllConnections();
    return interruptedCount;
  }

  return {
    addresses: { callers: callersAddress, operators: operatorsAddress, internal: '' },
    get active() {
      return callers.active;
    },
    async drain(handledMs = 0) {
      isDraining = true;
      rollout.leaveToOthers();
      await plannedStop.run(callers, handledMs);
    },
    stop,
  };
}
