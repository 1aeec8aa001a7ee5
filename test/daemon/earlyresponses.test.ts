import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { head, type RawSite, type Respond, startRawSite } from '../standins/platform/rawsite.js';

const upload = Buffer.alloc(12_000_000, 'a');

const part = 'id: 1\ndata: a\n\n';

let site: RawSite;

beforeEach(async () => {
  site = await startRawSite(false);
});

afterEach(() => site.close());

// Guards against a part of a response that reaches the caller as a complete success (MIXED): a target
// responds without a length, before it has read the request, and its connection is lost.
describe.each<[string, Respond]>([
  [
    'resets the connection at once',
    (socket, req) => socket.write(head('200 OK', req) + part, () => socket.resetAndDestroy()),
  ],
  [
    'resets the connection later',
    (socket, req) => {
      socket.write(head('200 OK', req) + part);
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
  ],
  [
    'ends the connection and resets it later',
    (socket, req) => {
      socket.end(head('200 OK', req) + part);
      setTimeout(() => socket.resetAndDestroy(), 100);
    },
  ],
])('a target that responds during an upload and %s', (_name, respond) => {
  it.each([
    ['llm', 'fit'],
    ['llm', 'reply'],
    ['desk', 'order'],
    ['desk', 'look'],
  ])('does not look complete to the caller (%s, %s)', async (service, route) => {
    await site.start(service, respond, respond);
    const { status, isComplete } = await site.send(route, upload);
    expect(status === 200 && isComplete).toBe(false);
    expect([408, 413, 421, 429, 503]).not.toContain(status);
    expect(site.targets.some(({ requests }) => requests.length > 0)).toBe(true);
  });
});
