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

describe('a stream that broke off and that the next engine does not go on with', () => {
  it.each<[string, (req: RawRequest) => string]>([
    ['an error', (req) => `${head('500 Oops', req, 'Content-Length: 8')}failed\n\n`],
    [
      'a success of another type',
      (req) =>
        `${head('200 OK', req, 'Content-Type: application/json', 'Content-Length: 8')}failed\n\n`,
    ],
    ['a second head instead of a chunk', (req) => streamHead(req) + head('500 Oops', req)],
    ['an empty stream of another type', (req) => `${head('200 OK', req, 'Content-Length: 0')}`],
    ['an empty response without a length', (req) => head('200 OK', req)],
  ])('is not completed with %s', async (_name, second) => {
    const respond: Respond = (socket, req) => {
      if (req.lastEventId === undefined) {
        socket.write(streamHead(req) + chunk(events));
        setTimeout(() => socket.resetAndDestroy(), 20);
      } else socket.end(second(req));
    };
    await site.start('llm', respond, respond);
    expect(await site.send('fit')).toEqual({ status: 200, body: events, isComplete: false });
    expect(site.targets.flatMap(({ requests }) => requests)).toHaveLength(2);
  });

  it('reaches the caller whole when the next engine goes on with other lengths', async () => {
    const rest = 'id: 3\ndata: longer than the rest of the first response\n\n';
    const respond: Respond = (socket, req) => {
      const type = 'Content-Type: text/event-stream';
      if (req.lastEventId !== undefined) {
        socket.write(`${head('200 OK', req, type, `Content-Length: ${rest.length}`)}${rest}`);
        return;
      }
      socket.write(`${head('200 OK', req, type, `Content-Length: ${events.length + 9}`)}${events}`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    await site.start('llm', respond, respond);
    expect(await site.send('fit')).toEqual({ status: 200, body: events + rest, isComplete: true });
  });
});
