import { describe, expect, it } from 'vitest';
import { type AttemptEnd } from '../../src/gateway/attemptend.js';
import { type AttemptCase, messageOf, startStream } from '../standins/attempt.js';

/** Starts a stream whose target stops sending; returns how the attempt ended within 2 s. */
async function runSilentStream(
  overrides: Partial<AttemptCase>,
): Promise<AttemptEnd['kind'] | 'waiting'> {
  const { options, clock, started, attempt } = startStream(overrides);
  let end: AttemptEnd | undefined;
  attempt.ended.then(
    (result) => {
      end = result;
    },
    () => undefined,
  );
  if (options.sendsEvent) {
    started.listener?.onHead(messageOf(200), false);
    started.listener?.onData(Buffer.from('id: 1\ndata: a\n\n'));
  }
  await clock.advance(2_000);
  return end?.kind ?? 'waiting';
}

describe('a stream whose target sends nothing', () => {
  it.each<[string, Partial<AttemptCase>, AttemptEnd['kind'] | 'waiting']>([
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
    started.listener?.onHead(messageOf(statusCode), false);
    started.listener?.onEnd();
    expect((await attempt.ended).kind).toBe('failed');
    expect(answers()).toBe(expected);
  });
});
