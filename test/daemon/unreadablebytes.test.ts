import { connect } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

// Guards against a refusal of bytes that are no request in the place of an awaited response.
it('answers a request whole when bytes that are no request follow it', async () => {
  const desk = await site.startTarget('desk', { id: 'desk-1' });
  desk.behaviour = { ...desk.behaviour, firstByteMs: 200 };
  const { addresses } = await site.startGateway('gw-1');
  const { hostname, port } = new URL(addresses.callers as string);
  const socket = connect(Number(port), hostname);
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString();
  });
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  const head = [
    'POST /order/x HTTP/1.1',
    'Host: site.test',
    'X-Request-Id: r1',
    'X-Deadline-Ms: 1500',
    'X-Api-Key: key-a',
    'Content-Length: 2',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n{}`);
  await until(() => desk.runs.length === 1);
  socket.write('\0\0 these bytes are no request\r\n\r\n');
  await closed;
  expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*answer of desk-1/);
  expect(received).not.toContain('400');
});
