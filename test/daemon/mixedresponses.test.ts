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

/** More than a gateway buffers before it passes a response on. */
const partBytes = 400_000;

let site: RawSite;

beforeEach(async () => {
  site = await startRawSite();
});

afterEach(() => site.close());

const chunked = (req: RawRequest): string => head('200 OK', req, 'Transfer-Encoding: chunked');

const sized = (req: RawRequest): string => head('200 OK', req, `Content-Length: ${2 * partBytes}`);

// Guards against a response that is made up of the bytes of two targets (MIXED).
describe('a response that was passed on in part when its target failed', () => {
  it.each<[string, (req: RawRequest) => string, (text: string) => string]>([
    ['in chunks', chunked, chunk],
    ['with a length', sized, (text) => text],
  ])('is not completed with the response of another target (%s)', async (_name, begin, frame) => {
    let count = 0;
    const respond: Respond = (socket, req) => {
      count += 1;
      const isFirst = count === 1;
      const text = (isFirst ? 'a' : 'b').repeat(partBytes);
      socket.write(begin(req) + frame(text));
      if (isFirst) setTimeout(() => socket.resetAndDestroy(), 50);
      else socket.end(frame(text) + (begin === chunked ? chunk('') : ''));
    };
    await site.start('desk', respond, respond);
    const { status, body, isComplete } = await site.send('look');
    expect({ status, isComplete, hasBoth: body.includes('a') && body.includes('b') }).toEqual({
      status: 200,
      isComplete: false,
      hasBoth: false,
    });
    expect(site.targets.flatMap(({ requests }) => requests)).toHaveLength(1);
  });

  it('is not completed with another run when its events have no ids', async () => {
    const respond: Respond = (socket, req) => {
      const events = 'data: a\n\ndata: b\n\n';
      socket.write(streamHead(req) + chunk(events));
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    await site.start('llm', respond, respond);
    expect(await site.send('fit')).toEqual({
      status: 200,
      body: 'data: a\n\ndata: b\n\n',
      isComplete: false,
    });
  });
});
