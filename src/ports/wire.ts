import { type IncomingHttpHeaders } from 'node:http';
import { type HostPort } from '../base/address.js';
import { type CancellationToken } from '../base/cancellation.js';

/** One part of a prompt. Prompts that begin with the same parts share cache entries. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Decoded headers of a caller's request. */
export interface CallerHead {
  /** Empty when the caller sent none. */
  readonly requestId: string;
  /** How long the caller waits, in milliseconds; undefined when not specified. */
  readonly waitMs: number | undefined;
  readonly credential: string | undefined;
  /** Id of the last event that the caller received. */
  readonly resumeAfter: string | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate; `maxOutputTokens` when it gives none. */
  readonly expectedOutputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** What the gateway adds to the headers of a forwarded request. */
export interface Dispatch {
  /** Time that the target has for the request, in milliseconds. */
  readonly waitMs: number;
  /** Id of the target that the request is for; one with another id at the address refuses it. */
  readonly targetId: string;
  readonly team: string | undefined;
  /** Only requests with the same salt share cache entries. */
  readonly salt?: string | undefined;
  /** 0 is the most urgent. */
  readonly priority?: number | undefined;
  /** The target refuses the request when it serves another version of the weights. */
  readonly weightsVersion?: number | undefined;
  /** Engine or KV store to fetch the cached parts of the prompt from. */
  readonly fetchFrom?: HostPort | undefined;
  /** KV store that receives the parts of the prompt after the prefill. */
  readonly saveTo?: HostPort | undefined;
  /** Engine that receives a copy of the request's KV cache as it grows. */
  readonly backupTo?: HostPort | undefined;
  /** Copy of the request's KV cache from which the target continues. */
  readonly continueFrom?: { readonly address: HostPort; readonly handle: string } | undefined;
  /**
   * Id of the last event that this gateway sent to the caller; replaces the caller's own header.
   * When undefined, that header is forwarded.
   */
  readonly resumeAfter?: string | undefined;
}

/** Load that a target reports with a response. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work relative to the usual one; 1 when the target reports none. */
  readonly slowness: number;
}

/** Decoded headers of a target's response. */
export interface TargetHead {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /**
   * The response has the signature that a target adds when it ran the request and produced the
   * response itself. The signature is not verified.
   */
  readonly isSigned: boolean;
  /** The target reports that the request has not run. */
  readonly isNotRun: boolean;
  /** Id of the target that responded; undefined when not reported. */
  readonly targetId: string | undefined;
  readonly load: TargetLoad | undefined;
  readonly weightsVersion: number | undefined;
  /**
   * Requests a second that the target takes from all gateways together; undefined when it names no
   * limit, NaN when the limit can't be read.
   */
  readonly limitPerSecond: number | undefined;
  /**
   * Time for which the target wants no requests from this gateway, if it turned the request away;
   * undefined when it names none.
   */
  readonly retryAfterMs: number | undefined;
  /** The target will stop soon and wants no more requests. */
  readonly isLeaving: boolean;
  /** The body has a content encoding, so it is not the one that the target produced. */
  readonly isEncoded: boolean;
}

/** Decodes and encodes headers. Header lists are flat: name, value, name, value. */
export interface WireProtocol {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  /** Headers of a forwarded request. The caller's values of system headers are dropped. */
  toTarget(rawHeaders: readonly string[], dispatch: Dispatch, bodyBytes: number): string[];
  readTarget(headers: IncomingHttpHeaders): TargetHead;
  /**
   * Versions of the weights that events of a stream name because these changed under the run; undefined
   * for one that can't be read, as where the bytes end within it.
   */
  readWeightsChanges(events: Buffer): readonly (number | undefined)[];
  /** Headers of a target's response that are forwarded to the caller. */
  toCaller(rawHeaders: readonly string[]): string[];
  /** Headers of a response that the gateway itself makes. */
  localResponse(requestId: string, retryAfterMs: number | undefined): string[];
}

/** Status report of a model engine. The values lag by a few hundred milliseconds. */
export interface EngineReport {
  readonly weights: ReadonlyMap<string, number>;
  /** The engine is executing an order. */
  readonly isExecutingOrder: boolean;
  /** Orders accepted since the engine started. */
  readonly acceptedOrders: number;
  readonly running: number;
  readonly waiting: number;
  /** Ids of the running requests; absent when the engine does not list them. */
  readonly runIds?: ReadonlySet<string>;
}

/**
 * How an engine treats its running requests when the weights change: `finish` completes them before
 * the change, `cut` ends their responses early, `keep` continues them after the change.
 */
export type InFlightPolicy = 'finish' | 'cut' | 'keep';

/** Order to load a version of a model's weights. */
export interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly runs: InFlightPolicy;
  readonly holder: string;
  readonly fencingNumber: number;
  /** Expected number of accepted orders; the engine refuses the order at any other number. */
  readonly acceptedOrders: number;
}

/**
 * Reply to an order: `accepted` means that the order is being executed, `in-force` that the engine
 * already serves the version, `conflict` that another order is being executed or was accepted
 * since, `fenced` that the fencing number is outdated, `replaced` that another incarnation has the
 * address, `rejected` any other reply, `unknown` that no reply arrived and the order may still be
 * executed.
 */
export type OrderReply =
  'accepted' | 'in-force' | 'conflict' | 'fenced' | 'replaced' | 'rejected' | 'unknown';

/**
 * Control calls to model engines. Both reject with `TargetRefusedError` when the call was not sent;
 * `fetchReport` also rejects with `TargetFailedError` when there is no valid report.
 */
export interface EngineControl {
  fetchReport(address: HostPort, targetId: string, token: CancellationToken): Promise<EngineReport>;
  sendOrder(
    address: HostPort,
    targetId: string,
    order: WeightsOrder,
    token: CancellationToken,
  ): Promise<OrderReply>;
}

/** Order to end a run without the end of its response, and to send its memory to another engine. */
export interface StopRunOrder {
  readonly requestId: string;
  readonly copyTo: HostPort;
}

/**
 * Reply to such an order: `moved` means that the run has ended and that its memory is at the other
 * engine under the handle, `stopped` that it has ended and its memory was not sent, `no-run` that the
 * engine has no such run, `replaced` that another incarnation has the address, and `unknown`
 * anything else, after which the run may go on.
 */
export type StopRunReply =
  | { readonly kind: 'moved'; readonly handle: string }
  | { readonly kind: 'stopped' | 'no-run' | 'replaced' | 'unknown' };

/**
 * Control of running requests. Rejects with `TargetRefusedError` when a call was not sent, and with
 * `TargetFailedError` when its reply did not arrive.
 */
export interface RunControl extends Pick<EngineControl, 'fetchReport'> {
  stopRun(
    address: HostPort,
    targetId: string,
    order: StopRunOrder,
    token: CancellationToken,
  ): Promise<StopRunReply>;
}

/** One change in the KV cache of an engine or a KV store. */
export interface CacheChange {
  readonly salt: string;
  readonly partId: string;
  /** Tokens of the part that are cached after the change; 0 when it was removed. */
  readonly cachedTokens: number;
}

/** Reads the changes in the KV cache of engines and KV stores. */
export interface CacheReader {
  /** The most recent changes, oldest first. */
  recentChanges(address: HostPort, token: CancellationToken): Promise<readonly CacheChange[]>;
}
