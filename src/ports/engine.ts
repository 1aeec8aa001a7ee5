import { type CancellationToken } from '../base/cancellation.js';

/** Which completion protocol the request body follows. */
export type CompletionKind = 'chat' | 'text';

/** One completion request that the agent sends to its engine. */
export interface EngineRequest {
  readonly requestId: string;
  readonly kind: CompletionKind;
  /** Request body as JSON, without stream options. */
  readonly body: Uint8Array;
  /** Separates the cache entries of teams. */
  readonly salt: string;
  /** The engine rejects the request when it serves another version. */
  readonly weightsVersion: string;
  readonly priority: number;
  /** Text already delivered by an earlier attempt; generation continues after it. */
  readonly deliveredText: string;
  readonly deliveredTokens: number;
}

/** Event of a running completion. A completion is successful only if it ends with `end`. */
export type EngineEvent =
  | { readonly kind: 'text'; readonly text: string; readonly tokens: number }
  | {
      readonly kind: 'end';
      readonly finishReason: string;
      readonly promptTokens: number;
      readonly cachedTokens: number;
      readonly outputTokens: number;
    };

/** State that an engine reports. A new incarnation has an empty cache. */
export interface EngineState {
  readonly incarnation: string;
  readonly models: readonly string[];
  readonly weightsVersion: string;
  readonly adapters: readonly string[];
  readonly role: string;
  /** Requests that the engine can run at once. */
  readonly places: number;
  /** Prefill speed of the whole engine. */
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/**
 * Change of the engine's cache. `seq` increases by 1; a larger step means that events are missing.
 * Each event stream begins with a snapshot in parts of bounded size. All parts have the `seq` of
 * the last change that the snapshot includes, only the first part has `cleared`, and no other event
 * comes between the parts.
 */
export interface CacheEvent {
  readonly incarnation: string;
  readonly seq: number;
  readonly weightsVersion: string;
  readonly stored: readonly bigint[];
  readonly evicted: readonly bigint[];
  readonly cleared: boolean;
  /** True for the parts of a snapshot. */
  readonly snapshot?: boolean;
}

/** Load that the engine reports; it lags behind the actual load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
}

/** Order from the control plane to one engine. */
export interface EngineOrder {
  readonly fencingNumber: bigint;
  readonly orderId: string;
  readonly action: 'load-weights' | 'load-adapter' | 'change-role';
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly role: string;
}

export interface OrderResult {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

/** Client of a model engine. */
export interface EnginePort {
  state(token: CancellationToken): Promise<EngineState>;
  /** Runs a completion; cancelling the token also cancels it in the engine. */
  complete(req: EngineRequest, token: CancellationToken): AsyncIterable<EngineEvent>;
  /** Opens a stream of cache events that begins with a snapshot. */
  cacheEvents(token: CancellationToken): AsyncIterable<CacheEvent>;
  load(token: CancellationToken): Promise<LoadReport>;
  order(order: EngineOrder, token: CancellationToken): Promise<OrderResult>;
  /** Exports the cached blocks with these hashes; missing ones are left out. */
  exportCache(hashes: readonly bigint[], token: CancellationToken): Promise<Uint8Array>;
  /** Imports exported blocks and returns how many were accepted. */
  importCache(data: Uint8Array, token: CancellationToken): Promise<number>;
}
