import { type ChildProcess, spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** One gateway as a process of its own, which the soak may stop, pause and kill by its id. */
export interface GatewayProcess {
  readonly name: string;
  readonly callersPort: number;
  readonly readyPort: number;
  readonly isRunning: boolean;
  start(): void;
  signal(name: NodeJS.Signals): void;
  /** Ends the process and waits until it is gone. */
  stop(): Promise<void>;
  /** Newest lines of its log. */
  tail(): readonly string[];
}

export interface GatewayProcessOptions {
  readonly name: string;
  readonly folder: string;
  readonly bundle: string;
  /** First of three free ports. */
  readonly port: number;
  readonly storePort: number;
}

const keptLines = 400;

const settings = ({ name, port, storePort }: GatewayProcessOptions): string =>
  [
    '[process]',
    `instance = ${name}`,
    'data_centre = north',
    '[listen]',
    `callers = 127.0.0.1:${port}`,
    `operators = 127.0.0.1:${port + 1}`,
    `peers = 127.0.0.1:${port + 2}`,
    '[store]',
    `address = 127.0.0.1:${storePort}`,
    '[shutdown]',
    'balancer_wait = 300ms',
    'grace = 3s',
  ].join('\n');

export function createGatewayProcess(options: GatewayProcessOptions): GatewayProcess {
  const { name, folder, bundle, port } = options;
  const path = join(folder, `${name}.ini`);
  writeFileSync(path, settings(options));
  let child: ChildProcess | undefined;
  let lines: string[] = [];
  return {
    name,
    callersPort: port,
    readyPort: port + 1,
    get isRunning() {
      return child !== undefined && child.exitCode === null && child.signalCode === null;
    },
    start() {
      child = spawn(process.execPath, [bundle], {
        env: { ...process.env, CICADATIDE_BOOT: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      for (const stream of [child.stdout, child.stderr]) {
        stream?.on('data', (chunk: Buffer) => {
          lines.push(...chunk.toString('utf8').split('\n').filter(Boolean));
          lines = lines.slice(-keptLines);
        });
      }
    },
    signal: (signal) => void child?.kill(signal),
    async stop() {
      const running = child;
      if (!running || running.exitCode !== null || running.signalCode !== null) return;
      const ended = new Promise((resolve) => {
        running.once('exit', resolve);
      });
      running.kill('SIGCONT');
      running.kill('SIGKILL');
      await ended;
    },
    tail: () => lines,
  };
}
