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
  /** The caller's deadline. */
  readonly deadline: Deadline;
  /** The route's timeout. */
  readonly timeout: Deadline;
  readonly response: CallerResponse;
  /** Cancelled when the caller disconnects. */
  readonly token: CancellationToken;
}

/** Inputs of a placement, for the log. */
export interface PlacementSummary {
  readonly weightsVersion: number | undefined;
  readonly tokensToRead: number;
  readonly fetchFrom: string | undefined;
}

/** Result of one request, for the log and the metrics. */
export interface CallResult {
  readonly outcome: 'ok' | 'passed-failure' | 'broken' | 'left' | LocalResponse;
  readonly attempts: number;
  readonly target: string | undefined;
  /** Inputs of the last placement. */
  readonly placement: PlacementSummary | undefined;
  /** Time from the arrival to the first byte of the response. */
  readonly firstByteMs: number | undefined;
  /** Time from the arrival until the request was first sent to a target. */
  readonly sentAfterMs: number | undefined;
  /** Longest time between two events of a stream. */
  readonly longestPauseMs: number;
}
