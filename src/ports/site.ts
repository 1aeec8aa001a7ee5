import { type HostPort } from '../base/address.js';

/**
 * Whether a call may run again at another target: `safe` calls may, up to `maxTargets`, `unsafe`
 * calls may not, and streams may when the route is resumable.
 */
export type CallKind = 'safe' | 'unsafe' | 'stream';

/** One service of a route and its weight in the distribution of the requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Rule that routes the requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Prefix of the path. It should begin and end with a slash, which is not checked. */
  readonly prefix: string;
  readonly kind: CallKind;
  /** Longest time from the arrival of a request to the end of its response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective of a response, or of the first event of a stream. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that meets its objective; 0 when not set. */
  readonly maxPauseMs: number;
  /** Time without a first event after which callers abandon a stream; Infinity for other calls. */
  readonly patienceMs: number;
  /** Number of targets that one request may run on, including the first one. */
  readonly maxTargets: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Requests of public routes need no valid key. */
  readonly isPublic: boolean;
  /** An interrupted stream may resume at another target after the last event received. */
  readonly isResumable: boolean;
  readonly shares: readonly WeightedService[];
}

/** Configuration of the model engines of a service. */
export interface EngineSpec {
  /** KV cache capacity in tokens, for running requests and cached prefixes together. */
  readonly kvTokens: number;
  readonly bytesPerToken: number;
  /** Bandwidth of an engine's link for KV cache; 0 when not set. */
  readonly linkMbps: number;
  /** Requests that one engine can run at once. */
  readonly slots: number;
  readonly models: readonly string[];
}

/** A group of targets that serve the same requests. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Set for model engines. */
  readonly engine: EngineSpec | undefined;
}

/** A store for KV cache outside the engines. */
export interface KvStoreSpec {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Capacity in tokens. */
  readonly kvTokens: number;
  readonly linkMbps: number;
}

/** Rate limit of a team, over all gateways together. */
export interface RateLimit {
  /** What is counted: prompt tokens and the limit of output tokens, or requests. */
  readonly unit: 'tokens' | 'requests';
  /** In units per second, above 0. */
  readonly ratePerS: number;
  /** Units that may be used at once after a time without use. */
  readonly burst: number;
  /** Cost in tokens of a request that names no token counts. */
  readonly uncachedTokens: number;
}

/** Invalid value of the configuration that leaves one limit out of force. */
export interface ConfigurationWarning {
  readonly team: string;
  readonly field: string;
  /** The value as JSON, at most 80 characters. */
  readonly value: string;
  readonly remedy: string;
}

export interface TeamSpec {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority: number | undefined;
  /** The team shares no cache entries with other teams. */
  readonly isIsolated: boolean;
  /** Undefined when the team has no limit, and when the configured one is invalid. */
  readonly rateLimit: RateLimit | undefined;
}

/** Limits on the requests of callers. Only `maxBodyBytes` and `idleTimeoutMs` are applied. */
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
  /** Undefined when no teams are configured; then no request needs a key. */
  readonly teams: readonly TeamSpec[] | undefined;
  /** Invalid values; everything else of the configuration is in force. */
  readonly warnings: readonly ConfigurationWarning[];
}

/** Row that a target writes about itself. The rows lag, so they are only hints. */
export interface TargetRegistration {
  /** Key of the row. A restarted target may have the same id; see `startedAt`. */
  readonly id: string;
  readonly service: string;
  readonly address: HostPort;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Version of the weights by model; empty for plain services. */
  readonly weights: ReadonlyMap<string, number>;
  /** Start in Unix milliseconds; distinguishes two incarnations with the same id. */
  readonly startedAt: number;
}

/** Version of a model's weights that the operator asks for. */
export interface DesiredWeights {
  readonly model: string;
  readonly version: number;
}

/** Decodes rows of the operator and the targets; undefined for other or invalid rows. */
export interface SiteDecoder {
  readonly configurationTable: string;
  readonly targetTable: string;
  configuration(key: string, value: string): SiteConfiguration | undefined;
  weights(key: string, value: string): DesiredWeights | undefined;
  target(key: string, value: string): TargetRegistration | undefined;
}
