import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { head } from '../standins/platform/rawsite.js';
import { type RawTarget, startRawTarget } from '../standins/platform/rawtarget.js';
import { isReady, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

/** More than the gateway holds back of a response that is not complete. */
const bodyBytes = 300_000;

const badBytes = 'not a request\r\n\r\n';

let site: PlatformSite;
let target: RawTarget;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(async () => {
  await target.close();
  await site.close();
});

/** Sends a request and bad bytes while it runs; returns all that the caller receives. */
async function exchange(firstPart: string): Promise<string> {
  target = await startRawTarget('desk', (socket, req) => {
    const response = head('200 OK', req, `Content-Length: ${bodyBytes}`) + 'a'.repeat(bodyBytes);
    const sentFirst = firstPart === '' ? 0 : response.length - 10;
    socket.write(response.slice(0, sentFirst));
    setTimeout(() => socket.end(response.slice(sentFirst)), 600);
  });
  site.store.put('servers', 'desk-1', target.registration);
  const gateway = await site.startGateway('gw-1');
  await until(() => isReady(gateway));
  const { port } = new URL(gateway.addresses.callers ?? '');
  const socket = connect(Number(port), '127.0.0.1');
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString('latin1');
  });
  const closed = new Promise((resolve) => {
    socket.on('error', () => undefined);
    socket.on('close', resolve);
  });
  const headers = ['Host: site.test', 'X-Request-Id: r', 'X-Deadline-Ms: 5000', 'X-Api-Key: key-a'];
  socket.write(['GET /look/x HTTP/1.1', ...headers, '', ''].join('\r\n'));
  await until(() => target.requests.length > 0 && received.length >= firstPart.length);
  socket.write(badBytes);
  await closed;
  return received;
}

describe('bytes that are no request, while a request of the same connection runs', () => {
  it.each([
    ['has begun', 'HTTP/1.1 200 OK'],
    ['has not begun', ''],
  ])('put no refusal into or before its response that %s', async (_name, firstPart) => {
    expect(await exchange(firstPart)).not.toContain('HTTP/1.1 400');
  });
});
