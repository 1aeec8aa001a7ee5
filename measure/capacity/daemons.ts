/** Starts daemons as child processes and reads their metrics. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** Processor time and memory as reported by /metrics of the daemon. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** A daemon that runs as a child process. */
export interface DaemonChild {
  readonly addresses: { readonly internal: string; readonly operators: string };
  usage(): Promise<ProcessUsage>;
  /** Kills the process and waits for its exit. */
  stop(): Promise<void>;
}

/** Sections of a settings file. */
export type SettingsSections = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** Credential of all processes that the tool starts. */
export const credential = 'capacity-credential';

const root = fileURLToPath(new URL('../..', import.meta.url));

const startTimeoutMs = 20_000;

const runningDaemons = new Set<DaemonChild>();

function toIni(sections: SettingsSections): string {
  return Object.entries(sections)
    .map(([name, keys]) => {
      const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
      return [`[${name}]`, ...lines, ''].join('\n');
    })
    .join('\n');
}

function readMetric(text: string, name: string): number {
  const line = text.split('\n').find((item) => item.startsWith(`${name} `));
  if (!line) throw new Error(`/metrics of the daemon has no metric ${name}`);
  return Number(line.slice(name.length + 1));
}

function waitForAddresses(child: ChildProcess): Promise<DaemonChild['addresses']> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error('the daemon did not report its addresses in time')),
      startTimeoutMs,
    );
    child.once('exit', (code) => reject(new Error(`the daemon exited with code ${code}`)));
    if (!child.stdout) return;
    createInterface({ input: child.stdout }).on('line', (line) => {
      if (!line.includes('"addresses"')) return;
      clearTimeout(timer);
      resolve((JSON.parse(line) as { readonly addresses: DaemonChild['addresses'] }).addresses);
    });
  });
}

/** Starts a daemon from source on free loopback ports. */
export async function startDaemon(
  role: 'entry' | 'agent',
  instance: string,
  sections: SettingsSections,
): Promise<DaemonChild> {
  const folder = mkdtempSync(join(tmpdir(), 'capacity-'));
  const file = join(folder, 'daemon.ini');
  const freePort = '127.0.0.1:0';
  const settings = {
    process: { role, instance, data_centre: 'dc-1' },
    listen: {
      operators: freePort,
      internal: freePort,
      ...(role === 'entry' && { callers: freePort }),
    },
    internal: { credential },
    ...sections,
  };
  writeFileSync(file, toIni(settings));
  const args = ['--import', 'tsx', 'src/daemon/main.ts', '--config', file];
  const child = spawn(process.execPath, args, { cwd: root, stdio: ['ignore', 'pipe', 'inherit'] });
  const exited = new Promise<void>((resolve) => {
    child.once('exit', () => resolve());
  });
  const stop = async (): Promise<void> => {
    child.kill('SIGKILL');
    await exited;
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    const addresses = await waitForAddresses(child);
    const daemon: DaemonChild = {
      addresses,
      async usage() {
        const text = await (await fetch(`${addresses.operators}/metrics`)).text();
        return {
          cpuSeconds: readMetric(text, 'process_cpu_seconds_total'),
          residentBytes: readMetric(text, 'process_resident_memory_bytes'),
        };
      },
      async stop() {
        runningDaemons.delete(daemon);
        await stop();
      },
    };
    runningDaemons.add(daemon);
    return daemon;
  } catch (err) {
    await stop();
    throw err;
  }
}

/** Stops every daemon that is still running. */
export async function stopAll(): Promise<void> {
  await Promise.all([...runningDaemons].map((daemon) => daemon.stop()));
}
