import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import { expect, test } from 'vitest';
import { startSilentProxy } from './silentproxy.js';

// Guards against a proxy that closes silenced connections, which clients detect much more easily.
test('silenced connections stay open without data, and new connections work', async () => {
  const server = createServer((socket) => socket.pipe(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const proxy = await startSilentProxy('127.0.0.1', (server.address() as AddressInfo).port);
  const [host, port] = proxy.address.split(':') as [string, string];
  const sockets: Socket[] = [];
  const open = async () => {
    const socket = connect(Number(port), host);
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  };
  const echo = async (socket: Socket, text: string): Promise<string> => {
    socket.write(text);
    const [data] = (await once(socket, 'data')) as [Buffer];
    return data.toString();
  };

  const old = await open();
  expect(await echo(old, 'before')).toBe('before');
  proxy.silence();
  const received: string[] = [];
  old.on('data', (data) => received.push(data.toString()));
  old.write('lost');
  expect(await echo(await open(), 'after')).toBe('after');
  expect(received).toEqual([]);
  expect(old.closed).toBe(false);

  for (const socket of sockets) socket.destroy();
  await proxy.close();
  server.close();
});
