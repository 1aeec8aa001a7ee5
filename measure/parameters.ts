/**
 * Parameters of all measurements. The engines are scaled down so that one machine carries three
 * entries, nine agents, nine targets and the load; ratios (prompt to answer, cache to working
 * set, long to short) follow the design page.
 */
export const parameters = {
  model: 'measured-model',

  engines: {
    count: 6,
    /** Requests that one engine runs at once. */
    places: 4,
    prefillTokensPerSecond: 14_000,
    decodeTokensPerSecond: 150,
    /** Six caches hold about the whole working set (about 1,000 blocks); one holds a sixth. */
    cacheBlocks: 180,
    eventDelayMs: 30,
    eventLossRate: 0.002,
    loadLagMs: 2_000,
    tickMs: 5,
  },

  services: { count: 3, callsPerSecond: 4, latencyMs: 3 },

  entries: 3,

  workload: {
    /** Requests per second that count as load factor 1. */
    capacityPerSecond: 80,
    /** Share of the requests of each team; a few teams are large. */
    teamFractions: [0.3, 0.24, 0.14, 0.1, 0.08, 0.06, 0.05, 0.03],
    /** Prompt lengths in tokens; each text gets its own length, so levels don't end on blocks. */
    generalTokens: [330, 470],
    organisationTokens: [600, 1_200],
    documentTokens: [1_200, 2_400],
    questionTokens: [30, 90],
    organisations: 16,
    documents: 60,
    /** Exponent of the Zipf distribution over documents. */
    zipfExponent: 1.1,
    /** Answer lengths in tokens. */
    shortTokens: [4, 12],
    /** Long jobs are 50 times as long as the mean short answer. */
    longTokens: 400,
    longFraction: 0.02,
    /** No long job arrives in the last part of a run, so that the run ends soon after it. */
    noLongJobsAtEndMs: 3_500,
    /** Load swings: the arrival rate changes this often, by a factor within this range. */
    rateChangeIntervalMs: 500,
    rateFactorRange: [0.6, 1.4],
  },

  /** A request is on time when it meets both limits, counted from its scheduled arrival. */
  deadlines: { firstTokenMs: 1_600, perTokenMs: 12 },

  /** Load before the measured part, to fill the caches; its requests are not counted. */
  warmUp: { durationMs: 2_000, load: 0.5 },

  /** Time after the last deadline before a request counts as lost. */
  lostRequestGraceMs: 500,
} as const;

/** Range of a uniform distribution. */
export type Range = readonly [number, number];
