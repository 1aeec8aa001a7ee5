// Starts gateways with the run command and the settings template of the deploy file.
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const root = fileURLToPath(new URL('../..', import.meta.url));

export const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export async function until(what, condition, limitMs = 15_000) {
  const end = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error(`not in time: ${what}`);
    await pause(20);
  }
}

const freeTcpPort = (host) =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const freeUdpPort = (host) =>
  new Promise((resolve, reject) => {
    const socket = createSocket('udp4');
    socket.once('error', reject);
    socket.bind(0, host, () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });

const valueAt = (fields, path) => path.split('.').reduce((value, key) => value?.[key], fields);

/** Fills the parts of the template language (DEPLOY.md) that deploy/gateway.ini uses. */
export function fillTemplate(text, fields) {
  const section = /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs;
  const filled = text.replace(section, (_all, path, inner) => {
    const value = valueAt(fields, path);
    if (value === undefined || value === null || value === false) return '';
    return inner.replaceAll('{{.}}', String(value));
  });
  return filled.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(valueAt(fields, path) ?? ''));
}

const deployFile = async () => {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  const find = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  return { run: find('run'), template: find('template') };
};

/** Bounds of sites/lucka-hq.toml, as its sheet in SYSTEM.md gives them. */
export const bounds = {
  drainMs: 2000,
  graceS: 8,
  contactMs: 3000,
  retryBudget: 0.2,
  budgetWindowS: 10,
  budgetSlack: 58,
  leaseMs: 3000,
  versionMs: 10000,
};

export async function startGateway({ name, host, zone = 'north', store, memoryMb = 200 }) {
  const { run, template } = await deployFile();
  const folder = await mkdtemp(join(tmpdir(), 'review-gateway-'));
  const settingsPath = join(folder, 'boot');
  const front = `${host}:${await freeTcpPort(host)}`;
  const ready = `${host}:${await freeTcpPort(host)}`;
  const fields = {
    node: name,
    zone,
    ip: host,
    listen: { front, ready },
    portRange: [await freeUdpPort(host)],
    platform: { addr: store },
    limits: { memoryMb, maxFds: 4100 },
    bounds,
  };
  const text = await readFile(join(root, template), 'utf8');
  await writeFile(settingsPath, fillTemplate(text, fields));
  const [program, ...args] = run.split(' ');
  const log = [];
  let child;
  let end;
  const start = () => {
    end = undefined;
    child = spawn(program, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: folder, CICADATIDE_BOOT: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let rest = '';
    child.stdout.on('data', (bytes) => {
      const lines = (rest + bytes.toString('utf8')).split('\n');
      rest = lines.pop();
      for (const line of lines) log.push(line);
    });
    child.stderr.on('data', (bytes) => log.push(bytes.toString('utf8')));
    child.once('exit', (code, signal) => {
      end = { code, signal, at: performance.now() };
    });
  };
  start();
  const isReady = () =>
    new Promise((resolve) => {
      const req = request(`http://${ready}/ready`, { agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('error', () => resolve(false));
      req.end();
    });
  return {
    name,
    front,
    ready,
    log,
    get end() {
      return end;
    },
    get pid() {
      return child.pid;
    },
    isReady,
    start,
    signal: (signal) => child.kill(signal),
    async close() {
      if (!end) child.kill('SIGKILL');
      await until('the gateway ends', () => end !== undefined);
      await rm(folder, { recursive: true, force: true });
    },
  };
}
