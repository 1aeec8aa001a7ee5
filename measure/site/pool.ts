import { parameters } from '../parameters.js';
import { type HostProcess, startHostProcess } from './process.js';

/** Host processes, reused between runs because starting one takes about a second. */
export interface HostPool {
  engine(index: number): HostProcess;
  agent(index: number): HostProcess;
  entry(index: number): HostProcess;
  /** Host of the services, the proxies and the table. */
  support(): HostProcess;
  /** Starts the processes that {@link replaceDaemonHosts} uses. */
  prepareReplacements(): Promise<void>;
  /** Kills all hosts of entries and agents and replaces them by the prepared ones. */
  replaceDaemonHosts(): Promise<void>;
  /** Replaces daemon hosts that exited unexpectedly and returns their number. */
  replaceCrashedHosts(): Promise<number>;
  close(): Promise<void>;
}

const enginesPerHost = 2;

const { engines, entries } = parameters;

const startHosts = (count: number): HostProcess[] =>
  Array.from({ length: count }, () => startHostProcess());

/** Waits until the processes have loaded their program, by a command that has no effect. */
const waitUntilLoaded = (hosts: readonly HostProcess[]) =>
  Promise.all(hosts.map((host) => host.call('closeTable')));

export async function startHostPool(): Promise<HostPool> {
  const engineHosts = startHosts(Math.ceil(engines.count / enginesPerHost));
  const supportHost = startHostProcess();
  let agentHosts = startHosts(engines.count);
  let entryHosts = startHosts(entries);
  let replacements: HostProcess[] = [];
  const hostAt = (hosts: readonly HostProcess[], index: number): HostProcess =>
    hosts[index % hosts.length] as HostProcess;
  const allHosts = (): readonly HostProcess[] => [
    supportHost,
    ...engineHosts,
    ...agentHosts,
    ...entryHosts,
    ...replacements,
  ];
  await waitUntilLoaded(allHosts());

  const prepareReplacements = async (): Promise<void> => {
    replacements = startHosts(engines.count + entries);
    await waitUntilLoaded(replacements);
  };

  return {
    engine: (index) => hostAt(engineHosts, index),
    agent: (index) => hostAt(agentHosts, index),
    entry: (index) => hostAt(entryHosts, index),
    support: () => supportHost,
    prepareReplacements,
    async replaceDaemonHosts() {
      if (replacements.length === 0) await prepareReplacements();
      const replacedHosts = [...agentHosts, ...entryHosts];
      agentHosts = replacements.slice(0, engines.count);
      entryHosts = replacements.slice(engines.count);
      replacements = [];
      await Promise.all(replacedHosts.map((host) => host.kill()));
    },
    async replaceCrashedHosts() {
      const replaceExited = (hosts: readonly HostProcess[]): HostProcess[] =>
        hosts.map((host) => (host.isAlive ? host : startHostProcess()));
      const crashed = [...agentHosts, ...entryHosts].filter((host) => !host.isAlive).length;
      if (crashed === 0) return 0;
      agentHosts = replaceExited(agentHosts);
      entryHosts = replaceExited(entryHosts);
      await waitUntilLoaded([...agentHosts, ...entryHosts]);
      return crashed;
    },
    async close() {
      await Promise.all(allHosts().map((host) => host.kill()));
    },
  };
}
