import { type CancellationToken } from '../base/cancellation.js';
import { type Deadline } from '../base/deadline.js';
import { type Route, type TeamSpec } from '../ports/site.js';
import { type CallerHead } from '../ports/wire.js';
import { type CallerResponse, type LocalResponse } from './response.js';

/** One request of a caller that may be forwarded. */
export interface GatewayCall {
  readonly head: CallerHead;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly team: TeamSpec | undefined;
  readonly service: string;
  /** Tightest objective of all streams of the service, in milliseconds. */
  readonly tightestObjectiveMs: number;
  /** The caller's deadline, or the route's timeout when the caller sent none. */
  readonly deadline: Deadline;
  /** The route's timeout. */
  readonly timeout: Deadline;
  readonly response: CallerResponse;
  /** Cancelled when the caller disconnects. */
  readonly token: CancellationToken;
}

/**
 * Details of a placement, for the log: `tokensToRead` counts the prompt tokens that the target has
 * to prefill, and `fetchFrom` is the host of the engine or KV store that sends cached parts.
 */
export interface PlacementSummary {
  readonly weightsVersion: number | undefined;
  readonly tokensToRead: number;
  /** Time to the first byte that the placement expected, in milliseconds. */
  readonly expectedMs: number;
  readonly fetchFrom: string | undefined;
  /** Tokens that running requests held at the engine, and its memory; undefined if not limited. */
  readonly heldTokens: number | undefined;
  readonly memoryTokens: number | undefined;
}

/**
 * Result of one request, for the log and the metrics. Outcome `passed-failure` means that a target's
 * failure response was forwarded, `broken` that a response was aborted after its start, `left` that
 * the caller disconnected.
 */
export interface CallResult {
  readonly outcome: 'ok' | 'passed-failure' | 'broken' | 'left' | LocalResponse;
  readonly attempts: number;
  readonly target: string | undefined;
  readonly placement: PlacementSummary | undefined;
  /**
   * Time from the start of the dispatch, after the body was read, to the first event of a stream or
   * the end of any other response, in milliseconds.
   */
  readonly firstByteMs: number | undefined;
  /** Time from the start of the dispatch until the request was first sent to a target. */
  readonly sentAfterMs: number | undefined;
  /** Longest time between two events of a stream. */
  readonly longestPauseMs: number;
}
