import { type IncomingMessage } from 'node:http';
import { type Disposable } from '../base/lifecycle.js';
import { type TargetHead } from '../ports/wire.js';
import { type SilenceFacts } from './silence.js';

/**
 * How an attempt ended. `left`: the caller disconnected. `recalled`: the gateway took the request
 * back, but the target may have begun to run it. `not-run`: the target certainly did not run
 * the request. `failed`: the request may have run; `response` is the target's own failure response,
 * if there is one. `broken`: the caller has already received a part of the response.
 */
export type AttemptEnd =
  | { readonly kind: 'done' }
  | { readonly kind: 'left' }
  | { readonly kind: 'recalled'; readonly cause: string }
  | { readonly kind: 'not-run'; readonly cause: NotRunCause; readonly head?: TargetHead }
  | {
      readonly kind: 'failed';
      readonly cause: string;
      readonly response?: BufferedResponse;
      readonly lostAt?: ResponseStage;
      readonly silence: SilenceFacts;
    }
  | {
      readonly kind: 'broken';
      readonly cause: string;
      readonly lostAt?: ResponseStage;
      readonly silence: SilenceFacts;
    };

/**
 * How far the response of an attempt had come when its connection was lost. An engine sends the head
 * when it begins to write; `underway` means that it went on writing after its first events.
 */
export type ResponseStage = 'waiting' | 'head' | 'underway';

/** Why a target did not run a request. */
export type NotRunCause = 'unreachable' | 'full' | 'misdirected';

/** Failure response of a target, stored in case no other target succeeds. */
export interface BufferedResponse extends Disposable {
  readonly res: IncomingMessage;
  readonly body: Buffer;
}

/** State that the attempts of one request share. */
export interface Progress {
  /** Id of the last event that was sent to the caller. */
  lastEventId: string | undefined;
  /** Content type of the response that began; undefined before the first event. */
  contentType: string | undefined;
  /** At least one event was sent to the caller. */
  hasEvents: boolean;
  /** Time at which the last event was sent to the caller. */
  lastEventAt: number;
  /** Longest time between two events, in milliseconds; callers count long pauses as late. */
  longestPauseMs: number;
}
