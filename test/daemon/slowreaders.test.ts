import { rmSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { bundleGateway, type GatewayChild, spawnGateway } from '../standins/platform/process.js';
import {
  configuration,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';

/** Together more than the buffers of a connection take, each less than the gateway holds back. */
const answerCount = 40;

const answerBytes = 250_000;

/** Does not occur in heads. */
const bodyByte = 1;

let bundle: string;
let site: PlatformSite;
let gateway: GatewayChild;
let target: Server;

beforeAll(() => {
  bundle = bundleGateway();
});

afterAll(() => rmSync(bundle));

beforeEach(async () => {
  site = await startPlatformSite();
  target = createServer((req, res) => {
    req.resume();
    res.setHeader('X-Request-Id', String(req.headers['x-request-id']));
    res.setHeader('X-Server-Stamp', 'stamp');
    res.end(Buffer.alloc(answerBytes, bodyByte));
  });
  await new Promise<void>((resolve) => {
    target.listen(0, '127.0.0.1', resolve);
  });
  site.store.put('servers', 'desk-1', {
    service: 'desk',
    addr: `127.0.0.1:${(target.address() as AddressInfo).port}`,
    zone: 'north',
    version: 'v1',
    slots: 100,
    state: 'ready',
    coldLeftMs: 0,
    seq: 1,
    born: 1_700_000_000_000,
  });
  gateway = spawnGateway({ bundle, storePort: site.store.port });
  await gateway.logged('gateway started');
  await gateway.logged('target added');
});

afterEach(async () => {
  await gateway.close();
  target.closeAllConnections();
  target.close();
  await site.close();
});

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const requestText = (id: string): string =>
  [
    'GET /look/x HTTP/1.1',
    'Host: site.test',
    `X-Request-Id: ${id}`,
    'X-Deadline-Ms: 10000',
    'X-Api-Key: key-a',
    '',
    '',
  ].join('\r\n');

/** Sends requests on one connection and does not read their answers yet. */
function sendWithoutReading(): Socket {
  const socket = connect(gateway.callersPort(), '127.0.0.1');
  socket.pause();
  socket.on('error', () => undefined);
  for (let index = 0; index < answerCount; index += 1) socket.write(requestText(`r${index}`));
  return socket;
}

/** Reads to the end of the connection and returns the number of bytes in bodies. */
function readBodies(socket: Socket): Promise<number> {
  return new Promise((resolve) => {
    let count = 0;
    socket.on('data', (bytes: Buffer) => {
      for (const byte of bytes) if (byte === bodyByte) count += 1;
    });
    socket.on('close', () => resolve(count));
    socket.resume();
  });
}

const wholeBytes = answerCount * answerBytes;

describe('a caller that has not read its answers', () => {
  it('gets them whole when the process is stopped before it reads them', async () => {
    const socket = sendWithoutReading();
    await pause(1_000);
    gateway.signal('SIGTERM');
    await pause(1_000);
    expect(await readBodies(socket)).toBe(wholeBytes);
    expect(await gateway.exited()).toMatchObject({ code: 0 });
  });

  it('does not keep the process beyond its grace', async () => {
    const socket = sendWithoutReading();
    await pause(1_000);
    const signalledAt = performance.now();
    gateway.signal('SIGTERM');
    const { code, at } = await gateway.exited();
    expect(code).toBe(0);
    expect(at - signalledAt).toBeLessThan(4_000);
    const [stopped] = gateway.log.filter(({ msg }) => msg === 'gateway stopped');
    expect(stopped?.['flushing']).toBeGreaterThan(0);
    const ended = gateway.log.filter(({ msg }) => msg === 'request ended');
    expect(ended.length).toBe(answerCount);
    expect(ended.filter(({ outcome }) => outcome === 'broken').length).toBeGreaterThan(0);
    socket.destroy();
  });

  it('keeps its connection beyond the idle timeout while the process runs', async () => {
    const limits = { headerTimeoutMs: 3_000, idleTimeoutMs: 300, maxHeaderBytes: 16_384 };
    const changes = { limits: { ...limits, maxBodyBytes: 65_536 } };
    site.store.put('op', 'config', configuration(2, changes));
    await until(() => gateway.log.some(({ version }) => version === 2));
    const socket = sendWithoutReading();
    await pause(1_500);
    expect(await readBodies(socket)).toBe(wholeBytes);
  });
});
