import { parameters } from '../parameters.js';
import { type HostProcess, startHostProcess } from './process.js';

/** Host processes, kept from run to run because starting one takes about a second. */
export interface HostPool {
  engine(index: number): HostProcess;
  agent(index: number): HostProcess;
  entry(index: number): HostProcess;
  /** Services, proxies and the table. */
  support(): HostProcess;
  /** Starts the processes that {@link replaceDaemonHosts} will use. */
  prepareReplacements(): Promise<void>;
  /** Kills all hosts of entries and agents and puts the prepared ones in their place. */
  replaceDaemonHosts(): Promise<void>;
  /** Replaces daemon hosts that ended by themselves and returns how many there were. */
  replaceCrashed(): Promise<number>;
  close(): Promise<void>;
}

const enginesPerHost = 2;

const { engines, entries } = parameters;

const startHosts = (count: number): HostProcess[] =>
  Array.from({ length: count }, () => startHostProcess());

/** Resolves when the processes have loaded their program. */
const warm = (hosts: readonly HostProcess[]) =>
  Promise.all(hosts.map((host) => host.call('closeTable')));

/** Starts the host processes. */
export async function startHostPool(): Promise<HostPool> {
  const engineHosts = startHosts(Math.ceil(engines.count / enginesPerHost));
  const supportHost = startHostProcess();
  let agentHosts = startHosts(engines.count);
  let entryHosts = startHosts(entries);
  let spares: HostProcess[] = [];
  const at = (hosts: readonly HostProcess[], index: number): HostProcess =>
    hosts[index % hosts.length] as HostProcess;
  const all = (): readonly HostProcess[] => [
    supportHost,
    ...engineHosts,
    ...agentHosts,
    ...entryHosts,
    ...spares,
  ];
  await warm(all());

  const prepareReplacements = async (): Promise<void> => {
    spares = startHosts(engines.count + entries);
    await warm(spares);
  };

  return {
    engine: (index) => at(engineHosts, index),
    agent: (index) => at(agentHosts, index),
    entry: (index) => at(entryHosts, index),
    support: () => supportHost,
    prepareReplacements,
    async replaceDaemonHosts() {
      if (spares.length === 0) await prepareReplacements();
      const old = [...agentHosts, ...entryHosts];
      agentHosts = spares.slice(0, engines.count);
      entryHosts = spares.slice(engines.count);
      spares = [];
      await Promise.all(old.map((host) => host.kill()));
    },
    async replaceCrashed() {
      const revive = (hosts: readonly HostProcess[]): HostProcess[] =>
        hosts.map((host) => (host.alive ? host : startHostProcess()));
      const crashed = [...agentHosts, ...entryHosts].filter((host) => !host.alive).length;
      if (crashed === 0) return 0;
      agentHosts = revive(agentHosts);
      entryHosts = revive(entryHosts);
      await warm([...agentHosts, ...entryHosts]);
      return crashed;
    },
    async close() {
      await Promise.all(all().map((host) => host.kill()));
    },
  };
}
