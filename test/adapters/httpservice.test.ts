import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createHttpService } from '../../src/adapters/http/service.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { errMessage, TargetRefusedError } from '../../src/base/errors.js';
import { type HeaderList } from '../../src/ports/service.js';
import { startService } from '../standins/service.js';

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

/** Starts a service that writes raw bytes when the head of a request arrives, and reads no further. */
async function startRaw(respond: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      respond(socket);
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function* bodyOf(...parts: readonly Buffer[]): AsyncGenerator<Uint8Array> {
  yield* parts;
}

/** Sends a request and returns the status and the body, or the error. */
async function call(url: string, method: string, headers: HeaderList, ...parts: readonly Buffer[]) {
  const service = createHttpService(url);
  let status = 0;
  let text = '';
  try {
    const req = { method, path: '/x', headers, body: bodyOf(...parts) };
    const res = await service.send(req, noCancellation);
    status = res.status;
    for await (const bytes of res.body) text += Buffer.from(bytes).toString();
    return { status, text };
  } catch (err) {
    const isRefused = err instanceof TargetRefusedError;
    return { status, text, isRefused, err: errMessage(err).slice(0, 'service'.length) };
  } finally {
    service.dispose();
  }
}

const failed = { isRefused: false, err: expect.any(String) as string };

describe('the adapter for services', () => {
  it.each([
    ['GET', [['content-length', '4']], ''],
    ['POST', [['content-length', '4']], 'abcd'],
    ['POST', [], 'abcd'],
    ['DELETE', [], 'abcd'],
  ] satisfies [string, HeaderList, string][])(
    'sends the body as its method allows: %s, %j',
    async (method, headers, received) => {
      const service = await startService();
      const { status, text } = await call(
        service.url,
        method,
        headers,
        Buffer.from('ab'),
        Buffer.from('cd'),
      );
      expect([status, (JSON.parse(text) as { received: string }).received]).toEqual([
        200,
        received,
      ]);
      await service.close();
    },
  );

  it('completes a response without a length when its connection ends', async () => {
    const url = await startRaw((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'));
    expect(await call(url, 'GET', [])).toEqual({ status: 200, text: 'whole' });
  });

  // Guards against a part of a response that looks whole (MIXED).
  it.each<[string, string, (socket: Socket) => void]>([
    [
      'GET',
      'is reset',
      (socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
        setTimeout(() => socket.resetAndDestroy(), 30);
      },
    ],
    [
      'GET',
      'is reset at once',
      (socket) => socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy()),
    ],
    [
      'POST',
      'is reset during the upload',
      (socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
        setTimeout(() => socket.resetAndDestroy(), 30);
      },
    ],
    [
      'POST',
      'ends during the upload',
      (socket) => {
        socket.end('HTTP/1.1 200 OK\r\n\r\nhalf');
        setTimeout(() => socket.resetAndDestroy(), 100);
      },
    ],
  ])('fails when the connection of a response without a length to %s %s', async (...params) => {
    const [method, , respond] = params;
    const url = await startRaw(respond);
    expect(await call(url, method, [], Buffer.alloc(16_000_000))).toMatchObject(failed);
  });

  // Guards against a late second response that is taken for that to the next request.
  it('closes an idle connection on which bytes arrive', async () => {
    let connections = 0;
    const url = await startRaw((socket) => {
      connections += 1;
      socket.resume();
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst');
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'), 20);
    });
    const service = createHttpService(url);
    for (let count = 1; count <= 2; count += 1) {
      const req = { method: 'GET', path: '/x', headers: [], body: bodyOf() };
      const res = await service.send(req, noCancellation);
      let text = '';
      for await (const bytes of res.body) text += Buffer.from(bytes).toString();
      expect([text, connections]).toEqual(['first', count]);
      await new Promise((resolve) => {
        setTimeout(resolve, 60);
      });
    }
    service.dispose();
  });

  // Guards against a response with an invalid status that reaches the caller.
  it.each(['000 Odd', '099 Odd', '101 Odd'])('fails when the status is %s', async (status) => {
    const url = await startRaw((socket) =>
      socket.write(`HTTP/1.1 ${status}\r\nUpgrade: a\r\nContent-Length: 1\r\n\r\na`),
    );
    expect(await call(url, 'GET', [])).toMatchObject({ status: 0, ...failed });
  });

  it('reports that nothing was sent when the connection is refused', async () => {
    const url = await startRaw(() => undefined);
    for (const server of servers.splice(0)) await new Promise((resolve) => server.close(resolve));
    expect(await call(url, 'POST', [], Buffer.from('a'))).toMatchObject({ isRefused: true });
  });
});
