import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { createSeededRandom, type Random } from '../../src/base/random.js';
import { configuration, model } from '../standins/platform/site.js';
import { startStoreStandin, type StoreFault } from '../standins/platform/store.js';
import { startTargetStandin, type TargetStandin } from '../standins/platform/target.js';
import { createSoakCaller } from './caller.js';
import { type LinkFault, startLink } from './link.js';
import { createGatewayProcess, type GatewayProcess } from './process.js';
import { findOrderViolations, findViolations, type Violation } from './promises.js';

/** Result of one soak. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  /** Requests that were answered whole and with success. */
  readonly served: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
  /** Log lines of the gateways, for a seed that failed. */
  readonly logs: readonly string[];
}

export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly gateways: number;
  /** Bundled program. */
  readonly bundle: string;
  /** First free port; three are used for each gateway. */
  readonly port: number;
}

const requestsPerSecond = 40;

/** Added to the seed for the callers that leave. */
const leavingSeed = 1_000_003;

/** Longest time between two faults; they overlap. */
const maxFaultGapMs = 700;

const maxFaultMs = 1_500;

/** Calm time at the end in which everything has to work again. */
const calmMs = 3_500;

/** Time within which named weights have to be everywhere, as the operators' pages say. */
const weightsMs = 10_000;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const pick = <T>(random: Random, items: readonly T[]): T =>
  items[random.integer(items.length)] as T;

/** Plays one seed: real gateway processes, stand-ins behind faulty links, faults that overlap. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs } = options;
  const random = createSeededRandom(seed);
  const folder = mkdtempSync(join(tmpdir(), 'cicadatide-soak-'));
  const store = await startStoreStandin();
  const storeLink = await startLink(store.port);
  const targets: TargetStandin[] = [];
  const links: Awaited<ReturnType<typeof startLink>>[] = [];
  const gateways: GatewayProcess[] = [];
  const caller = createSoakCaller(random, createSeededRandom(seed + leavingSeed));
  const faults: string[] = [];
  const running = new Set<Promise<void>>();
  const background = new Set<Promise<void>>();
  const ownDelay = monitorEventLoopDelay();
  ownDelay.enable();
  const startedAt = performance.now();
  let version = 1;
  let weights = 1;
  let isCalm = false;

  const addTarget = async (service: string, name: string): Promise<void> => {
    const isEngine = service === 'llm';
    const target = await startTargetStandin({ id: name, ...(isEngine ? { model } : {}) });
    const link = await startLink(target.port);
    targets.push(target);
    links.push(link);
    const entry = { ...target.registration(service), addr: `127.0.0.1:${link.port}` };
    store.put('servers', name, entry);
  };

  const later = (work: () => Promise<void>): void => {
    const done = work().finally(() => background.delete(done));
    background.add(done);
  };

  const handlers: Readonly<Record<string, (forMs: number) => Promise<void>>> = {
    kill: async (forMs) => {
      const gateway = pick(random, gateways);
      await gateway.stop();
      await pause(forMs / 2);
      if (!gateway.isRunning) gateway.start();
    },
    pause: async (forMs) => {
      const gateway = pick(random, gateways);
      gateway.signal('SIGSTOP');
      await pause(forMs);
      gateway.signal('SIGCONT');
    },
    terminate: async (forMs) => {
      const gateway = pick(random, gateways);
      gateway.signal('SIGTERM');
      await pause(forMs + 1_500);
      await gateway.stop();
      gateway.start();
    },
    reload: async () => pick(random, gateways).signal('SIGHUP'),
    storeFault: async (forMs) => {
      store.fault = pick<StoreFault>(random, ['busy', 'silent', 'reset', 'late']);
      await pause(forMs);
      store.fault = 'none';
    },
    compact: async () => store.compact(),
    storeLink: async (forMs) => {
      storeLink.fault = pick<LinkFault>(random, ['delay', 'reset', 'oneWay', 'silent']);
      await pause(forMs);
      storeLink.fault = 'none';
    },
    targetLink: async (forMs) => {
      const link = pick(random, links);
      link.fault = pick<LinkFault>(random, ['delay', 'reset', 'oneWay', 'silent']);
      await pause(forMs);
      link.fault = 'none';
    },
    target: async (forMs) => {
      const target = pick(random, targets);
      const fault = pick(random, ['full', 'error', 'mute', 'cut', 'unsigned', 'foreign'] as const);
      target.behaviour = { ...target.behaviour, fault };
      await pause(forMs);
      target.behaviour = { ...target.behaviour, fault: 'none' };
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

  const traffic = async (): Promise<void> => {
    while (performance.now() - startedAt < durationMs + calmMs) {
      const up = gateways.filter(({ isRunning }) => isRunning);
      const gateway = up.length > 0 ? pick(random, up) : undefined;
      if (gateway) {
        const done = caller.send(gateway.callersPort, 'key-a').finally(() => running.delete(done));
        running.add(done);
      }
      await pause((1_000 / requestsPerSecond) * 2 * random.next());
    }
  };

  const disturb = async (): Promise<void> => {
    while (performance.now() - startedAt < durationMs) {
      const name = pick(random, Object.keys(handlers));
      faults.push(`${Math.round(performance.now() - startedAt)} ${name}`);
      later(() => (handlers[name] as (forMs: number) => Promise<void>)(random.next() * maxFaultMs));
      await pause(random.next() * maxFaultGapMs);
    }
    await Promise.all(background);
    isCalm = true;
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
    await Promise.all([traffic(), disturb()]);
    await Promise.all(running);
    const { answers } = caller;
    const violations = [
      ...findViolations(answers, targets, ownDelay.max / 1e6),
      ...findOrderViolations(targets),
    ];
    const isServed = ({ status, isWhole }: (typeof answers)[number]): boolean =>
      status === 200 && isWhole;
    const last = answers.slice(-20);
    if (isCalm && last.filter(isServed).length < last.length / 2) {
      const detail = `${last.filter(isServed).length} of the last ${last.length} served`;
      violations.push({ promise: 'service returns', requestId: '', detail });
    }
    const findStale = (): readonly TargetStandin[] =>
      targets.filter(({ id, weights: has }) => id.startsWith('llm') && has !== weights);
    const calmSince = performance.now();
    while (findStale().length > 0 && performance.now() - calmSince < weightsMs) await pause(100);
    const stale = findStale();
    if (isCalm && stale.length > 0) {
      const detail = stale.map(({ id, weights: has }) => `${id} has ${has}`).join(', ');
      violations.push({ promise: `weights ${weights} are everywhere`, requestId: '', detail });
    }
    return {
      seed,
      requests: answers.length,
      served: answers.filter(isServed).length,
      faults,
      violations,
      logs: violations.length > 0 ? gateways.flatMap((gateway) => gateway.tail()) : [],
    };
  } finally {
    ownDelay.disable();
    caller.close();
    for (const gateway of gateways) await gateway.stop();
    for (const link of links) await link.close();
    await storeLink.close();
    for (const target of targets) await target.close();
    await store.close();
    rmSync(folder, { recursive: true, force: true });
  }
}
