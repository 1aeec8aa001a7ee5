import { type LoadPart } from './load/workload.js';
import { type Site } from './site/site.js';

/** Fault or change applied to the site during a run. */
export interface ScenarioAction {
  /** Time from the start of the measured parts. */
  readonly atMs: number;
  run(site: Site): Promise<void>;
}

/** Load and actions of one scenario. */
export interface Scenario {
  readonly parts: readonly LoadPart[];
  readonly hotShiftsMs?: readonly number[];
  readonly actions?: readonly ScenarioAction[];
  /** The entries connect to the agents through TCP proxies. */
  readonly hasProxies?: boolean;
  /** The site has a table. */
  readonly hasTable?: boolean;
  /** Replacement processes are prepared for a restart of all entries and agents. */
  readonly needsReplacementHosts?: boolean;
}

const steadyLoad = 0.7;

/** Engines that `slowTargets` slows down, and the factor. */
const slowed = { indexes: [1, 4], factor: 5 } as const;

/** Scenarios with scheduled load, by name. */
export const scenarios = {
  steady: { parts: [{ label: 'steady', durationMs: 5_500, load: steadyLoad }] },

  crest: {
    parts: [0.8, 1, 1.5, 3].map((load) => ({ label: `load ${load}`, durationMs: 1_800, load })),
  },

  hotShift: {
    parts: [
      { label: 'before', durationMs: 2_000, load: steadyLoad },
      { label: 'shifted', durationMs: 3_500, load: steadyLoad },
    ],
    hotShiftsMs: [2_000, 3_800],
  },

  longAmongShort: {
    parts: [
      { label: 'without long', durationMs: 2_800, load: 0.5, longFraction: 0 },
      { label: 'with long', durationMs: 4_200, load: 0.5, longFraction: 0.06 },
    ],
  },

  slowTargets: {
    parts: [
      { label: 'unslowed', durationMs: 3_000, load: 0.45 },
      { label: 'slowed', durationMs: 3_500, load: 0.45 },
    ],
    actions: [
      {
        atMs: 3_000,
        async run(site) {
          for (const index of slowed.indexes) await site.slowEngine(index, slowed.factor);
        },
      },
      {
        atMs: 6_500,
        async run(site) {
          for (const index of slowed.indexes) await site.slowEngine(index, 1);
        },
      },
    ],
  },

  engineCrash: {
    parts: [{ label: 'crashes', durationMs: 6_000, load: 0.5 }],
    actions: [1_500, 3_800].map((atMs) => ({
      atMs,
      run: (site: Site) => site.crashEngine(0, 800),
    })),
  },

  herdRestart: {
    parts: [
      { label: 'before', durationMs: 2_000, load: 0.5 },
      { label: 'restart', durationMs: 1_500, load: 0.5 },
      { label: 'after', durationMs: 2_500, load: 0.5 },
    ],
    actions: [{ atMs: 2_000, run: (site) => site.restartAll() }],
    needsReplacementHosts: true,
  },

  // One agent is drained in the meantime because instances can be replaced at any time.
  storeOutage: {
    parts: [
      { label: 'store up', durationMs: 1_500, load: 0.5 },
      { label: 'store down', durationMs: 2_500, load: 0.5 },
      { label: 'store back', durationMs: 1_500, load: 0.5 },
    ],
    actions: [
      { atMs: 200, run: (site) => site.drainAgent(5) },
      { atMs: 1_500, run: (site) => site.setTableFault('down') },
      { atMs: 4_000, run: (site) => site.setTableFault('none') },
    ],
    hasTable: true,
  },

  silentConnections: {
    parts: [{ label: 'silence', durationMs: 6_000, load: 0.5 }],
    actions: [
      { atMs: 1_500, run: (site) => site.silenceAgent(0) },
      { atMs: 3_800, run: (site) => site.silenceAgent(3) },
    ],
    hasProxies: true,
  },
} as const satisfies Readonly<Record<string, Scenario>>;

/** Name of a scenario with scheduled load. */
export type LoadScenarioName = keyof typeof scenarios;

/** Names of all scenarios. */
export const scenarioNames = [
  'overhead',
  ...(Object.keys(scenarios) as LoadScenarioName[]),
] as const;

/** One of the {@link scenarioNames}. */
export type ScenarioName = (typeof scenarioNames)[number];
