import { type IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { type Answer } from '../../src/gateway/answer.js';
import { type AttemptEnd, startAttempt } from '../../src/gateway/attempt.js';
import { type ExchangeListener } from '../../src/gateway/exchange.js';
import { type Target } from '../../src/gateway/targets.js';
import { headerProtocol } from '../../platform/headers.js';
import { createManualClock } from '../standins/clock.js';

interface Case {
  readonly isRepeatable: boolean;
  readonly hasBackup: boolean;
  /** The target began to answer a request that was sent this much later. */
  readonly overtakenByMs: number;
  readonly acceptsConnections: boolean;
  /** The target sent an event before it went silent. */
  readonly sendsEvent: boolean;
}

const calm: Case = {
  isRepeatable: true,
  hasBackup: false,
  overtakenByMs: 500,
  acceptsConnections: true,
  sendsEvent: false,
};

/** Plays a stream whose target goes silent; returns how it stands after two seconds. */
async function play(more: Partial<Case>): Promise<AttemptEnd['kind'] | 'waiting'> {
  const options = { ...calm, ...more };
  const clock = createManualClock();
  const started: { listener?: ExchangeListener } = {};
  const connections = {
    silentMs: () => clock.now(),
    probe: async () => options.acceptsConnections,
    start(_req: unknown, listener: ExchangeListener) {
      started.listener = listener;
      return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    },
  };
  const target = {
    id: 't',
    connections,
    newestRespondedSentAt: options.overtakenByMs,
    observeResponseStart: () => undefined,
    startRequest: () => ({ markPrefilled: () => undefined, dispose: () => undefined }),
  } as unknown as Target;
  const answer = { isBegun: false, begin: () => undefined, write: () => true } as unknown as Answer;
  let end: AttemptEnd | undefined;
  const attempt = startAttempt({
    clock,
    protocol: headerProtocol,
    target,
    request: { method: 'POST', path: '/', headers: [], body: undefined },
    requestId: 'r',
    isStream: true,
    isRepeatable: options.isRepeatable,
    hasBackup: options.hasBackup,
    answer,
    progress: { lastEventId: undefined, hasEvents: false, lastEventAt: 0, longestPauseMs: 0 },
    remainingMs: 10_000,
    silenceMs: 300,
    hangMs: 1_000,
    tokens: 0,
    onHead: () => undefined,
    onFirstByte: () => undefined,
  });
  attempt.ended.then(
    (result) => {
      end = result;
    },
    () => undefined,
  );
  if (options.sendsEvent) {
    const headers = { 'x-request-id': 'r', 'x-server-stamp': 's' };
    started.listener?.onHead({ statusCode: 200, headers } as unknown as IncomingMessage);
    started.listener?.onData(Buffer.from('id: 1\ndata: a\n\n'));
  }
  await clock.advance(2_000);
  return end?.kind ?? 'waiting';
}

describe('a stream whose target is silent', () => {
  it.each<[string, Partial<Case>, AttemptEnd['kind'] | 'waiting']>([
    ['moves on when later requests were answered', {}, 'failed'],
    ['waits at a crowded target, which answers nobody', { overtakenByMs: 0 }, 'waiting'],
    ['moves on from a target that is gone', { acceptsConnections: false }, 'failed'],
    ['waits where it may not run elsewhere', { isRepeatable: false }, 'waiting'],
    [
      'waits before its first event in spite of a copy',
      { isRepeatable: false, hasBackup: true },
      'waiting',
    ],
    [
      'goes on at the copy after its first event',
      { isRepeatable: false, hasBackup: true, sendsEvent: true },
      'broken',
    ],
  ])('%s', async (_name, more, expected) => {
    expect(await play(more)).toBe(expected);
  });
});
