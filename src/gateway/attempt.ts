import { type IncomingMessage } from 'node:http';
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { isHeaderValue } from '../base/responsehead.js';
import { isResponseLimit, type ResponseMonitor, toLimitError } from '../base/responselimits.js';
import { type TargetHead, type WireProtocol } from '../ports/wire.js';
import { type AttemptEnd, type Progress, type ResponseStage } from './attemptend.js';
import { type CallerResponse } from './response.js';
import { isEndUnknown, responseFault } from './responsecheck.js';
import { meaningOf } from './responsestatus.js';
import { countEvents, createEventSplitter } from './events.js';
import { type Exchange, type ExchangeRequest } from './exchange.js';
import { type SilenceFacts } from './silence.js';
import { watchSilence } from './silencewatch.js';
import { type Target } from './targets.js';

export interface AttemptOptions {
  readonly clock: Clock;
  readonly protocol: WireProtocol;
  readonly responseMonitor: ResponseMonitor;
  readonly target: Target;
  readonly request: ExchangeRequest;
  readonly requestId: string;
  readonly isStream: boolean;
  /** Something may go on with the request, so the attempt ends once its target is gone. */
  readonly isWatched: boolean;
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
   * Time without bytes after which the attempt moves elsewhere although the target accepts
   * connections, if the target has begun to respond to this request or to later ones that are not
   * more urgent. Otherwise the target counts as overloaded, like the other targets, so a retry
   * elsewhere would not be faster.
   */
  readonly hangTimeoutMs: number;
  /** Prompt tokens that the target is expected to prefill. */
  readonly prefillTokens: number;
  /** Priority of the request at its target; 0 is the most urgent. */
  readonly priority: number;
  /** True when another incarnation has the address of the target. */
  isReplaced(): boolean;
  /**
   * Reserves another target and the budget for a run there; the attempt then fails. False when it
   * has to stay, after which this is asked again.
   */
  tryMove(silence: SilenceFacts): boolean;
  onHead(head: TargetHead, status: number): void;
  /** Called for each event that names new weights; the version is undefined when it can't be read. */
  onWeightsChange(version: number | undefined): void;
  onFirstByte(): void;
  /** Called with the number of events that arrived together. */
  onEvents?(count: number): void;
  /**
   * Called once when the target goes on writing after its first events, or has ended the response; not
   * for a server error.
   */
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

/** From this status on a failure is the target's own, and tells nothing about the request. */
const firstServerErrorStatus = 500;

/** A target may respond in any order to requests that are sent within this time. */
const reorderToleranceMs = 250;

/** Sends a request to one target and forwards its response to the caller. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { clock, protocol, target, requestId, progress, isStream } = options;
  const writer = options.callerResponse.openWriter(progress.lastEventId);
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
  /** The caller reads too slowly, so no bytes are taken from the target. */
  let isPaused = false;
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

  const isOk = (): boolean => {
    const status = targetRes?.statusCode ?? 0;
    return status >= 200 && status < 300;
  };

  /** True when the target has begun to respond to this request or to one sent clearly later. */
  const isOvertaken = (): boolean =>
    targetRes !== undefined ||
    target.newestRespondedSentAt(options.priority) - startedAt > reorderToleranceMs;

  const silenceFacts = (): SilenceFacts => ({
    silentMs: clock.now() - lastByteAt,
    sinceReachableMs: target.connections.sinceReachableMs(),
    answersOthers: isOvertaken(),
  });

  const observeWeights = (events: Buffer): void => {
    for (const version of protocol.readWeightsChanges(events)) options.onWeightsChange(version);
  };

  const fail = (cause: string, lostAt?: ResponseStage): void => {
    // The event that broke off may have begun with the version.
    if (!isEnded && isStream && isOk()) observeWeights(buffer.take());
    const kind = progress.hasEvents || isForwarding ? 'broken' : 'failed';
    end({ kind, cause, silence: silenceFacts(), ...(lostAt && { lostAt }) });
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

  const forward = (chunk: Buffer, onTaken: () => void = () => undefined): void => {
    if (writer.write(chunk)) {
      onTaken();
      return;
    }
    if (isPaused) return;
    isPaused = true;
    exchange.current?.pause();
    writer.onDrain(() => {
      onTaken();
      isPaused = false;
      lastByteAt = clock.now();
      exchange.current?.resume();
    });
  };

  /** Begins or goes on with the response to the caller; false when the attempt has failed instead. */
  const beginResponse = (res: IncomingMessage): boolean => {
    if (writer.begin(res, isStream)) return true;
    fail('the caller has a part of the response of another target');
    return false;
  };

  const forwardBuffered = (): void => {
    if (!targetRes || !beginResponse(targetRes)) return;
    isForwarding = true;
    const bytes = buffer.take();
    if (bytes.length === 0) buffer.dispose();
    else forward(bytes, () => buffer.dispose());
  };

  const onEvents = (chunk: Buffer): void => {
    const batch = splitter.push(chunk);
    if (splitter.overflow) {
      giveUp(toLimitError('event', 'request', splitter.overflow));
      return;
    }
    if (batch?.lastId !== undefined && !isHeaderValue(batch.lastId)) {
      // Another target could not be asked to go on after it.
      fail('event has an id that no header may have');
      return;
    }
    if (!batch || !targetRes || !beginResponse(targetRes)) return;
    observeWeights(batch.bytes);
    inFlight.markPrefilled();
    if (hasFirstEvents) markUnderway();
    hasFirstEvents = true;
    options.onEvents?.(countEvents(batch.bytes));
    if (!progress.hasEvents) options.onFirstByte();
    const now = clock.now();
    if (progress.hasEvents)
      progress.longestPauseMs = Math.max(progress.longestPauseMs, now - progress.lastEventAt);
    progress.lastEventAt = now;
    progress.hasEvents = true;
    progress.contentType ??= targetRes.headers['content-type'];
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
    const meaning = meaningOf(status, head);
    if (meaning.kind === 'not-run') {
      end({ kind: 'not-run', cause: meaning.cause, head });
      return;
    }
    if (!head.isSigned) fail(`response with status ${status} is not signed by the target`);
    else if (meaning.kind === 'failed' && !meaning.isForwardable)
      fail(`response with status ${status} does not prove that the request has not run`);
    else stage = 'head';
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
      const status = targetRes.statusCode ?? 0;
      if (status < firstServerErrorStatus) markUnderway();
      isBufferKept = true;
      end({
        kind: 'failed',
        cause: `response status ${status}`,
        silence: silenceFacts(),
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
      if (!beginResponse(targetRes)) return;
    } else if (!isForwarding) forwardBuffered();
    if (isEnded) return;
    writer.end();
    markUnderway();
    end({ kind: 'done' });
  };

  const onFailure = (err: Error, isSent: boolean): void => {
    if (!isSent) end({ kind: 'not-run', cause: 'unreachable' });
    else if (isResponseLimit(err)) giveUp(err);
    else fail(err.message, stage);
  };

  timers.push(
    clock.setTimer(options.remainingMs, () =>
      fail('deadline of the caller or timeout of the route exceeded'),
    ),
  );
  if (options.isWatched) {
    const { connections } = target;
    const watched = { isPaused: () => isPaused, facts: silenceFacts, giveUp: fail };
    timers.push(watchSilence({ ...options, ...watched, connections }));
  }
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
