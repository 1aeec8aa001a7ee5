import { type IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { createResponseMonitor } from '../../src/base/responselimits.js';
import { type CallerResponse } from '../../src/gateway/response.js';
import { startAttempt } from '../../src/gateway/attempt.js';
import { type AttemptEnd } from '../../src/gateway/attemptend.js';
import { type ExchangeListener } from '../../src/gateway/exchange.js';
import { type Target } from '../../src/gateway/targets.js';
import { headerProtocol } from '../../platform/headers.js';
import { createManualClock } from '../standins/clock.js';

interface Case {
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

const defaultCase: Case = {
  isWatched: true,
  mayMove: true,
  isReplaced: false,
  isCallerSlow: false,
  overtakenByMs: 500,
  acceptsConnections: true,
  sendsEvent: false,
};

/** Starts an attempt for a stream at a stand-in target. */
function startStream(overrides: Partial<Case>) {
  const options = { ...defaultCase, ...overrides };
  const clock = createManualClock();
  const started: { listener?: ExchangeListener } = {};
  const connections = {
    sinceReachableMs: () => clock.now(),
    probe: async () => options.acceptsConnections,
    start(_req: unknown, listener: ExchangeListener) {
      started.listener = listener;
      return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
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
  const callerResponse = {
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
    callerResponse,
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
    onFirstByte: () => undefined,
    onUnderway() {
      answers += 1;
    },
  });
  return { options, clock, started, attempt, answers: () => answers };
}

/** Starts a stream whose target stops sending; returns how the attempt ended within 2 s. */
async function runSilentStream(overrides: Partial<Case>): Promise<AttemptEnd['kind'] | 'waiting'> {
  const { options, clock, started, attempt } = startStream(overrides);
  let end: AttemptEnd | undefined;
  attempt.ended.then(
    (result) => {
      end = result;
    },
    () => undefined,
  );
  if (options.sendsEvent) {
    const headers = { 'x-request-id': 'r', 'x-server-stamp': 's' };
    started.listener?.onHead({ statusCode: 200, headers } as unknown as IncomingMessage, false);
    started.listener?.onData(Buffer.from('id: 1\ndata: a\n\n'));
  }
  await clock.advance(2_000);
  return end?.kind ?? 'waiting';
}

describe('a stream whose target sends nothing', () => {
  it.each<[string, Partial<Case>, AttemptEnd['kind'] | 'waiting']>([
    ['fails when the target responded to later requests', {}, 'failed'],
    ['waits at an overloaded target that responds to no request', { overtakenByMs: 0 }, 'waiting'],
    ['fails when the target does not accept connections', { acceptsConnections: false }, 'failed'],
    [
      'fails when the target was replaced, even if nothing is reserved',
      { isReplaced: true, mayMove: false },
      'failed',
    ],
    ['waits when nothing may go on with it', { isWatched: false }, 'waiting'],
    ['waits when no other target is reserved', { mayMove: false }, 'waiting'],
    ['breaks after its first event once another is reserved', { sendsEvent: true }, 'broken'],
    [
      'waits after its first event when no other target is reserved',
      { mayMove: false, sendsEvent: true },
      'waiting',
    ],
    [
      'breaks after its first event when the target does not accept connections',
      { mayMove: false, sendsEvent: true, acceptsConnections: false },
      'broken',
    ],
    ['waits when its caller reads too slowly', { sendsEvent: true, isCallerSlow: true }, 'waiting'],
  ])('%s', async (_name, more, expected) => {
    expect(await runSilentStream(more)).toBe(expected);
  });
});

describe('a failure response of a target', () => {
  it.each<[string, number, number]>([
    ['shows that the target survives the request if the request is at fault', 404, 1],
    ['shows nothing about the request if the target is at fault', 500, 0],
  ])('%s', async (_name, statusCode, expected) => {
    const { started, attempt, answers } = startStream({});
    const headers = { 'x-request-id': 'r', 'x-server-stamp': 's' };
    started.listener?.onHead({ statusCode, headers } as unknown as IncomingMessage, false);
    started.listener?.onEnd();
    expect((await attempt.ended).kind).toBe('failed');
    expect(answers()).toBe(expected);
  });
});
