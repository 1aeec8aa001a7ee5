import { describe, expect, it } from 'vitest';
import { isEndUnknown, responseFault } from '../../src/gateway/responsecheck.js';
import { type TargetHead } from '../../src/ports/wire.js';

const events = 'text/event-stream';

const faultOf = (
  head: Partial<TargetHead>,
  contentType: string,
  context: { readonly isReused?: boolean; readonly begunType?: string } = {},
): string | undefined =>
  responseFault(
    { requestId: 'r1', ...head } as TargetHead,
    { statusCode: 200, headers: { 'content-type': contentType }, rawHeaders: [] },
    { requestId: 'r1', isReused: false, begunType: undefined, ...context },
  );

describe('the head of a response', () => {
  it.each<[string, string | undefined, boolean]>([
    ['is accepted', faultOf({}, events), true],
    ['may lack the id on a new connection', faultOf({ requestId: undefined }, events), true],
    [
      'must name the request on a reused connection',
      faultOf({ requestId: undefined }, events, { isReused: true }),
      false,
    ],
    ['must not name another request', faultOf({ requestId: 'r0' }, events), false],
    [
      'may go on with a stream when only a parameter of the type differs',
      faultOf({}, `${events}; charset=utf-8`, { begunType: 'Text/Event-Stream' }),
      true,
    ],
    [
      'must not go on with a stream with another type',
      faultOf({}, 'application/json', { begunType: events }),
      false,
    ],
  ])('%s', (_name, fault, isAccepted) => {
    expect(fault === undefined).toBe(isAccepted);
  });
});

it.each([
  ['a head without a length and nothing else', {}, 'GET', 0, true],
  ['some bytes of a body without a length', {}, 'GET', 1, false],
  ['an announced empty body', { 'content-length': '0' }, 'GET', 0, false],
  ['an empty body in chunks', { 'transfer-encoding': 'chunked' }, 'GET', 0, false],
  ['a response to HEAD', {}, 'HEAD', 0, false],
] as const)('the end of %s is unknown: %#', (_name, headers, method, bodyBytes, expected) => {
  expect(isEndUnknown({ statusCode: 200, headers }, method, bodyBytes)).toBe(expected);
});
