import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  head,
  type RawSite,
  type Respond,
  type Result,
  startRawSite,
} from '../standins/platform/rawsite.js';

let site: RawSite;

beforeEach(async () => {
  site = await startRawSite();
});

afterEach(() => site.close());

/** A target whose first request on each connection is answered and whose later ones get `respond`. */
const afterAnswer =
  (respond: Respond): Respond =>
  (socket, req) => {
    if (req.indexOnConnection > 0) respond(socket, req);
    else socket.write(`${head('200 OK', req, 'Content-Length: 2')}ok`);
  };

describe('a refusal that is not about the request on its connection', () => {
  const refusal = (...headers: string[]): string =>
    ['HTTP/1.1 503 Busy', 'X-Not-Run: 1', ...headers, 'Content-Length: 0', '', ''].join('\r\n');

  it.each<[string, string]>([
    ['without an id', refusal()],
    ['of an earlier request', refusal('X-Request-Id: earlier')],
  ])('%s never tells the caller that its request has not run', async (_name, stale) => {
    const respond = afterAnswer((socket) => socket.write(stale));
    await site.start('desk', respond, respond);
    const results: Result[] = [];
    for (let count = 0; count < 6; count += 1) results.push(await site.send('order'));
    const ids = site.targets.flatMap(({ requests }) => requests.map(({ requestId }) => requestId));
    expect(new Set(ids).size).toBe(ids.length);
    expect(results.map(({ status }) => status)).not.toContain(503);
    expect(results.map(({ status }) => status)).toContain(502);
  });

  it('repeated for the same request after it was sent again does not hide that it ran', async () => {
    let attempts = 0;
    await site.start('desk', (socket, req) => {
      attempts += 1;
      const own = refusal(`X-Request-Id: ${req.requestId}`);
      if (attempts === 1) socket.write(own);
      else if (req.indexOnConnection > 0) socket.write(own);
      else socket.write(`${head('200 OK', req, 'Content-Length: 2')}ok`);
    });
    expect(await site.send('order')).toEqual({ status: 200, body: 'ok', isComplete: true });
    expect(site.targets[0]?.requests.map(({ indexOnConnection }) => indexOnConnection)).toEqual([
      0, 0,
    ]);
  });
});
