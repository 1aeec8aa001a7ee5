import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { freePort, until } from './util.mjs';

/** Bounds of the small deployment lucka-hq, as its sheet and `fleetbench wire` state them. */
export const bounds = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  configApplyMs: 2_000,
  retryBudget: 0.2,
  budgetWindowS: 10,
  budgetSlack: 58,
  leaseMs: 3_000,
  thawMs: 300,
  versionMs: 10_000,
  versionAllMs: 14_000,
};

/** Processes that run; none outlives the script, whatever ends it. */
const running = new Set();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Fills in a template of the deploy file: `{{a.b}}` and sections `{{#a.b}}..{{.}}..{{/a.b}}`. */
function render(template, settings) {
  const find = (path) =>
    path.split('.').reduce((value, name) => (value === undefined ? value : value[name]), settings);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) => {
      const value = find(path);
      return value === undefined ? '' : inner.replaceAll('{{.}}', String(value));
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path) ?? ''));
}

/** Command and template of the role in the deploy file. */
async function readRole() {
  const text = await readFile('deploy/system.toml', 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const [, template] = /^template = "(.*)"$/m.exec(text);
  return { run: run.split(' '), template: await readFile(template, 'utf8') };
}

const fetchStatus = (port, path) =>
  new Promise((resolve) => {
    const req = get({ host: '127.0.0.1', port, path, agent: false, timeout: 500 }, (res) => {
      res.resume();
      res.on('end', () => resolve(res.statusCode));
      res.on('error', () => resolve(0));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
  });

/** One machine of class `front`; its gateway is started by the command of the deploy file. */
export async function createMachine({ name, zone, storePort, record }) {
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const path = join(folder, 'boot.ini');
  const { run, template } = await readRole();
  const settings = {
    node: name,
    zone,
    ip: '127.0.0.1',
    listen: {
      front: `127.0.0.1:${await freePort()}`,
      ready: `127.0.0.1:${await freePort()}`,
    },
    portRange: [await freePort()],
    platform: { addr: `127.0.0.1:${storePort}` },
    limits: { memoryMb: 200, maxFds: 4_100 },
    bounds,
  };
  await writeFile(path, render(template, settings));
  const portOf = (address) => Number(address.split(':')[1]);
  const log = [];
  let child;
  let end;

  const machine = {
    name,
    zone,
    log,
    port: portOf(settings.listen.front),
    get pid() {
      return child?.pid;
    },
    get end() {
      return end;
    },
    isReady: async () => (await fetchStatus(portOf(settings.listen.ready), '/ready')) === 200,
    start() {
      end = undefined;
      const [program, ...args] = run;
      const env = { PATH: process.env.PATH, HOME: process.env.HOME, CICADATIDE_BOOT: path };
      child = spawn(program, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
      running.add(child);
      record.add(`gateway  ${name} is started`);
      let rest = '';
      child.stdout.on('data', (bytes) => {
        const lines = (rest + bytes.toString('utf8')).split('\n');
        rest = lines.pop() ?? '';
        for (const line of lines) {
          try {
            log.push(JSON.parse(line));
          } catch {
            log.push({ msg: line });
          }
        }
      });
      child.stderr.on('data', (bytes) => {
        for (const line of bytes.toString('utf8').split('\n'))
          if (/^(FATAL|cicadatide:)/.test(line)) record.add(`gateway  ${name} stderr: ${line}`);
      });
      const started = child;
      child.on('exit', (code, signal) => {
        running.delete(started);
        end = { code, signal };
        record.add(`gateway  ${name} ended with ${signal ?? code}`);
      });
    },
    async startAndWait() {
      machine.start();
      return until(() => machine.isReady());
    },
    signal(signal) {
      record.add(`gateway  ${name} gets ${signal}`);
      child.kill(signal);
    },
    /** A planned stop: SIGTERM, and SIGKILL after the grace period. */
    async stop() {
      machine.signal('SIGTERM');
      const isDown = await until(() => end !== undefined, bounds.graceS * 1_000);
      if (!isDown) machine.signal('SIGKILL');
      await until(() => end !== undefined);
    },
    async close() {
      if (child && !end) child.kill('SIGKILL');
      await until(() => !child || end !== undefined);
      await rm(folder, { recursive: true });
    },
  };
  return machine;
}
