import { type IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { createResponseMonitor } from '../../src/base/responselimits.js';
import { type CallerResponse } from '../../src/gateway/response.js';
import { type AttemptEnd, startAttempt } from '../../src/gateway/attempt.js';
import { type ExchangeListener } from '../../src/gateway/exchange.js';
import { type Target } from '../../src/gateway/targets.js';
import { headerProtocol } from '../../platform/headers.js';
import { createManualClock } from '../standins/clock.js';

interface Case {
  readonly isRetryable: boolean;
  readonly hasBackup: boolean;
  /** The target began to respond to a request that was sent this much later. */
  readonly overtakenByMs: number;
  readonly acceptsConnections: boolean;
  /** The target sends one event and then nothing more. */
  readonly sendsEvent: boolean;
}

const defaultCase: Case = {
  isRetryable: true,
  hasBackup: false,
  overtakenByMs: 500,
  acceptsConnections: true,
  sendsEvent: false,
};

/** Starts a stream whose target stops sending; returns how the attempt ended within 2 s. */
async function runSilentStream(overrides: Partial<Case>): Promise<AttemptEnd['kind'] | 'waiting'> {
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
  const callerResponse = {
    hasStarted: false,
    writeHead: () => undefined,
    write: () => true,
  } as unknown as CallerResponse;
  let end: AttemptEnd | undefined;
  const attempt = startAttempt({
    clock,
    protocol: headerProtocol,
    responseMonitor: createResponseMonitor(),
    target,
    request: { method: 'POST', path: '/', headers: [], body: undefined },
    requestId: 'r',
    isStream: true,
    isRetryable: options.isRetryable,
    hasBackup: options.hasBackup,
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
    onUnderway: () => undefined,
  });
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
    ['waits when it may not run elsewhere', { isRetryable: false }, 'waiting'],
    [
      'waits before its first event even if another engine has a copy',
      { isRetryable: false, hasBackup: true },
      'waiting',
    ],
    [
      'breaks after its first event if another engine has a copy',
      { isRetryable: false, hasBackup: true, sendsEvent: true },
      'broken',
    ],
  ])('%s', async (_name, more, expected) => {
    expect(await runSilentStream(more)).toBe(expected);
  });
});
