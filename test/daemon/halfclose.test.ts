import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

let site: PlatformSite;
let desk: TargetStandin;
let gateway: DaemonProcess;

beforeEach(async () => {
  site = await startPlatformSite();
  desk = await site.startTarget('desk', { id: 'desk-1' });
  gateway = await site.startGateway('gw-1');
});

afterEach(() => site.close());

/** Sends a request that announces the end of its connection. */
function send(): { readonly socket: Socket; readonly ended: Promise<string> } {
  const { port } = new URL(gateway.addresses.callers ?? '');
  const socket = connect({ port: Number(port), host: '127.0.0.1', allowHalfOpen: true });
  let text = '';
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString();
  });
  socket.on('error', () => undefined);
  const ended = new Promise<string>((resolve) => {
    socket.on('end', () => resolve(text));
    socket.on('close', () => resolve(text));
  });
  const lines = ['GET /look/x HTTP/1.1', 'Host: site.test', 'X-Request-Id: r1'];
  lines.push('X-Api-Key: key-a', 'X-Deadline-Ms: 2000', 'Connection: close', '', '');
  socket.write(lines.join('\r\n'));
  return { socket, ended };
}

// A client that closes its connection looks the same until the gateway writes to it.
describe('a caller that closes its sending side', () => {
  it('is taken for one that left while its request runs', async () => {
    desk.behaviour = { ...desk.behaviour, firstByteMs: 1_500 };
    const { socket, ended } = send();
    await until(() => desk.runs.length === 1);
    const closedAt = performance.now();
    socket.end();
    await until(() => desk.runs[0]?.isInterrupted === true);
    expect(performance.now() - closedAt).toBeLessThan(500);
    expect(await ended).toBe('');
    socket.destroy();
  });

  it('still gets a response that is complete', async () => {
    desk.behaviour = { ...desk.behaviour, firstByteMs: 50 };
    const { socket, ended } = send();
    await until(() => socket.bytesRead > 0);
    socket.end();
    expect(await ended).toMatch(/answer of desk-1$/);
  });
});
