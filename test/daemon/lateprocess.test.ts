import { rmSync } from 'node:fs';
import { connect } from 'node:net';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { sendPrompt } from '../standins/platform/caller.js';
import { bundleGateway, type GatewayChild, spawnGateway } from '../standins/platform/process.js';
import {
  configuration,
  model,
  type PlatformSite,
  startPlatformSite,
} from '../standins/platform/site.js';

const graceMs = 4_000;

let bundle: string;
let site: PlatformSite;
let gateway: GatewayChild;

beforeAll(() => {
  bundle = bundleGateway();
});

afterAll(() => rmSync(bundle));

beforeEach(async () => {
  site = await startPlatformSite();
  const routes = configuration(2).routes.map((route) => ({ ...route, timeoutMs: 30_000 }));
  site.store.put('op', 'config', configuration(2, { routes }));
  const target = await site.startTarget('llm', { id: 'llm-1', model });
  target.behaviour = { ...target.behaviour, events: 10_000, gapMs: 10 };
  gateway = spawnGateway({ bundle, storePort: site.store.port, graceMs });
  await gateway.logged('gateway started');
  await gateway.logged('target added');
});

afterEach(async () => {
  await gateway.close();
  await site.close();
});

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const callers = () => ({
  addresses: { callers: `http://127.0.0.1:${gateway.callersPort()}`, operators: '', internal: '' },
});

/** Stops a gateway that has an endless stream; returns the time from the signal to its end. */
async function stopFrozen(frozenMs: number): Promise<number> {
  const answer = sendPrompt(callers(), 'r1', 'reply', 30_000);
  await pause(500);
  gateway.signal('SIGSTOP');
  const signalledAt = performance.now();
  gateway.signal('SIGTERM');
  await pause(frozenMs);
  gateway.signal('SIGCONT');
  const { code, at } = await gateway.exited();
  expect(code).toBe(0);
  await answer;
  return at - signalledAt;
}

describe('a planned stop of a process that is late', () => {
  it('ends within the grace that began when the signal was sent', async () => {
    expect(await stopFrozen(1_500)).toBeLessThan(graceMs);
    const msgs = gateway.log.map(({ msg }) => msg);
    expect(msgs).toContain('request ended');
    expect(msgs.at(-1)).toBe('gateway stopped');
  });

  it('uses most of the grace when the process was late only before the signal', async () => {
    gateway.signal('SIGSTOP');
    await pause(1_500);
    gateway.signal('SIGCONT');
    expect(await stopFrozen(0)).toBeGreaterThan((graceMs * 3) / 4);
  });
});

describe('a planned stop without requests', () => {
  it('does not linger when no connection is open', async () => {
    gateway.signal('SIGTERM');
    await gateway.exited();
    const { tookMs } = await gateway.logged('gateway stopped');
    // The wait for the load balancer and the linger time together.
    expect(tookMs).toBeLessThan(100 + 250);
  });

  it('answers requests on a connection that stays open, and passes none of them on', async () => {
    const socket = connect(gateway.callersPort(), '127.0.0.1');
    let text = '';
    const errors: Error[] = [];
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    socket.on('error', (err) => errors.push(err));
    const ended = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    const stream = sendPrompt(callers(), 'r1', 'reply', 30_000);
    await pause(300);
    // A request that has begun keeps its connection from being closed as idle.
    socket.write('POST /order/x HTTP/1.1\r\nHost: site.test\r\n');
    await pause(100);
    gateway.signal('SIGTERM');
    await gateway.logged('refusing new requests');
    socket.write('X-Request-Id: r2\r\nX-Api-Key: key-a\r\nContent-Length: 4\r\n\r\nbo');
    await pause(100);
    socket.write('dy');
    await ended;
    expect(text).toMatch(/^HTTP\/1\.1 503 /);
    expect(text).toMatch(/^Connection: close\r$/m);
    expect(errors).toEqual([]);
    await stream;
  });
});
