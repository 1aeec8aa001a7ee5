import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeAll, beforeEach, expect, it } from 'vitest';
import { createGatewayProcess, type GatewayProcess } from '../soak/process.js';
import {
  type EndlessName,
  endlessResponses,
  type EndlessTarget,
  startEndlessTarget,
} from '../standins/platform/endlesstarget.js';
import {
  configuration,
  model,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';

const bundle = 'target/endless/gateway.mjs';

/** Options of deploy/system.toml. */
const nodeOptions = ['--max-old-space-size=96', '--max-semi-space-size=4'];

/** The smallest machine has 200 MB. */
const maxMemory = 200_000_000;

/** Concurrent requests at the faulty targets. */
const faultyCalls = 120;

const soundCalls = 40;

const faultyTargets = 3;

let site: PlatformSite;
let gateway: GatewayProcess;
let folder: string;
const targets: EndlessTarget[] = [];

beforeAll(() => {
  execFileSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${bundle}`]);
});

beforeEach(async () => {
  site = await startPlatformSite();
  const { routes } = configuration(1);
  const patient = {
    ...routes.find(({ name }) => name === 'look'),
    name: 'patient',
    prefix: '/patient/',
    timeoutMs: 10_000,
    sloMs: 4_000,
  };
  site.store.put('op', 'config', configuration(2, { routes: [...routes, patient] }));
  folder = mkdtempSync(join(tmpdir(), 'cicadatide-endless-'));
  gateway = createGatewayProcess({
    name: 'gw-1',
    folder,
    bundle,
    port: 27_000 + (process.pid % 1_000) * 3,
    storePort: site.store.port,
    nodeOptions,
  });
});

afterEach(async () => {
  await gateway.stop();
  for (const target of targets.splice(0)) await target.close();
  await site.close();
  rmSync(folder, { recursive: true, force: true });
});

interface Call {
  readonly route: string;
  readonly method?: string;
  readonly deadlineMs: number;
}

let nextId = 0;

/** Returns the status, or 0 when the response was interrupted. */
function send({ route, method = 'POST', deadlineMs }: Call): Promise<number> {
  nextId += 1;
  const requestId = `r${nextId}`;
  return new Promise((resolve) => {
    const req = request({
      agent: false,
      port: gateway.callersPort,
      method,
      path: `/${route}/x`,
      headers: {
        Host: 'site.test',
        'X-Request-Id': requestId,
        'X-Deadline-Ms': String(deadlineMs),
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '900,40',
        'X-Prompt-Prefix': `a:500,${requestId}:400`,
      },
    });
    const timer = setTimeout(() => req.destroy(), deadlineMs + 2_000);
    const finish = (status: number): void => {
      clearTimeout(timer);
      resolve(status);
    };
    req.on('error', () => finish(0));
    req.on('response', (res) => {
      res.on('error', () => finish(0));
      res.on('end', () => finish(res.complete ? (res.statusCode ?? 0) : 0));
      res.resume();
    });
    req.end();
  });
}

async function startGateway(): Promise<void> {
  gateway.start();
  await until(() =>
    fetch(`http://127.0.0.1:${gateway.readyPort}/ready`)
      .then((res) => res.status === 200)
      .catch(() => false),
  );
}

interface Outcome {
  readonly sound: readonly number[];
  readonly peakMemory: number;
}

/** Sends requests to the faulty targets and, while they run, to a sound one. */
async function run(name: EndlessName, calls: readonly Call[]): Promise<Outcome> {
  await site.startTarget('desk', { id: 'desk-1' });
  for (let index = 0; index < faultyTargets; index += 1) {
    const target = await startEndlessTarget('llm', name, model);
    targets.push(target);
    site.store.put('servers', `llm-${index}`, target.registration);
  }
  await startGateway();
  const faulty = Promise.all(
    Array.from({ length: faultyCalls }, (_, index) => send(calls[index % calls.length] as Call)),
  );
  const soundStatuses: number[] = [];
  const runSound = async (): Promise<void> => {
    for (let index = 0; index < 4; index += 1)
      soundStatuses.push(await send({ route: 'patient', deadlineMs: 8_000 }));
  };
  await Promise.all(Array.from({ length: soundCalls / 4 }, runSound));
  await faulty;
  return { sound: soundStatuses, peakMemory: gateway.peakMemory() };
}

const names = Object.keys(endlessResponses) as EndlessName[];

const deadlineMs = 3_000;

const calls: readonly Call[] = [
  { route: 'reply', deadlineMs },
  { route: 'fit', deadlineMs },
  { route: 'ask', deadlineMs },
  { route: 'write', deadlineMs },
  { route: 'ask', method: 'HEAD', deadlineMs },
];

it.each(names)('serves other callers while targets send bytes without end (%s)', async (name) => {
  const { sound, peakMemory } = await run(name, calls);
  const lastWords = gateway.tail().find((line) => line.startsWith('FATAL'));
  expect(gateway.isRunning, lastWords).toBe(true);
  expect(sound.filter((status) => status !== 200)).toEqual([]);
  expect(peakMemory).toBeLessThan(maxMemory);
  await until(() => targets.every(({ openConnections }) => openConnections === 0));
});
