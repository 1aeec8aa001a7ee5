import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type RawRequest } from '../standins/platform/rawtarget.js';
import {
  chunk,
  head,
  type RawSite,
  type Respond,
  startRawSite,
  streamHead,
} from '../standins/platform/rawsite.js';

const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

let site: RawSite;

beforeEach(async () => {
  site = await startRawSite();
});

afterEach(() => site.close());

describe('an engine that stops in the middle of its response', () => {
  it.each<[string, string, (req: RawRequest) => string]>([
    ['stream', 'a status line', () => 'HTTP/1.1 200 OK\r\n'],
    ['stream', 'a header', (req) => streamHead(req).slice(0, -20)],
    ['stream', 'the last line of the head', (req) => streamHead(req).slice(0, -2)],
    ['stream', 'a head without a length', (req) => head('200 OK', req)],
    ['stream', 'an event', (req) => `${head('200 OK', req)}id: 1\ndata: a`],
    ['stream', 'the chunks', (req) => streamHead(req) + chunk(events)],
    ['service', 'a header', (req) => head('200 OK', req, 'Content-Length: 2').slice(0, -8)],
    ['service', 'a head without a length', (req) => head('200 OK', req)],
    [
      'service',
      'a body with a length',
      (req) => `${head('200 OK', req, 'Content-Length: 9')}short`,
    ],
  ])('does not look complete to the caller: %s, after %s', async (kind, _part, bytes) => {
    const isStream = kind === 'stream';
    const respond: Respond = (socket, req) => socket.end(bytes(req));
    await site.start(isStream ? 'llm' : 'desk', respond);
    const { status, isComplete } = await site.send(isStream ? 'fit' : 'order');
    expect(status === 200 && isComplete).toBe(false);
    expect([429, 503]).not.toContain(status);
  });
});
