/**
 * Parameters of all measurements. The engines are scaled down so that one machine can run three
 * entries, nine agents, nine targets and the load generator; ratios (prompt to output, cache to
 * working set, long to short) follow the design documentation.
 */
export const parameters = {
  model: 'measured-model',

  engines: {
    count: 6,
    /** Requests that one engine runs at once. */
    places: 4,
    prefillTokensPerSecond: 14_000,
    decodeTokensPerSecond: 150,
    /** Six caches store about the whole working set (about 1,000 blocks); one stores a sixth. */
    cacheBlocks: 180,
    eventDelayMs: 30,
    eventLossRate: 0.002,
    loadLagMs: 2_000,
    tickMs: 5,
  },

  services: { count: 3, callsPerSecond: 4, latencyMs: 3 },

  entries: 3,

  workload: {
    /** Requests per second at load factor 1. */
    capacityPerSecond: 80,
    /** Fraction of the requests that each team sends; a few teams are large. */
    teamFractions: [0.3, 0.24, 0.14, 0.1, 0.08, 0.06, 0.05, 0.03],
    /** Prompt lengths in tokens, drawn for each text so that texts do not end at block boundaries. */
    generalTokens: [330, 470],
    organisationTokens: [600, 1_200],
    documentTokens: [1_200, 2_400],
    questionTokens: [30, 90],
    organisations: 16,
    documents: 60,
    /** Exponent of the Zipf distribution over documents. */
    zipfExponent: 1.1,
    /** Output lengths in tokens of short requests. */
    shortTokens: [4, 12],
    /** Output length of a long job: 50 times the mean of the short requests. */
    longTokens: 400,
    longFraction: 0.02,
    /** No long job arrives this close to the end of the load, so that the run ends soon after. */
    noLongJobsAtEndMs: 3_500,
    /** Load variation: the arrival rate changes at this interval, by a factor in this range. */
    rateChangeIntervalMs: 500,
    rateFactorRange: [0.6, 1.4],
  },

  /** A request is on time when it meets both limits, measured from its scheduled arrival. */
  deadlines: { firstTokenMs: 1_600, perTokenMs: 12 },

  /** Load that fills the caches before the measured parts; most figures exclude its requests. */
  warmUp: { durationMs: 2_000, load: 0.5 },

  /** Time after the deadline of a request before the caller aborts it. */
  abortGraceMs: 500,
} as const;

/** Range of a uniform distribution. */
export type Range = readonly [number, number];
