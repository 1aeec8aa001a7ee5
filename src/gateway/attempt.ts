import { type IncomingMessage } from 'node:http';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { isResponseLimit, type ResponseMonitor, toLimitError } from '../base/responselimits.js';
import { type TargetHead, type WireProtocol } from '../ports/wire.js';
import { type CallerResponse } from './response.js';
import { isEndUnknown, responseFault } from './responsecheck.js';
import { createEventSplitter } from './events.js';
import { type Exchange, type ExchangeRequest } from './exchange.js';
import { type Target } from './targets.js';

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
    }
  | { readonly kind: 'broken'; readonly cause: string; readonly lostAt?: ResponseStage };

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

export interface AttemptOptions {
  readonly clock: Clock;
  readonly protocol: WireProtocol;
  readonly responseMonitor: ResponseMonitor;
  readonly target: Target;
  readonly request: ExchangeRequest;
  readonly requestId: string;
  readonly isStream: boolean;
  /** The request may run again elsewhere, so the attempt fails when the target hangs. */
  readonly isRetryable: boolean;
  /** Another engine has a copy of the KV cache, so a stream that has begun can continue there. */
  readonly hasBackup: boolean;
  readonly callerResponse: CallerResponse;
  readonly progress: Progress;
  /** Time until the caller's deadline or the route's timeout, in milliseconds. */
  readonly remainingMs: number;
  /**
   * Time without bytes of this response, and of any other response of the target, after which a new
   * connection tests whether the target is reachable.
   */
  readonly probeAfterMs: number;
  /**
   * Time without bytes after which the attempt fails although the target accepts connections, if the
   * target has begun to respond to this request or to later ones that are not more urgent. Otherwise
   * the target counts as overloaded, like the other targets, so a retry elsewhere would not be
   * faster. Applies to retryable requests, and to streams with a backup after their first event.
   */
  readonly hangTimeoutMs: number;
  /** Prompt tokens that the target is expected to prefill. */
  readonly prefillTokens: number;
  /** Priority of the request at its target; 0 is the most urgent. */
  readonly priority: number;
  onHead(head: TargetHead, status: number): void;
  onFirstByte(): void;
  /** Called once when the target goes on writing after its first events, or has ended the response. */
  onUnderway(): void;
}

export interface Attempt {
  readonly ended: Promise<AttemptEnd>;
  /**
   * Closes the connection to the target, which stops its work. The {@link AttemptEnd} then has the
   * kind `left`, unless the attempt has already ended.
   */
  cancel(): void;
  /** Closes the connection because the request must not run; the target may have begun to run it. */
  recall(cause: string): void;
}

/** A target may respond in any order to requests that are sent within this time. */
const reorderToleranceMs = 250;

/** Least time between two checks of a target that sends nothing. */
const minCheckIntervalMs = 150;

const notRunStatuses: Readonly<Record<number, NotRunCause>> = {
  421: 'misdirected',
  429: 'full',
  503: 'full',
  400: 'misdirected',
};

/** Sends a request to one target and forwards its response to the caller. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { clock, protocol, target, requestId, callerResponse, progress, isStream } = options;
  const buffer = options.responseMonitor.createBuffer('request');
  const splitter = createEventSplitter(buffer);
  const inFlight = target.startRequest(options.prefillTokens, options.priority);
  const timers: Disposable[] = [];
  const startedAt = clock.now();
  let lastByteAt = startedAt;
  let targetRes: IncomingMessage | undefined;
  let head: TargetHead | undefined;
  /** The buffer is disposed with the failure response of the target. */
  let isBufferKept = false;
  let bodyBytes = 0;
  let isForwarding = false;
  let stage: ResponseStage = 'waiting';
  let hasFirstEvents = false;
  let settle: (end: AttemptEnd) => void = () => undefined;
  let isEnded = false;
  const ended = new Promise<AttemptEnd>((resolve) => {
    settle = resolve;
  });
  const exchange: { current?: Exchange } = {};

  const end = (result: AttemptEnd): void => {
    if (isEnded) return;
    isEnded = true;
    for (const timer of timers) timer.dispose();
    inFlight.dispose();
    if (!isBufferKept) buffer.dispose();
    exchange.current?.abort();
    settle(result);
  };

  const fail = (cause: string, lostAt?: ResponseStage): void => {
    const kind = progress.hasEvents || isForwarding ? 'broken' : 'failed';
    end({ kind, cause, ...(lostAt && { lostAt }) });
  };

  /**
   * Fails the attempt because its response exceeds a limit. The target did not lose the connection, so
   * this is no sign of a crash.
   */
  const giveUp = (err: Error): void => {
    if (isEnded) return;
    options.responseMonitor.report({
      call: 'request',
      address: target.registration.address,
      receivedBytes: exchange.current?.receivedBytes ?? 0,
      cause: err.message,
    });
    fail(err.message);
  };

  const markUnderway = (): void => {
    if (stage === 'underway') return;
    stage = 'underway';
    options.onUnderway();
  };

  const forward = (chunk: Buffer): void => {
    if (callerResponse.write(chunk)) return;
    exchange.current?.pause();
    callerResponse.onDrain(() => exchange.current?.resume());
  };

  const forwardBuffered = (): void => {
    if (!targetRes) return;
    if (!callerResponse.hasStarted) callerResponse.writeHead(targetRes);
    isForwarding = true;
    const bytes = buffer.take();
    if (bytes.length === 0 || callerResponse.write(bytes)) {
      buffer.dispose();
      return;
    }
    exchange.current?.pause();
    callerResponse.onDrain(() => {
      buffer.dispose();
      exchange.current?.resume();
    });
  };

  const onEvents = (chunk: Buffer): void => {
    const batch = splitter.push(chunk);
    if (splitter.overflow) {
      giveUp(toLimitError('event', 'request', splitter.overflow));
      return;
    }
    if (!batch) return;
    inFlight.markPrefilled();
    if (hasFirstEvents) markUnderway();
    hasFirstEvents = true;
    if (!progress.hasEvents) options.onFirstByte();
    if (!callerResponse.hasStarted && targetRes) callerResponse.writeHead(targetRes, true);
    const now = clock.now();
    if (progress.hasEvents)
      progress.longestPauseMs = Math.max(progress.longestPauseMs, now - progress.lastEventAt);
    progress.lastEventAt = now;
    progress.hasEvents = true;
    progress.contentType ??= targetRes?.headers['content-type'];
    progress.lastEventId = batch.lastId ?? progress.lastEventId;
    forward(batch.bytes);
  };

  const onHead = (message: IncomingMessage, isReused: boolean): void => {
    targetRes = message;
    lastByteAt = clock.now();
    target.observeResponseStart(startedAt, options.priority);
    head = protocol.readTarget(message.headers);
    const fault = responseFault(head, message, {
      requestId,
      isReused,
      begunType: progress.contentType,
    });
    if (fault !== undefined) {
      fail(fault);
      return;
    }
    const status = message.statusCode ?? 0;
    options.onHead(head, status);
    const cause = notRunStatuses[status];
    if (cause && (head.isNotRun || status === 421)) {
      end({ kind: 'not-run', cause, head });
      return;
    }
    if (head.isSigned) stage = 'head';
    else fail(`response with status ${status} is not signed by the target`);
  };

  const isOk = (): boolean => {
    const status = targetRes?.statusCode ?? 0;
    return status >= 200 && status < 300;
  };

  const onData = (chunk: Buffer): void => {
    lastByteAt = clock.now();
    bodyBytes += chunk.length;
    if (isStream && isOk()) {
      onEvents(chunk);
      return;
    }
    if (isForwarding) {
      forward(chunk);
      return;
    }
    const overflow = buffer.push(chunk);
    if (!overflow) return;
    if (isOk()) {
      forwardBuffered();
      forward(chunk);
    } else giveUp(toLimitError('failure response', 'request', overflow));
  };

  const onEnd = (): void => {
    if (!targetRes) return;
    if (!isOk()) {
      isBufferKept = true;
      end({
        kind: 'failed',
        cause: `response status ${targetRes.statusCode}`,
        response: { res: targetRes, body: buffer.take(), dispose: () => buffer.dispose() },
      });
      return;
    }
    if (isEndUnknown(targetRes, options.request.method, bodyBytes)) {
      fail('connection ended after the head of a response without a length', stage);
      return;
    }
    if (isStream) {
      if (splitter.pendingBytes > 0) {
        fail('stream ended in the middle of an event', stage);
        return;
      }
      if (!callerResponse.hasStarted) callerResponse.writeHead(targetRes, true);
    } else if (!isForwarding) forwardBuffered();
    callerResponse.end();
    markUnderway();
    end({ kind: 'done' });
  };

  const onFailure = (err: Error, isSent: boolean): void => {
    if (!isSent) end({ kind: 'not-run', cause: 'unreachable' });
    else if (isResponseLimit(err)) giveUp(err);
    else fail(err.message, stage);
  };

  /** True when the target has begun to respond to this request or to one sent clearly later. */
  const isOvertaken = (): boolean =>
    targetRes !== undefined ||
    target.newestRespondedSentAt(options.priority) - startedAt > reorderToleranceMs;

  /**
   * Fails the attempt when its target is unreachable or hangs and the request can continue elsewhere.
   * A target that loads weights or prefills a long prompt sends nothing either, so missing bytes
   * alone are no sign of a fault while the target accepts connections.
   */
  const checkForHang = async (): Promise<void> => {
    const sinceLastByteMs = clock.now() - lastByteAt;
    // Before the first event, only a request that may run elsewhere benefits from a failed attempt.
    const shouldDetectHang = options.isRetryable || progress.hasEvents;
    if (shouldDetectHang && sinceLastByteMs >= options.hangTimeoutMs && isOvertaken()) {
      fail(`no bytes received for ${Math.round(sinceLastByteMs)} ms`);
      return;
    }
    const isStalled = sinceLastByteMs >= options.probeAfterMs;
    const isReachable = target.connections.sinceReachableMs() < options.probeAfterMs;
    if (isStalled && !isReachable && !(await target.connections.probe())) {
      fail('target does not accept connections');
      return;
    }
    if (isEnded) return;
    const waitMs = Math.max(minCheckIntervalMs, options.probeAfterMs - (clock.now() - lastByteAt));
    timers.push(clock.setTimer(waitMs, runHangCheck));
  };

  function runHangCheck(): void {
    checkForHang().catch((err: unknown) => fail(errMessage(err)));
  }

  timers.push(
    clock.setTimer(options.remainingMs, () =>
      fail('deadline of the caller or timeout of the route exceeded'),
    ),
  );
  if (options.isRetryable || options.hasBackup)
    timers.push(clock.setTimer(options.probeAfterMs, runHangCheck));
  exchange.current = target.connections.start(options.request, {
    onHead,
    onData,
    onEnd,
    onFailure,
  });
  return {
    ended,
    cancel: () => end({ kind: 'left' }),
    recall: (cause) => end({ kind: 'recalled', cause }),
  };
}
