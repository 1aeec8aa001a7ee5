import { createServer, type Server } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createHttpClient, type HttpClient } from '../../src/base/httpclient.js';

const sockets = new Set<Socket>();
const silenced = new WeakSet<Socket>();
let server: Server;
let httpClient: HttpClient;

beforeEach(async () => {
  sockets.clear();
  server = createServer((req, res) => {
    if (!silenced.has(req.socket)) setTimeout(() => res.end('reply'), 20);
  });
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  httpClient = createHttpClient();
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

it('does not try one silent connection after the other', async () => {
  const { port } = server.address() as AddressInfo;
  const send = (timeoutMs: number) => {
    const address = { host: '127.0.0.1', port };
    return httpClient(
      { call: 'report', address, method: 'GET', path: '/', timeoutMs },
      noCancellation,
    );
  };
  await Promise.all([send(5_000), send(5_000), send(5_000)]);
  for (const socket of sockets) silenced.add(socket);
  await expect(send(50)).rejects.toThrow('request timed out');
  expect((await send(5_000)).status).toBe(200);
});

// Guards against a server that sends bytes without end on a connection that no request uses.
it('closes an idle connection on which bytes arrive', async () => {
  // So that the server itself keeps the connection.
  server.keepAliveTimeout = 60_000;
  const { port } = server.address() as AddressInfo;
  const address = { host: '127.0.0.1', port };
  const call = {
    call: 'cache-events',
    address,
    method: 'GET',
    path: '/',
    timeoutMs: 5_000,
  } as const;
  await httpClient(call, noCancellation);
  const [socket] = sockets;
  const closed = new Promise((resolve) => {
    socket?.once('close', () => resolve('closed'));
    setTimeout(() => resolve('open'), 1_000);
  });
  socket?.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  expect(await closed).toBe('closed');
  expect((await httpClient(call, noCancellation)).body).toBe('reply');
});
