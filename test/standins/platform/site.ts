import { createSocket } from 'node:dgram';
import { systemClock } from '../../../src/base/clock.js';
import { createHttpClient } from '../../../src/base/httpclient.js';
import { createResponseMonitor } from '../../../src/base/responselimits.js';
import { createNullLogger, type Logger } from '../../../src/base/logging.js';
import { startGateway } from '../../../src/daemon/gateway.js';
import { type DaemonProcess } from '../../../src/daemon/process.js';
import { parseGatewaySettings } from '../../../src/daemon/settings/read.js';
import { createEraTracker } from '../../../src/storeera/eras.js';
import { createCacheReader, createEngineControl } from '../../../platform/engine.js';
import { headerProtocol } from '../../../platform/headers.js';
import { siteDecoder } from '../../../platform/site.js';
import { createPlatformStore } from '../../../platform/store.js';
import { startStoreStandin, type StoreStandin } from './store.js';
import { startTargetStandin, type TargetStandin, type TargetStandinOptions } from './target.js';

export const model = 'model-a';

/** Configuration of the test site: routes of each kind, all for the host `site.test`. */
export function configuration(version: number, changes: Readonly<Record<string, unknown>> = {}) {
  const route = (name: string, kind: string, service: string, overrides: object = {}) => ({
    name,
    host: 'site.test',
    prefix: `/${name}/`,
    kind,
    timeoutMs: 2_000,
    sloMs: 300,
    priority: 1,
    service,
    attempts: 2,
    public: false,
    ...overrides,
  });
  return {
    version,
    routes: [
      route('fit', 'streaming', 'llm', { resumable: true, gapSloMs: 300, sticky: true }),
      route('reply', 'streaming', 'llm', { resumable: false, gapSloMs: 300, attempts: 1 }),
      route('order', 'unsafe', 'desk', { attempts: 1 }),
      route('look', 'safe', 'desk'),
      route('open', 'safe', 'desk', { public: true }),
      route('ask', 'safe', 'llm'),
      route('write', 'unsafe', 'llm', { attempts: 1 }),
    ],
    services: [
      {
        name: 'llm',
        healthPath: '/health',
        maxConns: 100,
        engine: { slots: 8, kvCapacity: 100_000, models: [{ name: model }] },
      },
      { name: 'desk', healthPath: '/health', maxConns: 100 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      { name: 'team-a', apiKeys: ['key-a'], isolated: false },
      { name: 'team-b', apiKeys: ['key-b'], isolated: true },
    ],
    ...changes,
  };
}

/** Test site with gateways, stand-in targets and a stand-in store. */
export interface PlatformSite {
  readonly store: StoreStandin;
  startTarget(service: string, options: TargetStandinOptions): Promise<TargetStandin>;
  /** Starts a gateway, with further lines of settings, and waits until it is ready. */
  startGateway(name: string, log?: Logger, lines?: readonly string[]): Promise<DaemonProcess>;
  /** Starts a gateway and waits until it may use its part of the fixed number of repeats. */
  startSettledGateway(name: string): Promise<DaemonProcess>;
  close(): Promise<void>;
}

/** Window of the retry budget of a settled gateway, which uses the fixed number after one window. */
const settledWindowMs = 250;

/** Finds a free port for datagrams; test files run in several processes at the same time. */
function findPeerPort(): Promise<number> {
  const socket = createSocket('udp4');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(0, '127.0.0.1', () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Polls until a condition is met; times out late enough to pass on a busy machine. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  for (let attempts = 0; attempts < 1_000; attempts += 1) {
    if (await condition()) return;
    await pause(10);
  }
  throw new Error('condition was not met in time');
}

export async function isReady(gateway: DaemonProcess): Promise<boolean> {
  const res = await fetch(`${gateway.addresses.operators}/ready`);
  await res.text();
  return res.status === 200;
}

/** Starts a store with the test site's configuration. */
export async function startPlatformSite(): Promise<PlatformSite> {
  const store = await startStoreStandin();
  store.put('op', 'config', configuration(1));
  const targets: TargetStandin[] = [];
  const gateways: DaemonProcess[] = [];
  const site: PlatformSite = {
    store,
    async startTarget(service, options) {
      const target = await startTargetStandin(options);
      targets.push(target);
      store.put('servers', target.id, target.registration(service));
      return target;
    },
    async startGateway(name, log = createNullLogger(), lines = []) {
      const peerPort = await findPeerPort();
      const settings = parseGatewaySettings(
        [
          '[process]',
          `instance = ${name}`,
          'data_centre = north',
          '[listen]',
          'callers = 127.0.0.1:0',
          'operators = 127.0.0.1:0',
          `peers = 127.0.0.1:${peerPort}`,
          '[store]',
          `address = 127.0.0.1:${store.port}`,
          '[shutdown]',
          'balancer_wait = 100ms',
          'grace = 3s',
          ...lines,
        ].join('\n'),
        'test.ini',
      );
      const responseMonitor = createResponseMonitor();
      const httpClient = createHttpClient(responseMonitor);
      const gateway = await startGateway({
        settings,
        log,
        droppedLogLines: () => 0,
        platform: {
          decoder: siteDecoder,
          protocol: headerProtocol,
          store: createPlatformStore({
            address: settings.store.address,
            httpClient,
            eras: createEraTracker({ clock: systemClock, log }),
          }),
          control: createEngineControl(httpClient),
          cacheReader: createCacheReader(httpClient),
          responseMonitor,
          readyPath: '/ready',
        },
      });
      gateways.push(gateway);
      await until(() => isReady(gateway));
      return gateway;
    },
    async startSettledGateway(name) {
      const lines = ['[repeats]', `window = ${settledWindowMs}ms`];
      const gateway = await site.startGateway(name, createNullLogger(), lines);
      await pause(settledWindowMs);
      return gateway;
    },
    async close() {
      for (const gateway of gateways) gateway.stop();
      for (const target of targets) await target.close();
      await store.close();
    },
  };
  return site;
}
