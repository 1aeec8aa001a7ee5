import { request } from 'node:http';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { configuration, type PlatformSite, startPlatformSite } from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

/** Grace of the test site's gateways. */
const graceMs = 3_000;

let site: PlatformSite;
let desk: TargetStandin;
let gateway: DaemonProcess;

beforeEach(async () => {
  site = await startPlatformSite();
  const routes = configuration(2).routes.map((route) => ({ ...route, timeoutMs: 30_000 }));
  site.store.put('op', 'config', configuration(2, { routes }));
  desk = await site.startTarget('desk', { id: 'desk-1' });
  gateway = await site.startGateway('gw-1');
});

afterEach(() => site.close());

/** Sends a call that may not be repeated; its body is complete after a while. */
function sendOrder(bodyDelayMs: number): Promise<number | 'no answer'> {
  return new Promise((resolve) => {
    const req = request(`${gateway.addresses.callers}/order/x`, {
      agent: false,
      method: 'POST',
      headers: {
        Host: 'site.test',
        'X-Request-Id': 'r1',
        'X-Deadline-Ms': '30000',
        'X-Api-Key': 'key-a',
        'Content-Length': 2,
      },
    });
    req.on('error', () => resolve('no answer'));
    req.on('response', (res) => {
      res.on('error', () => resolve('no answer'));
      res.on('end', () => resolve(res.statusCode ?? 0));
      res.resume();
    });
    req.write('{');
    setTimeout(() => req.end('}'), bodyDelayMs);
  });
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

describe('a planned stop', () => {
  it('does not pass on a call that could not end within the grace', async () => {
    desk.behaviour = { ...desk.behaviour, firstByteMs: graceMs };
    const answer = sendOrder(graceMs / 2);
    await pause(100);
    await gateway.drain();
    expect(await answer).toBe(503);
    expect(desk.arrivals).toEqual([]);
  });

  it('answers a call that its target has not answered when the grace ends', async () => {
    desk.behaviour = { ...desk.behaviour, firstByteMs: 2 * graceMs };
    const answer = sendOrder(0);
    await pause(100);
    await gateway.drain();
    expect(await answer).toBe(502);
    expect(desk.runs.length).toBe(1);
  });
});

describe('requests that a caller pipelines during a planned stop', () => {
  it('are not passed on after a response that announces the end of the connection', async () => {
    const text = (id: string): string =>
      [
        'GET /look/x HTTP/1.1',
        'Host: site.test',
        `X-Request-Id: ${id}`,
        'X-Deadline-Ms: 2000',
        'X-Api-Key: key-a',
        '',
        '',
      ].join('\r\n');
    const socket = connect(Number(new URL(gateway.addresses.callers ?? '').port), '127.0.0.1');
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    let answers = '';
    socket.on('data', (bytes: Buffer) => {
      answers += bytes.toString();
    });
    await pause(50);
    const stopped = gateway.drain();
    socket.write(text('p1') + text('p2'));
    await stopped;
    expect(answers.match(/^X-Request-Id: \w+/gim)).toEqual(['X-Request-Id: p1']);
    expect(desk.arrivals.map(({ requestId }) => requestId)).toEqual(['p1']);
  });
});
