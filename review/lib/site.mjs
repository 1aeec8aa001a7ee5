import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startStoreStandin } from '../../target/review/store.mjs';

/** Root of the repository, in which the platform starts the programs. */
const root = fileURLToPath(new URL('../..', import.meta.url));

export const model = 'model-a';

export const host = 'site.test';

/** Bounds of the site lucka-hq that the template of the settings uses. */
const bounds = {
  leaseMs: 3_000,
  versionMs: 10_000,
  contactMs: 3_000,
  retryBudget: 0.2,
  budgetSlack: 58,
  budgetWindowS: 10,
  graceS: 8,
};

export const pause = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Polls until the condition holds; rejects when it does not in time. */
export async function until(condition, what, limitMs = 15_000) {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    if (await condition()) return;
    await pause(20);
  }
  throw new Error(`not reached in time: ${what}`);
}

function freePort() {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Route of a configuration with the times of the site lucka-hq. */
export const route = (name, kind, service, changes = {}) => ({
  name,
  host,
  prefix: `/${name}/`,
  kind,
  timeoutMs: 12_000,
  sloMs: 150,
  priority: 2,
  service,
  attempts: 1,
  public: false,
  ...changes,
});

export const engineService = (name) => ({
  name,
  healthPath: '/health',
  maxConns: 370,
  engine: { slots: 64, kvCapacity: 117_426, kvTokenBytes: 18_432, models: [{ name: model }] },
});

export const plainService = (name) => ({ name, healthPath: '/health', maxConns: 110 });

export const configuration = (version, routes, services, tenants) => ({
  version,
  routes,
  services,
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: tenants ?? [{ name: 'team-a', apiKeys: ['key-a'], isolated: false }],
});

/** Fills in a template as DEPLOY.md says, as far as deploy/gateway.ini uses it. */
function fillIn(template, values) {
  const lookUp = (path) => path.split('.').reduce((value, name) => value?.[name], values);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) => {
      const value = lookUp(path);
      return value === undefined ? '' : inner.replaceAll('{{.}}', String(value));
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(lookUp(path) ?? ''));
}

async function deployValue(name) {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  return new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
}

/** Starts a gateway with the command and the template of the deploy file. */
async function startGateway({ name, folder, storePort, children }) {
  const [front, ready, peers] = [await freePort(), await freePort(), await freePort()];
  const settingsPath = join(folder, `${name}.ini`);
  const template = await readFile(join(root, await deployValue('template')), 'utf8');
  const settings = fillIn(template, {
    node: name,
    zone: 'lj-north',
    ip: '127.0.0.1',
    listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
    portRange: [peers],
    platform: { addr: `127.0.0.1:${storePort}` },
    bounds,
  });
  await writeFile(settingsPath, settings);
  const [program, ...args] = (await deployValue('run')).split(' ');
  const log = [];
  const gateway = { name, front, ready, log, exit: undefined };
  const start = () => {
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CICADATIDE_BOOT: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(child);
    gateway.exit = undefined;
    child.once('exit', (code, signal) => {
      children.delete(child);
      gateway.exit = { code, signal, at: performance.now() };
    });
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (bytes) => log.push(bytes.toString('utf8')));
    gateway.signal = (signal) => child.kill(signal);
  };
  gateway.isReady = () =>
    new Promise((resolve) => {
      const req = get({ host: '127.0.0.1', port: ready, path: '/ready', agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('error', () => resolve(false));
    });
  gateway.start = start;
  start();
  return gateway;
}

/** Site of one platform store, any number of stand-in targets and gateway processes. */
async function createSite() {
  const folder = await mkdtemp(join(tmpdir(), 'cicadatide-review-'));
  const store = await startStoreStandin();
  const children = new Set();
  const closers = [];
  return {
    store,
    /** Registers a target at the store. */
    register: (target, changes = {}) =>
      store.put('servers', target.id, { ...target.registration, ...changes }),
    async startGateway(name, storePort = store.port) {
      const gateway = await startGateway({ name, folder, storePort, children });
      await until(gateway.isReady, `${name} is ready`);
      return gateway;
    },
    /** Closes a stand-in at the end. */
    closeLater: (close) => closers.push(close),
    async close() {
      for (const child of children) child.kill('SIGCONT');
      for (const child of children) child.kill('SIGKILL');
      await until(() => children.size === 0, 'all gateways have ended').catch(() => undefined);
      for (const close of closers) await close();
      await store.close();
      await rm(folder, { recursive: true, force: true });
    },
  };
}

/**
 * Plays a case and exits: 1 if `play` returns violations, 0 if there are none, 2 if it can't run.
 * Everything that `record` gets is written to record.txt in the folder of the case.
 */
export async function runCase(caseUrl, play) {
  const lines = [];
  const startedAt = performance.now();
  const record = (text) =>
    lines.push(`${String(Math.round(performance.now() - startedAt)).padStart(6)} ms  ${text}`);
  const isTroubled = process.env.TROUBLE !== '0';
  const recordPath = fileURLToPath(new URL('record.txt', caseUrl));
  const expiry = {};
  const expired = new Promise((_, reject) => {
    expiry.timer = setTimeout(() => reject(new Error('time limit of the script')), 110_000);
  });
  let site;
  let code = 2;
  try {
    site = await createSite();
    record(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
    const violations = await Promise.race([play({ site, record, isTroubled }), expired]);
    for (const text of violations) record(`BROKEN ${text}`);
    record(violations.length > 0 ? `rule broken ${violations.length} times` : 'rule held');
    code = violations.length > 0 ? 1 : 0;
  } catch (err) {
    record(`the case could not run: ${err instanceof Error ? err.stack : err}`);
  } finally {
    await site?.close();
    clearTimeout(expiry.timer);
    await writeFile(recordPath, `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.slice(-4).join('\n')}\n`);
  }
  process.exitCode = code;
}
