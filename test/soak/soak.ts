import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { createSeededRandom, type Random } from '../../src/base/random.js';
import { configuration as siteConfiguration, model } from '../standins/platform/site.js';
import { startStoreStandin, type StoreFault } from '../standins/platform/store.js';
import { startTargetStandin, type TargetStandin } from '../standins/platform/target.js';
import { playAbusiveCrowds } from './abusivecrowd.js';
import { createSoakCaller, patientProfile, type SoakCaller } from './caller.js';
import { createImpairments } from './impairments.js';
import { findLostAnswers } from './lostanswers.js';
import { findOverlaps, spoiledGapMs } from './overlaps.js';
import { createPlannedFaults } from './plannedfaults.js';
import { findExcessRepeats } from './repeats.js';
import { type LinkFault, startLink } from './link.js';
import { createGatewayProcess, type GatewayProcess, repeatLimits } from './process.js';
import { findOrderViolations, findViolations, type Violation } from './invariants.js';

/** Result of one soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  /** Requests with a complete response and status 200. */
  readonly served: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
  /** Log lines of the gateways; empty when there are no violations. */
  readonly logs: readonly string[];
}

export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly gateways: number;
  /** Path of the bundled gateway program. */
  readonly bundle: string;
  /** First port of a free range; each gateway uses three ports. */
  readonly port: number;
}

const requestsPerSecond = 40;

/** Added to the seed of the generator that decides which callers disconnect. */
const disconnectSeedOffset = 1_000_003;

/** Added to the seed of the generator of the faults in contents, so that the others keep their order. */
const contentSeedOffset = 2_000_003;

/** Added to the seed of the generator of planned stops and of sound but unusual targets. */
const plannedSeedOffset = 3_000_003;

/** Added to the seed of the generator of the patient callers. */
const patientSeedOffset = 4_000_003;

/** Added to the seed of the generator of the callers outside the limits. */
const abusiveSeedOffset = 5_000_003;

const patientRequestsPerSecond = 10;

/** Planned stops end this long before the other faults, as a stop takes up to 4.5 s. */
const plannedEndMs = 2_500;

/** Maximum time between the starts of two faults; below `maxFaultMs`, so that faults overlap. */
const maxFaultGapMs = 700;

const maxFaultMs = 1_500;

/** Time without new faults at the end, in which the site has to recover. */
const recoveryMs = 3_500;

/** Time within which all engines have to load the desired weights, as documented for operators. */
const weightsTimeoutMs = 10_000;

/** Time within which a process that has just started has the configuration, as stated for operators. */
const configurationTimeoutMs = 5_000;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const pick = <T>(random: Random, items: readonly T[]): T =>
  items[random.integer(items.length)] as T;

/** Configuration of the site with routes for patient callers. */
function configuration(version: number, changes: Readonly<Record<string, unknown>> = {}) {
  const usual = siteConfiguration(version, changes);
  const patient = usual.routes
    .filter(({ kind }) => kind === 'streaming')
    .map((route) => ({
      ...route,
      name: `patient${route.name}`,
      prefix: `/patient${route.name}/`,
      timeoutMs: 8_000,
    }));
  return { ...usual, routes: [...usual.routes, ...patient] };
}

/** Runs one seed: real gateway processes, stand-ins behind faulty links and overlapping faults. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs } = options;
  const random = createSeededRandom(seed);
  const folder = mkdtempSync(join(tmpdir(), 'cicadatide-soak-'));
  const store = await startStoreStandin();
  const storeLink = await startLink(store.port);
  const targets: TargetStandin[] = [];
  const links: Awaited<ReturnType<typeof startLink>>[] = [];
  const gateways: GatewayProcess[] = [];
  const caller = createSoakCaller(random, createSeededRandom(seed + disconnectSeedOffset));
  const patientRandom = createSeededRandom(seed + patientSeedOffset);
  const patientCaller = createSoakCaller(patientRandom, patientRandom, patientProfile);
  const impairments = createImpairments();
  const cutLinks = createImpairments();
  const faults: string[] = [];
  const inFlight = new Set<Promise<void>>();
  const background = new Set<Promise<void>>();
  const eventLoopDelay = monitorEventLoopDelay();
  eventLoopDelay.enable();
  const startedAt = performance.now();
  let version = 1;
  let weights = 1;
  let areFaultsOver = false;

  const addTarget = async (service: string, name: string): Promise<void> => {
    const isEngine = service === 'llm';
    const target = await startTargetStandin({ id: name, ...(isEngine ? { model } : {}) });
    const link = await startLink(target.port);
    targets.push(target);
    links.push(link);
    const registration = { ...target.registration(service), addr: `127.0.0.1:${link.port}` };
    store.put('servers', name, registration);
  };

  const runInBackground = (work: () => Promise<void>): void => {
    const done = work().finally(() => background.delete(done));
    background.add(done);
  };

  /** Kills a gateway, which its callers notice. */
  const kill = async (gateway: GatewayProcess): Promise<void> => {
    const end = impairments.begin(gateway.name);
    await gateway.stop();
    end();
  };

  const faultHandlers: Readonly<Record<string, (faultMs: number) => Promise<void>>> = {
    kill: async (faultMs) => {
      const gateway = pick(random, gateways);
      await kill(gateway);
      await pause(faultMs / 2);
      if (!gateway.isRunning) gateway.start();
    },
    pause: async (faultMs) => {
      const gateway = pick(random, gateways);
      const end = impairments.begin(gateway.name);
      gateway.signal('SIGSTOP');
      await pause(faultMs);
      gateway.signal('SIGCONT');
      end();
    },
    terminate: async (faultMs) => {
      const gateway = pick(random, gateways);
      gateway.signal('SIGTERM');
      await pause(faultMs + 1_500);
      await kill(gateway);
      gateway.start();
    },
    reload: async () => pick(random, gateways).signal('SIGHUP'),
    storeFault: async (faultMs) => {
      store.fault = pick<StoreFault>(random, ['busy', 'silent', 'reset', 'late']);
      await pause(faultMs);
      store.fault = 'none';
    },
    compact: async () => store.compact(),
    storeLink: async (faultMs) => {
      storeLink.fault = pick<LinkFault>(random, ['delay', 'reset', 'oneWay', 'silent']);
      await pause(faultMs);
      storeLink.fault = 'none';
    },
    targetLink: async (faultMs) => {
      const link = pick(random, links);
      const id = targets[links.indexOf(link)]?.id ?? '';
      const ends = [impairments.begin(id), cutLinks.begin(id)];
      link.fault = pick<LinkFault>(random, ['delay', 'reset', 'oneWay', 'silent']);
      await pause(faultMs);
      link.fault = 'none';
      for (const end of ends) end();
    },
    target: async (faultMs) => {
      const target = pick(random, targets);
      const fault = pick(random, ['full', 'error', 'mute', 'cut', 'unsigned', 'foreign'] as const);
      const end = impairments.begin(target.id);
      target.behaviour = { ...target.behaviour, fault };
      await pause(faultMs);
      target.behaviour = { ...target.behaviour, fault: 'none' };
      end();
    },
    configuration: async () => {
      version += 1;
      store.put('op', 'config', configuration(version));
    },
    weights: async () => {
      weights += 1;
      store.put('op', `version/${model}`, { model, version: weights });
    },
    foreignRow: async () => store.putRaw('servers', 'foreign', Buffer.from([0xff, 0x7b])),
  };

  const contentRandom = createSeededRandom(seed + contentSeedOffset);

  /** Replies that come in time and are wrong, and what targets ask for in their responses. */
  const contentHandlers: Readonly<Record<string, (faultMs: number) => Promise<void>>> = {
    lostChange: async () => {
      store.losesChanges = true;
      version += 1;
      store.put('op', 'config', configuration(version));
      store.losesChanges = false;
    },
    otherPartition: async () => {
      const withoutTeams = configuration(version + 1_000, { tenants: [] });
      store.putInPartition('op', 'other', 'config', withoutTeams);
    },
    malformedRow: async () => store.addMalformedRow(pick(contentRandom, ['op', 'servers'])),
    limit: async (faultMs) => {
      const target = pick(contentRandom, targets);
      target.behaviour = { ...target.behaviour, headers: { 'Server-Limit': '1.5' } };
      await pause(faultMs);
      target.behaviour = { ...target.behaviour, headers: {} };
    },
    pause: async (faultMs) => {
      const target = pick(contentRandom, targets);
      const headers = { 'Retry-After': '0.8' };
      target.behaviour = { ...target.behaviour, fault: 'full', headers };
      await pause(faultMs);
      target.behaviour = { ...target.behaviour, fault: 'none', headers: {} };
    },
    spoiledBytes: async (faultMs) => {
      const engines = targets.filter(({ id }) => id.startsWith('llm'));
      const engine = pick(contentRandom, engines);
      const { gapMs } = engine.behaviour;
      const end = impairments.begin(engine.id);
      const spoiled = { fault: 'garble', keepsWorking: true, gapMs: spoiledGapMs } as const;
      engine.behaviour = { ...engine.behaviour, ...spoiled };
      await pause(faultMs);
      engine.behaviour = { ...engine.behaviour, fault: 'none', keepsWorking: false, gapMs };
      end();
    },
  };

  const sendTraffic = async (
    sender: SoakCaller,
    source: Random,
    perSecond: number,
  ): Promise<void> => {
    while (performance.now() - startedAt < durationMs + recoveryMs) {
      const runningGateways = gateways.filter(({ isRunning }) => isRunning);
      const gateway = runningGateways.length > 0 ? pick(source, runningGateways) : undefined;
      if (gateway) {
        const done = sender.send(gateway.callersPort, 'key-a').finally(() => inFlight.delete(done));
        inFlight.add(done);
      }
      await pause((1_000 / perSecond) * 2 * source.next());
    }
  };

  const plannedRandom = createSeededRandom(seed + plannedSeedOffset);

  const injectFrom = async (
    handlers: typeof faultHandlers,
    source: Random,
    endMs = durationMs,
  ): Promise<void> => {
    while (performance.now() - startedAt < endMs) {
      const name = pick(source, Object.keys(handlers));
      faults.push(`${Math.round(performance.now() - startedAt)} ${name}`);
      const faultMs = source.next() * maxFaultMs;
      runInBackground(() => (handlers[name] as (ms: number) => Promise<void>)(faultMs));
      await pause(source.next() * maxFaultGapMs);
    }
  };

  const injectFaults = async (): Promise<void> => {
    await Promise.all([
      injectFrom(faultHandlers, random),
      injectFrom(contentHandlers, contentRandom),
      injectFrom(
        createPlannedFaults({
          ...{ random: plannedRandom, gateways, targets, kill },
        }),
        plannedRandom,
        durationMs - plannedEndMs,
      ),
    ]);
    await Promise.all(background);
    areFaultsOver = true;
  };

  /** Versions of the configuration that are in force although the faults are over and it is newer. */
  const findOldConfigurations = async (
    isChecked: (gateway: GatewayProcess) => boolean,
  ): Promise<readonly string[]> => {
    const versions = await Promise.all(
      gateways
        .filter((gateway) => gateway.isRunning && isChecked(gateway))
        .map(async ({ name, readyPort }) => {
          // A process that has just started does not listen yet.
          const res = await fetch(`http://127.0.0.1:${readyPort}/metrics`).catch(() => undefined);
          const [, found = 'none'] =
            /^cicadatide_configuration_version (\d+)$/m.exec((await res?.text()) ?? '') ?? [];
          return `${name} has version ${found}`;
        }),
    );
    return versions.filter((text) => !text.endsWith(` ${version}`));
  };

  try {
    store.put('op', 'config', configuration(1));
    for (const name of ['llm-1', 'llm-2', 'llm-3']) await addTarget('llm', name);
    for (const name of ['desk-1', 'desk-2']) await addTarget('desk', name);
    for (let index = 0; index < options.gateways; index += 1) {
      const gateway = createGatewayProcess({
        name: `gw-${index}`,
        folder,
        bundle: options.bundle,
        port: options.port + 3 * index,
        storePort: storeLink.port,
      });
      gateway.start();
      gateways.push(gateway);
    }
    await pause(1_000);
    await Promise.all([
      sendTraffic(caller, random, requestsPerSecond),
      sendTraffic(patientCaller, patientRandom, patientRequestsPerSecond),
      injectFaults(),
      playAbusiveCrowds({
        random: createSeededRandom(seed + abusiveSeedOffset),
        gateways,
        isOver: () => performance.now() - startedAt >= durationMs,
      }),
    ]);
    await Promise.all(inFlight);
    const { responses } = caller;
    const all = [...responses, ...patientCaller.responses];
    const maxEventLoopDelayMs = eventLoopDelay.max / 1e6;
    const violations = [
      ...findViolations(all, targets, maxEventLoopDelayMs),
      ...findOrderViolations(targets),
      ...findExcessRepeats(all, targets, repeatLimits),
      ...findOverlaps({ targets, cutLinks, maxEventLoopDelayMs }),
      ...findLostAnswers({
        ...{ responses: all, targets, impairments, maxEventLoopDelayMs },
        nameOf: (port) => gateways.find((gateway) => gateway.callersPort === port)?.name ?? '',
        stopsOf: (name) => gateways.find((gateway) => gateway.name === name)?.stopSignals ?? [],
      }),
    ];
    const isServed = ({ status, isComplete }: (typeof responses)[number]): boolean =>
      status === 200 && isComplete;
    const recent = responses.slice(-20);
    if (areFaultsOver && recent.filter(isServed).length < recent.length / 2) {
      const detail = `${recent.filter(isServed).length} of the last ${recent.length} served`;
      violations.push({ promise: 'requests succeed after the faults', requestId: '', detail });
    }
    const faultsOverAt = performance.now();
    const isNew = ({ startedAt: gatewayStartedAt }: GatewayProcess): boolean =>
      gatewayStartedAt > faultsOverAt - configurationTimeoutMs;
    const settledOnes = await findOldConfigurations((gateway) => !isNew(gateway));
    let newOnes = await findOldConfigurations(isNew);
    while (newOnes.length > 0 && performance.now() - faultsOverAt < configurationTimeoutMs) {
      await pause(100);
      newOnes = await findOldConfigurations(isNew);
    }
    const oldConfigurations = [...settledOnes, ...newOnes];
    if (areFaultsOver && oldConfigurations.length > 0) {
      const detail = oldConfigurations.join(', ');
      violations.push({
        promise: `configuration ${version} is in force`,
        requestId: '',
        detail,
      });
    }
    const findStaleEngines = (): readonly TargetStandin[] =>
      targets.filter(
        ({ id, weights: loadedVersion }) => id.startsWith('llm') && loadedVersion !== weights,
      );
    const waitStartedAt = performance.now();
    while (findStaleEngines().length > 0 && performance.now() - waitStartedAt < weightsTimeoutMs)
      await pause(100);
    const staleEngines = findStaleEngines();
    if (areFaultsOver && staleEngines.length > 0) {
      const detail = staleEngines
        .map(({ id, weights: loadedVersion }) => `${id} has version ${loadedVersion}`)
        .join(', ');
      violations.push({
        promise: `weights ${weights} are loaded on all engines`,
        requestId: '',
        detail,
      });
    }
    return {
      seed,
      requests: all.length,
      served: all.filter(isServed).length,
      faults,
      violations,
      logs: violations.length > 0 ? gateways.flatMap((gateway) => gateway.tail()) : [],
    };
  } finally {
    eventLoopDelay.disable();
    caller.close();
    patientCaller.close();
    for (const gateway of gateways) await gateway.stop();
    for (const link of links) await link.close();
    await storeLink.close();
    for (const target of targets) await target.close();
    await store.close();
    rmSync(folder, { recursive: true, force: true });
  }
}
