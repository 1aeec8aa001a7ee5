import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { head, type RawSite, type Respond, startRawSite } from '../standins/platform/rawsite.js';

let site: RawSite;

beforeEach(async () => {
  site = await startRawSite();
});

afterEach(() => site.close());

const upgrade = ['Upgrade: a', 'Connection: upgrade'];

const responses: Readonly<Record<string, Respond>> = {
  '000': (socket, req) => socket.write(`${head('000 Odd', req, 'Content-Length: 1')}a`),
  '099': (socket, req) => socket.write(`${head('099 Odd', req, 'Content-Length: 1')}a`),
  '101 with Upgrade': (socket, req) => socket.write(head('101 Odd', req, ...upgrade)),
  '101': (socket, req) => socket.write(head('101 Odd', req)),
  '200 and a malformed header': (socket, req) =>
    socket.write(`${head('200 OK', req, 'Cache Control: no-store', 'Content-Length: 1')}a`),
  '500 and a malformed header': (socket, req) =>
    socket.write(`${head('500 Odd', req, 'Cache Control: no-store', 'Content-Length: 1')}a`),
};

// Guards against requests that end at their deadline, or with a closed connection.
describe.each(Object.keys(responses))('a target that responds with status %s', (name) => {
  const respond = responses[name] as Respond;

  it.each([
    ['desk', 'order'],
    ['llm', 'fit'],
  ])('fails the request at once (%s, %s)', async (service, route) => {
    await site.start(service, respond);
    const sentAt = performance.now();
    const { status, isComplete } = await site.send(route);
    expect([status, isComplete]).toEqual([502, true]);
    expect(performance.now() - sentAt).toBeLessThan(1_000);
  });

  it('makes a safe request go to another target', async () => {
    const respondWell: Respond = (socket, req) =>
      socket.write(`${head('200 OK', req, 'Content-Length: 2')}ok`);
    await site.start('desk', respond, respondWell);
    for (let count = 0; count < 4; count += 1)
      expect(await site.send('look')).toEqual({ status: 200, body: 'ok', isComplete: true });
  });
});
