import { type EngineOptions, type EngineRun } from '../../test/standins/engine.js';
import { type TableFault } from '../../test/standins/faultytable.js';
import { siteRecords, waitForRoute } from '../../test/standins/site.js';
import { teamNames } from '../load/workload.js';
import { parameters } from '../parameters.js';
import { type HostPool } from './pool.js';

/** Options of the site for one run. */
export interface SiteOptions {
  readonly policy: string;
  /** Connects the entries to each agent through a TCP proxy. */
  readonly hasProxies?: boolean;
  readonly hasTable?: boolean;
  /** Engine options that override the parameters. */
  readonly engine?: Partial<EngineOptions>;
  readonly seed: number;
}

/** Record of one attempt with the name of its engine. */
export interface SiteRun extends EngineRun {
  readonly engine: string;
}

/** Records of the stand-ins and the pool for one run. */
export interface SiteRecords {
  readonly engineRuns: readonly SiteRun[];
  /** Number of executions of each service call, by idempotency key. */
  readonly serviceRuns: ReadonlyMap<string, number>;
  readonly tableCalls: number;
  /** Entry and agent processes that exited unexpectedly. */
  readonly daemonCrashes: number;
  /** Wall-clock time at which each leaving engine began leaving, by engine name. */
  readonly leavingSince: ReadonlyMap<string, number>;
}

/** Entries, agents and stand-in targets of one run. */
export interface Site {
  /** Caller addresses of the entries. */
  readonly entries: readonly string[];
  readonly engines: readonly string[];
  slowEngine(index: number, factor: number): Promise<void>;
  crashEngine(index: number, downMs: number): Promise<void>;
  /** Kills all entries and agents at once and restarts them. */
  restartAll(): Promise<void>;
  /** Drains the agent of an engine; resolves when the agent has finished its work. */
  drainAgent(index: number): Promise<void>;
  /**
   * Stops forwarding on the open connections to the agent of an engine without closing them;
   * requires a site with proxies.
   */
  silenceAgent(index: number): Promise<void>;
  setTableFault(fault: TableFault): Promise<void>;
  /** Stops all processes of the site and returns the records of the run. */
  close(): Promise<SiteRecords>;
}

const serviceRoute = 'desk';

const { engines: engineParameters, services, model } = parameters;

const numberedNames = (prefix: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_item, index) => `${prefix}-${index + 1}`);

/** Starts a site and waits until each entry can reach a target. */
export async function startSite(pool: HostPool, options: SiteOptions): Promise<Site> {
  const { policy, seed } = options;
  const { count, ...engineOptions } = engineParameters;
  const engineNames = numberedNames('engine', count);
  const serviceNames = numberedNames('desk', services.count);
  const entryNames = numberedNames('entry', parameters.entries);
  const configuration = siteRecords(teamNames, [model], [serviceRoute]);

  const engines = await Promise.all(
    engineNames.map((name, index) =>
      pool.engine(index).call('startEngine', {
        name,
        model,
        answers: 'hashed',
        seed: seed + index,
        ...engineOptions,
        ...options.engine,
      }),
    ),
  );
  const serviceUrls = await Promise.all(
    serviceNames.map((name) =>
      pool.support().call('startService', { name, latencyMs: services.latencyMs }),
    ),
  );
  const tableUrl = options.hasTable ? await pool.support().call('startTable') : undefined;

  const agentSpecs = [
    ...engineNames.map((name, index) => ({ name, url: engines[index] as string })),
    ...serviceNames.map((name, index) => ({
      name,
      url: serviceUrls[index] as string,
      kind: 'service' as const,
      service: serviceRoute,
    })),
  ];
  const agentAddresses: string[] = [];
  const startAgents = () =>
    Promise.all(
      agentSpecs.map(async (spec, index) => {
        const internal = agentAddresses[index]?.replace('http://', '');
        agentAddresses[index] = await pool
          .agent(index)
          .call('startAgent', { ...spec, ...(internal && { internal }) });
      }),
    );
  await startAgents();
  const reachableAgents = options.hasProxies
    ? await Promise.all(
        agentAddresses.map((target, index) =>
          pool.support().call('startProxy', { name: `proxy-${index + 1}`, target }),
        ),
      )
    : agentAddresses;

  const leavingSince = new Map<string, number>();
  const entries: string[] = [];
  const startEntries = () =>
    Promise.all(
      entryNames.map(async (name, index) => {
        const callers = entries[index]?.replace('http://', '');
        entries[index] = await pool.entry(index).call('startEntry', {
          name,
          agents: reachableAgents,
          configuration,
          policy,
          ...(callers && { callers }),
          ...(tableUrl !== undefined && { tableUrl }),
        });
      }),
    );
  await startEntries();
  const probe = { model, prompt: 'ready?', max_tokens: 1 };
  await Promise.all(
    entries.map((url) => waitForRoute(url, teamNames[0] as string, '/v1/completions', probe)),
  );

  return {
    entries,
    engines,
    slowEngine: (index, factor) =>
      pool.engine(index).call('slowEngine', { name: engineNames[index] as string, factor }),
    crashEngine: (index, downMs) =>
      pool.engine(index).call('crashEngine', { name: engineNames[index] as string, downMs }),
    async restartAll() {
      await pool.replaceDaemonHosts();
      await Promise.all([startAgents(), startEntries()]);
    },
    async drainAgent(index) {
      const name = engineNames[index] as string;
      leavingSince.set(name, Date.now());
      await pool.agent(index).call('drainDaemon', { name });
    },
    silenceAgent: (index) => pool.support().call('silenceProxy', { name: `proxy-${index + 1}` }),
    setTableFault: (fault) => pool.support().call('setTableFault', { fault }),
    async close() {
      const daemonCrashes = await pool.replaceCrashedHosts();
      const stops = [
        ...entryNames.map((name, index) => pool.entry(index).call('stopDaemon', { name })),
        ...agentSpecs.map(({ name }, index) => pool.agent(index).call('stopDaemon', { name })),
      ];
      // Stopping a crashed daemon fails because the pool has replaced its host process.
      await Promise.allSettled(stops);
      if (options.hasProxies) await pool.support().call('closeProxies');
      const runs = await Promise.all(
        engineNames.map(async (name, index) => {
          const engineRuns = await pool.engine(index).call('closeEngine', { name });
          return engineRuns.map((run) => ({ ...run, engine: name }));
        }),
      );
      const serviceRuns = await Promise.all(
        serviceNames.map((name) => pool.support().call('closeService', { name })),
      );
      const counts = new Map<string, number>();
      for (const [key, run] of serviceRuns.flatMap((record) => Object.entries(record))) {
        counts.set(key, (counts.get(key) ?? 0) + run);
      }
      const { reads, writes } = await pool.support().call('closeTable');
      return {
        engineRuns: runs.flat(),
        serviceRuns: counts,
        tableCalls: reads + writes,
        daemonCrashes,
        leavingSince,
      };
    },
  };
}
