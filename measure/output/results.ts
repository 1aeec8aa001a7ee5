/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Counts of violated guarantees; each must be 0. */
export interface Violations {
  /** Service calls that ran more than once, and attempts that an engine started twice. */
  readonly doubleRuns: number;
  /** Requests and calls refused as `not-run` although a target started them. */
  readonly falseNotRun: number;
  /** Streams that ended without error before their last token. */
  readonly truncatedStreams: number;
  /** Streams whose text is not a prefix of the expected text. */
  readonly misordered: number;
  /** Attempts that used cached blocks of another team. */
  readonly crossTeam: number;
  /** Attempts that an engine started more than 3 s after it began leaving. */
  readonly workAfterLeaving: number;
}

/** Results of one part of a run. */
export interface PartResult {
  readonly label: string;
  readonly load: number;
  readonly requests: number;
  readonly servedWholeOnTime: number;
  readonly ttftMs: Percentiles;
  readonly shortWaitMs: Pick<Percentiles, 'p50' | 'p99'>;
}

/** Latency added by entry and agent at one number of concurrent streams. */
export interface OverheadResult {
  readonly streams: number;
  readonly samples: number;
  readonly directFirstTokenMs: Pick<Percentiles, 'p50' | 'p99'>;
  readonly addedFirstTokenMs: Pick<Percentiles, 'p50' | 'p99'>;
  readonly addedInterTokenMs: Pick<Percentiles, 'p50' | 'p99'>;
}

/** Results of one scenario with one policy. */
export interface RunResult {
  readonly scenario: string;
  readonly policy: string;
  readonly requests: number;
  readonly servedWholeOnTime: number;
  readonly prefixHitRate: number;
  readonly ttftMs: Percentiles;
  readonly interTokenMs: Pick<Percentiles, 'p50' | 'p95'>;
  readonly recomputedTokens: number;
  readonly leastRecomputedTokens: number;
  readonly shortWaitMs: Pick<Percentiles, 'p50' | 'p99'>;
  readonly violations: Violations;
  /** Entry and agent processes that exited unexpectedly. */
  readonly daemonCrashes: number;
  /** Event loop delay of the load generator (p99); a large delay inflates the latencies. */
  readonly generatorDelayMs: number;
  /** Number of requests by outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly serviceCalls: Readonly<Record<string, number>>;
  /** Results by part, when the run has more than one. */
  readonly steps?: readonly PartResult[];
  readonly overhead?: readonly OverheadResult[];
  /** Parts of the scenario that could not be run, with the reason. */
  readonly skipped?: readonly string[];
}

/** Contents of the file that `--json` writes. */
export interface Report {
  readonly seed: number;
  readonly runs: readonly RunResult[];
}
