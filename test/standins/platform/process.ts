import { execFileSync, spawn } from 'node:child_process';
import { constants, mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { type FileHandle, open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { until } from './site.js';

/** Exit code or the signal that ended the process. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly at: number;
}

/** Gateway in a child process, from its bundle. */
export interface GatewayChild {
  readonly log: readonly Readonly<Record<string, unknown>>[];
  readonly stderr: string;
  /** Set once the process has ended. */
  readonly end: ProcessEnd | undefined;
  signal(signal: NodeJS.Signals): void;
  /**
   * Waits until a process that was started with `holdsSettings` opens its settings. They are
   * complete once the returned function was called.
   */
  holdSettings(): Promise<() => Promise<void>>;
  /** Port for callers; the process must be started. */
  callersPort(): number;
  /** Waits until a line with this message is logged. */
  logged(msg: string): Promise<Readonly<Record<string, unknown>>>;
  exited(): Promise<ProcessEnd>;
  /** Kills the process if it still runs. */
  close(): Promise<void>;
}

export interface GatewayChildOptions {
  /** Path that `bundleGateway` returned. */
  readonly bundle: string;
  readonly storePort: number;
  readonly callersPort?: number;
  readonly operatorsPort?: number;
  readonly graceMs?: number;
  /** The process waits for its settings, which it reads from a pipe. */
  readonly holdsSettings?: boolean;
}

/** Bundles the gateway into a file of this test process and returns its path. */
export function bundleGateway(): string {
  const path = `target/gateway-test-${process.pid}.mjs`;
  execFileSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${path}`]);
  return path;
}

/** Starts a gateway; returns before it accepts requests. */
export function spawnGateway(options: GatewayChildOptions): GatewayChild {
  const {
    bundle,
    storePort,
    callersPort = 0,
    operatorsPort = 0,
    graceMs = 4_000,
    holdsSettings = false,
  } = options;
  const folder = mkdtempSync(join(tmpdir(), 'gateway-'));
  const settingsPath = join(folder, 'gateway.ini');
  const settings = [
    '[process]',
    'instance = gw-1',
    'data_centre = north',
    '[listen]',
    `callers = 127.0.0.1:${callersPort}`,
    `operators = 127.0.0.1:${operatorsPort}`,
    'peers = 127.0.0.1:0',
    '[store]',
    `address = 127.0.0.1:${storePort}`,
    '[shutdown]',
    'balancer_wait = 100ms',
    `grace = ${graceMs}ms`,
  ];
  if (holdsSettings) execFileSync('mkfifo', [settingsPath]);
  else writeFileSync(settingsPath, settings.join('\n'));
  const child = spawn(process.execPath, [bundle], {
    env: { ...process.env, CICADATIDE_BOOT: settingsPath },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log: Record<string, unknown>[] = [];
  let rest = '';
  let stderr = '';
  let end: ProcessEnd | undefined;
  child.stdout.on('data', (bytes: Buffer) => {
    const lines = (rest + bytes.toString('utf8')).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) log.push(JSON.parse(line) as Record<string, unknown>);
  });
  child.stderr.on('data', (bytes: Buffer) => {
    stderr += bytes.toString('utf8');
  });
  // The streams of a process end after its exit event.
  child.once('close', (code, signal) => {
    end = { code, signal, at: performance.now() };
  });
  const find = (msg: string) => log.find((line) => String(line['msg']).startsWith(msg));
  const exited = async (): Promise<ProcessEnd> => {
    await until(() => end !== undefined);
    return end as ProcessEnd;
  };
  return {
    log,
    get stderr() {
      return stderr;
    },
    get end() {
      return end;
    },
    signal: (signal) => void child.kill(signal),
    async holdSettings() {
      let pipe: FileHandle | undefined;
      // The pipe can't be opened for writing until a reader has opened it.
      await until(async () => {
        pipe = await open(settingsPath, constants.O_WRONLY + constants.O_NONBLOCK).catch(
          () => undefined,
        );
        return pipe !== undefined;
      });
      return async () => {
        // The process has opened the pipe; later reads get a file.
        writeFileSync(`${settingsPath}.new`, settings.join('\n'));
        renameSync(`${settingsPath}.new`, settingsPath);
        await pipe?.writeFile(settings.join('\n'));
        await pipe?.close();
      };
    },
    callersPort: () => Number(new URL(String(find('gateway started')?.['callersAddress'])).port),
    async logged(msg) {
      await until(() => find(msg) !== undefined || end !== undefined);
      const line = find(msg);
      if (!line) throw new Error(`the process ended without logging "${msg}": ${stderr}`);
      return line;
    },
    exited,
    async close() {
      if (end === undefined) child.kill('SIGKILL');
      await exited();
      rmSync(folder, { recursive: true });
    },
  };
}
