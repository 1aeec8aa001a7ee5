import { type IncomingMessage } from 'node:http';
import { headerProtocol } from '../../platform/headers.js';
import { createResponseMonitor } from '../../src/base/responselimits.js';
import { startAttempt } from '../../src/gateway/attempt.js';
import { type ExchangeListener } from '../../src/gateway/exchange.js';
import { type CallerResponse } from '../../src/gateway/response.js';
import { type Target } from '../../src/gateway/targets.js';
import { createManualClock } from './clock.js';

/** What happens to one attempt of a stream. */
export interface AttemptCase {
  /** Another target or a backup may go on with the request. */
  readonly isWatched: boolean;
  /** Another target can be reserved. */
  readonly mayMove: boolean;
  readonly isReplaced: boolean;
  /** The caller takes no bytes. */
  readonly isCallerSlow: boolean;
  /** The target began to respond to a request that was sent this much later. */
  readonly overtakenByMs: number;
  readonly acceptsConnections: boolean;
  /** The target sends one event and then nothing more. */
  readonly sendsEvent: boolean;
}

const defaultCase: AttemptCase = {
  isWatched: true,
  mayMove: true,
  isReplaced: false,
  isCallerSlow: false,
  overtakenByMs: 500,
  acceptsConnections: true,
  sendsEvent: false,
};

/** Starts an attempt for a stream at a stand-in target. */
export function startStream(overrides: Partial<AttemptCase>, callerResponse?: CallerResponse) {
  const options = { ...defaultCase, ...overrides };
  const clock = createManualClock();
  const started: { listener?: ExchangeListener } = {};
  const connections = {
    sinceReachableMs: () => clock.now(),
    probe: async () => options.acceptsConnections,
    start(_req: unknown, { onHead, onData, onEnd, onFailure }: ExchangeListener) {
      let isAborted = false;
      const unlessAborted =
        <Args extends readonly unknown[]>(handler: (...args: Args) => void) =>
        (...args: Args) => {
          if (!isAborted) handler(...args);
        };
      started.listener = {
        onHead: unlessAborted(onHead),
        onData: unlessAborted(onData),
        onEnd: unlessAborted(onEnd),
        onFailure: unlessAborted(onFailure),
      };
      const abort = (): void => {
        isAborted = true;
      };
      return { abort, pause: () => undefined, resume: () => undefined };
    },
  };
  const target = {
    id: 't',
    connections,
    newestRespondedSentAt: () => options.overtakenByMs,
    observeResponseStart: () => undefined,
    startRequest: () => ({ markPrefilled: () => undefined, dispose: () => undefined }),
  } as unknown as Target;
  let answers = 0;
  const takesAll = {
    openWriter: () => ({
      begin: () => true,
      write: () => !options.isCallerSlow,
      onDrain: () => undefined,
    }),
  } as unknown as CallerResponse;
  const attempt = startAttempt({
    clock,
    protocol: headerProtocol,
    responseMonitor: createResponseMonitor(),
    target,
    request: { method: 'POST', path: '/', headers: [], body: undefined },
    requestId: 'r',
    isStream: true,
    isWatched: options.isWatched,
    isReplaced: () => options.isReplaced,
    tryMove: () => options.mayMove,
    callerResponse: callerResponse ?? takesAll,
    progress: {
      lastEventId: undefined,
      contentType: undefined,
      hasEvents: false,
      lastEventAt: 0,
      longestPauseMs: 0,
    },
    remainingMs: 10_000,
    probeAfterMs: 300,
    hangTimeoutMs: 1_000,
    prefillTokens: 0,
    priority: 0,
    onHead: () => undefined,
    onWeightsChange: () => undefined,
    onFirstByte: () => undefined,
    onUnderway() {
      answers += 1;
    },
  });
  return { options, clock, started, attempt, answers: () => answers };
}

/** Head of a signed response to the stream, as Node's parser would deliver it; `more` is a flat list. */
export function messageOf(statusCode: number, ...more: readonly string[]): IncomingMessage {
  const rawHeaders = ['X-Request-Id', 'r', 'X-Server-Stamp', 's', ...more];
  const headers = { 'x-request-id': 'r', 'x-server-stamp': 's' };
  return { statusCode, headers, rawHeaders } as unknown as IncomingMessage;
}
