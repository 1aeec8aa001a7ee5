import { type ConfigurationSnapshot } from '../../src/configuration/records.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import {
  type EngineOptions,
  type EngineRun,
  type StandInEngine,
  startEngine,
} from '../../test/standins/engine.js';
import { type StandInService, startService } from '../../test/standins/service.js';
import { type SilentProxy, startSilentProxy } from '../../test/standins/silentproxy.js';
import { type AgentSpec, startSiteAgent, startSiteEntry } from '../../test/standins/site.js';
import { type TableFault } from '../../test/standins/faultytable.js';
import {
  createTableClient,
  startTableServer,
  type TableServer,
} from '../../test/standins/tableserver.js';

/** Message to a host process that runs one command. */
export interface HostRequest {
  readonly id: number;
  readonly name: CommandName;
  readonly args: unknown;
}

/** Reply of a host process to one command. */
export interface HostReply {
  readonly id: number;
  readonly result?: unknown;
  readonly err?: string;
}

interface EntryOptions {
  readonly name: string;
  readonly agents: readonly string[];
  readonly configuration: ConfigurationSnapshot;
  readonly policy: string;
  readonly callers?: string;
  readonly tableUrl?: string;
}

const engines = new Map<string, StandInEngine>();
const services = new Map<string, StandInService>();
const daemons = new Map<string, DaemonProcess>();
const proxies = new Map<string, SilentProxy>();
let table: TableServer | undefined;

function findByName<T>(items: ReadonlyMap<string, T>, name: string): T {
  const item = items.get(name);
  if (!item) throw new Error(`no component named ${name} is running in this host process`);
  return item;
}

/** Commands of a host process; arguments and results are plain JSON. */
export const commands = {
  async startEngine({ name, ...options }: EngineOptions & { readonly name: string }) {
    const engine = await startEngine(options);
    engines.set(name, engine);
    return engine.url;
  },
  slowEngine({ name, factor }: { readonly name: string; readonly factor: number }): void {
    findByName(engines, name).slow(factor);
  },
  crashEngine({ name, downMs }: { readonly name: string; readonly downMs: number }) {
    return findByName(engines, name).crash(downMs);
  },
  /** Stops the engine and returns its records. */
  async closeEngine({ name }: { readonly name: string }): Promise<readonly EngineRun[]> {
    const engine = findByName(engines, name);
    engines.delete(name);
    await engine.close();
    return engine.runs;
  },
  async startService({ name, latencyMs }: { readonly name: string; readonly latencyMs: number }) {
    const service = await startService(latencyMs);
    services.set(name, service);
    return service.url;
  },
  async closeService({ name }: { readonly name: string }): Promise<Record<string, number>> {
    const service = findByName(services, name);
    services.delete(name);
    await service.close();
    return Object.fromEntries(service.runs);
  },
  async startAgent(spec: AgentSpec): Promise<string> {
    const daemon = await startSiteAgent(spec);
    daemons.set(spec.name, daemon);
    return daemon.addresses.internal;
  },
  async startEntry({ tableUrl, ...spec }: EntryOptions): Promise<string> {
    const adapters = tableUrl === undefined ? {} : { table: createTableClient(tableUrl) };
    const daemon = await startSiteEntry({ ...spec, adapters });
    daemons.set(spec.name, daemon);
    return daemon.addresses.callers ?? '';
  },
  stopDaemon({ name }: { readonly name: string }): void {
    findByName(daemons, name).stop();
    daemons.delete(name);
  },
  async drainDaemon({ name }: { readonly name: string }): Promise<void> {
    await findByName(daemons, name).drain();
    daemons.delete(name);
  },
  async startProxy({ name, target }: { readonly name: string; readonly target: string }) {
    const { hostname, port } = new URL(target);
    const proxy = await startSilentProxy(hostname, Number(port));
    proxies.set(name, proxy);
    return `http://${proxy.address}`;
  },
  silenceProxy({ name }: { readonly name: string }): void {
    findByName(proxies, name).silence();
  },
  async closeProxies(): Promise<void> {
    for (const proxy of proxies.values()) await proxy.close();
    proxies.clear();
  },
  async startTable(): Promise<string> {
    table = await startTableServer();
    return table.url;
  },
  setTableFault({ fault }: { readonly fault: TableFault }): void {
    if (table) table.table.fault = fault;
  },
  async closeTable(): Promise<{ readonly reads: number; readonly writes: number }> {
    const { reads = 0, writes = 0 } = table?.table ?? {};
    await table?.close();
    table = undefined;
    return { reads, writes };
  },
} as const;

export type CommandName = keyof typeof commands;

export type CommandArgs<N extends CommandName> = Parameters<(typeof commands)[N]>[0];

export type CommandResult<N extends CommandName> = Awaited<ReturnType<(typeof commands)[N]>>;
