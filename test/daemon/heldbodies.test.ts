import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeAll, beforeEach, expect, it } from 'vitest';
import { createGatewayProcess, type GatewayProcess } from '../soak/process.js';
import {
  configuration,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';

const bundle = 'target/heldbodies/gateway.mjs';

/** Options of deploy/system.toml. */
const nodeOptions = ['--max-old-space-size=96', '--max-semi-space-size=4'];

/** The smallest machine has 200 MB. */
const maxMemory = 200_000_000;

/** The `maxBodyBytes` of the users' sites. */
const maxBodyBytes = 4_194_304;

let site: PlatformSite;
let gateway: GatewayProcess;
let folder: string;
const sockets: Socket[] = [];

beforeAll(() => {
  execFileSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${bundle}`]);
});

beforeEach(async () => {
  site = await startPlatformSite();
  const { limits } = configuration(1);
  site.store.put('op', 'config', configuration(2, { limits: { ...limits, maxBodyBytes } }));
  await site.startTarget('desk', { id: 'desk-1' });
  folder = mkdtempSync(join(tmpdir(), 'cicadatide-bodies-'));
  gateway = createGatewayProcess({
    name: 'gw-1',
    folder,
    bundle,
    port: 31_000 + (process.pid % 300) * 3,
    storePort: site.store.port,
    nodeOptions,
  });
  gateway.start();
  await until(() =>
    fetch(`http://127.0.0.1:${gateway.readyPort}/ready`)
      .then((res) => res.status === 200)
      .catch(() => false),
  );
});

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  await gateway.stop();
  await site.close();
  rmSync(folder, { recursive: true, force: true });
});

interface Sender {
  /** First bytes of the response, once there are some. */
  response: string;
  readonly socket: Socket;
}

/** Sends the head of a request in chunks and `parts` of its body, which it doesn't end. */
function startSending(requestId: string, part: Buffer, parts: number): Sender {
  const socket = connect(gateway.callersPort, '127.0.0.1');
  sockets.push(socket);
  const sender: Sender = { response: '', socket };
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    sender.response += bytes.toString('latin1');
  });
  const head = [
    'POST /look/x HTTP/1.1',
    'Host: site.test',
    `X-Request-Id: ${requestId}`,
    'X-Api-Key: key-a',
    'X-Deadline-Ms: 20000',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  for (let sent = 0; sent < parts; sent += 1) socket.write(part);
  return sender;
}

const finish = ({ socket }: Sender): boolean => socket.write('0\r\n\r\n');

async function expectServed(): Promise<void> {
  const sender = startSending('sound', Buffer.from('2\r\nok\r\n'), 1);
  finish(sender);
  await until(() => sender.response !== '' || !gateway.isRunning);
  expect(sender.response.slice(0, 12)).toBe('HTTP/1.1 200');
}

const toChunk = (bytes: number): Buffer =>
  Buffer.concat([
    Buffer.from(`${bytes.toString(16)}\r\n`),
    Buffer.alloc(bytes, 'a'),
    Buffer.from('\r\n'),
  ]);

// Guards against callers whose bodies together fill the memory of the process.
it('refuses bodies that don’t fit into the memory of all bodies, and serves other callers', async () => {
  const senders = Array.from({ length: 60 }, (_, index) =>
    startSending(`big-${index}`, toChunk(65_536), 60),
  );
  await until(
    () =>
      !gateway.isRunning ||
      senders.every(({ response, socket }) => response !== '' || socket.writableLength === 0),
  );
  const lastWords = gateway.tail().find((line) => line.startsWith('FATAL'));
  expect(gateway.isRunning, lastWords).toBe(true);
  expect(gateway.peakMemory()).toBeLessThan(maxMemory);
  await until(() => senders.filter(({ response }) => response !== '').length >= 50);
  for (const { response } of senders.filter((sender) => sender.response !== ''))
    expect(response).toMatch(/^HTTP\/1.1 503 [\s\S]*retry-after/i);
  await expectServed();
  expect(gateway.peakMemory()).toBeLessThan(maxMemory);
});

it('holds bodies of one-byte chunks in memory of about their length', async () => {
  const part = Buffer.from('1\r\na\r\n'.repeat(65_536));
  const senders = Array.from({ length: 2 }, (_, index) => startSending(`tiny-${index}`, part, 10));
  await until(
    () => senders.every(({ socket }) => socket.writableLength === 0) || !gateway.isRunning,
  );
  for (const sender of senders) finish(sender);
  await until(() => senders.every(({ response }) => response !== '') || !gateway.isRunning);
  const lastWords = gateway.tail().find((line) => line.startsWith('FATAL'));
  expect(gateway.isRunning, lastWords).toBe(true);
  await expectServed();
  expect(gateway.peakMemory()).toBeLessThan(maxMemory);
});
