import { type IncomingHttpHeaders } from 'node:http';
import { type HostPort } from '../base/address.js';
import { type CancellationToken } from '../base/cancellation.js';

/** One part of a prompt. Prompts with the same first parts share cache entries. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of itself beside method, path and body. */
export interface CallerHead {
  /** Empty when the caller sent none. */
  readonly requestId: string;
  /** How long the caller waits, in milliseconds; undefined when it does not say. */
  readonly waitMs: number | undefined;
  readonly credential: string | undefined;
  /** Id of the last event that the caller has. */
  readonly resumeAfter: string | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate, or the most where it gives none. */
  readonly expectedOutputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** What the gateway adds to a request that it forwards. */
export interface Dispatch {
  /** Time that the target has, in milliseconds. */
  readonly waitMs: number;
  /** The target refuses the request when it is another run. */
  readonly targetId: string;
  readonly team: string | undefined;
  /** Only requests with the same text share cache entries. */
  readonly salt?: string | undefined;
  /** 0 is the most urgent. */
  readonly priority?: number | undefined;
  /** The target refuses the request when it serves another version. */
  readonly weightsVersion?: number | undefined;
  /** Engine or store that keeps parts of the prompt. */
  readonly fetchFrom?: HostPort | undefined;
  /** Store that receives the parts of the prompt once they are read. */
  readonly saveTo?: HostPort | undefined;
  /** Engine that receives a copy of the run's memory as it grows. */
  readonly backupAt?: HostPort | undefined;
  /** Copy of the run's memory to go on from. */
  readonly continueFrom?: { readonly address: HostPort; readonly handle: string } | undefined;
  /** Id of the last event that the caller has; overrides the caller's own. */
  readonly resumeAfter?: string | undefined;
}

/** Load of a target as it says itself, at the time of the answer. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes now relative to the usual; 1 when the target does not say. */
  readonly slowness: number;
}

/** What an answer of a target says of itself. */
export interface TargetHead {
  /** Request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** The target signed the answer, so it is its own and it ran the request. */
  readonly isSigned: boolean;
  /** The target says that the request has not run. */
  readonly isNotRun: boolean;
  /** Run of the target that answered, where it says so. */
  readonly targetId: string | undefined;
  readonly load: TargetLoad | undefined;
  readonly weightsVersion: number | undefined;
  /** The body is not the one that the target made for this request. */
  readonly isEncoded: boolean;
}

/** Headers of callers and targets. Lists are flat: name, value, name, value. */
export interface WireProtocol {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  /** Headers of a forwarded request. Whatever only the system may set is dropped first. */
  toTarget(rawHeaders: readonly string[], dispatch: Dispatch, bodyBytes: number): string[];
  readTarget(headers: IncomingHttpHeaders): TargetHead;
  /** Headers of a target's answer that go on to the caller. */
  toCaller(rawHeaders: readonly string[]): string[];
  /** Headers of an answer that the gateway itself makes. */
  ownAnswer(requestId: string, retryAfterMs: number | undefined): string[];
}

/** What a model engine reports of itself. The values lag by some hundred milliseconds. */
export interface EngineReport {
  readonly weights: ReadonlyMap<string, number>;
  /** An order is being carried out. */
  readonly isBusy: boolean;
  /** Orders accepted since the engine started. */
  readonly acceptedOrders: number;
  readonly running: number;
  readonly waiting: number;
}

/** What happens to the requests that run when the weights change. */
export type RunPolicy = 'finish' | 'cut' | 'keep';

/** Order to load a version of a model's weights. */
export interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly runs: RunPolicy;
  readonly holder: string;
  readonly fencingNumber: number;
  /** The engine refuses the order when it has accepted another number of orders. */
  readonly acceptedOrders: number;
}

/**
 * Answer to an order: `accepted` is being carried out, `in-force` already holds, `conflict` means
 * that another order runs or was accepted since, `replaced` that another run has the address,
 * `unknown` that no answer came and the order may
 * still be carried out.
 */
export type OrderAnswer =
  'accepted' | 'in-force' | 'conflict' | 'fenced' | 'replaced' | 'rejected' | 'unknown';

/** Calls to model engines that are no requests of callers. */
export interface EngineControl {
  report(address: HostPort, targetId: string, token: CancellationToken): Promise<EngineReport>;
  order(
    address: HostPort,
    targetId: string,
    order: WeightsOrder,
    token: CancellationToken,
  ): Promise<OrderAnswer>;
}

/** One change of what an engine or a store keeps. */
export interface CacheChange {
  readonly salt: string;
  readonly partId: string;
  /** Tokens of the part that are kept after the change; 0 when it was dropped. */
  readonly keptTokens: number;
}

/** Reads what engines and stores of KV cache keep. */
export interface CacheReader {
  /** The newest changes, the oldest of them first. */
  recentChanges(address: HostPort, token: CancellationToken): Promise<readonly CacheChange[]>;
}
