import { type HostPort } from '../base/address.js';

/** What may be repeated: `safe` calls may run twice, `unsafe` calls and streams only once. */
export type CallKind = 'safe' | 'unsafe' | 'stream';

/** One service of a route and its share of the requests. */
export interface RouteShare {
  readonly service: string;
  readonly weight: number;
}

/** Rule that sends requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: CallKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, is on time. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is on time; 0 for other kinds. */
  readonly maxPauseMs: number;
  /** Targets that one request may run on. */
  readonly maxTargets: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Requests of public routes carry no key. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another target after the last event that arrived. */
  readonly isResumable: boolean;
  readonly shares: readonly RouteShare[];
}

/** What the operator says of the model engines of a service. */
export interface EngineSpec {
  /** Memory for tokens, running and cached together. */
  readonly kvTokens: number;
  readonly bytesPerToken: number;
  /** Requests that one engine runs at once. */
  readonly slots: number;
  readonly models: readonly string[];
}

/** A group of targets that answer the same requests. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Set for model engines. */
  readonly engine: EngineSpec | undefined;
}

/** A store that keeps KV cache outside the engines. */
export interface KvStoreSpec {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Tokens that it holds. */
  readonly kvTokens: number;
  readonly linkMbps: number;
}

/** A team and its keys. */
export interface TeamSpec {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the route. */
  readonly priority: number | undefined;
  /** The team shares no cache entry with other teams. */
  readonly isIsolated: boolean;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted version of the operator's configuration. */
export interface SiteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly kvStores: readonly KvStoreSpec[];
  readonly limits: CallerLimits;
  /** Without teams no request needs a key. */
  readonly teams: readonly TeamSpec[] | undefined;
}

/** One target as it registered itself. The list lags, so it is a hint. */
export interface TargetEntry {
  /** Identity of one run of the target. */
  readonly id: string;
  readonly service: string;
  readonly address: HostPort;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Version of the weights by model; empty for plain services. */
  readonly weights: ReadonlyMap<string, number>;
  /** Start of this run in Unix milliseconds; tells two runs with one id apart. */
  readonly startedAt: number;
}

/** The operator's order to serve a version of a model's weights. */
export interface WantedWeights {
  readonly model: string;
  readonly version: number;
}

/** Reads the rows that the operator and the targets write. Undefined stands for a foreign row. */
export interface SiteDecoder {
  readonly configurationTable: string;
  readonly targetTable: string;
  configuration(key: string, value: string): SiteConfiguration | undefined;
  weights(key: string, value: string): WantedWeights | undefined;
  target(key: string, value: string): TargetEntry | undefined;
}
