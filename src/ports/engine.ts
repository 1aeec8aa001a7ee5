import { type CancellationToken } from '../base/cancellation.js';

/** Which completion protocol the request body follows. */
export type CompletionKind = 'chat' | 'text';

/** One completion as the agent hands it to its engine. */
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

/** Event of a running completion. `end` is the only clean termination. */
export type EngineEvent =
  | { readonly kind: 'text'; readonly text: string; readonly tokens: number }
  | {
      readonly kind: 'end';
      readonly finishReason: string;
      readonly promptTokens: number;
      readonly cachedTokens: number;
      readonly outputTokens: number;
    };

/** What an engine says of itself. A new incarnation has an empty cache. */
export interface EngineState {
  readonly incarnation: string;
  readonly models: readonly string[];
  readonly weightsVersion: string;
  readonly adapters: readonly string[];
  readonly role: string;
  /** Requests that the engine runs at once. */
  readonly places: number;
  /** Engine-wide prefill speed. */
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/**
 * Change of the engine's cache. `seq` increases by 1; a jump is a gap. Each event stream begins with
 * a snapshot in parts of bounded size. The parts carry the `seq` that the snapshot includes, only
 * the first one has `cleared`, and no other event comes between them.
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

/** Load as the engine reports it, with its lag. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
}

/** Order of the control plane to one engine. */
export interface EngineOrder {
  readonly fencingNumber: bigint;
  readonly orderId: string;
  readonly action: 'load-weights' | 'load-adapter' | 'change-role';
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly role: string;
}

/** Outcome of an order. */
export interface OrderResult {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

/** A model engine. */
export interface EnginePort {
  state(token: CancellationToken): Promise<EngineState>;
  /** Runs a completion; cancelling the token cancels the work in the engine. */
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
