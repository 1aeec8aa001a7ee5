import { createServer, type Server, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { systemClock } from '../../src/base/clock.js';
import { createConnections, type ExchangeListener } from '../../src/gateway/exchange.js';

/** Writes the raw response to one request. */
type Script = (socket: Socket) => void;

const servers: Server[] = [];

/** More than the buffers of a connection hold. */
const uploadBytes = 16_000_000;

async function startTarget(scripts: readonly Script[]): Promise<number> {
  let next = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      scripts[next]?.(socket);
      next += 1;
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as { port: number }).port;
}

function exchange(
  connections: ReturnType<typeof createConnections>,
  overrides: Partial<ExchangeListener> = {},
  body?: Buffer,
): Promise<readonly string[]> {
  const received: string[] = [];
  const framing = body ? ['Content-Length', String(body.length)] : [];
  return new Promise((resolve) => {
    connections.start(
      { method: body ? 'POST' : 'GET', path: '/', headers: ['Host', 'target', ...framing], body },
      {
        onHead: (res) => received.push(`head ${res.statusCode}`),
        onData: (chunk) => received.push(`data ${chunk.toString()}`),
        onEnd: () => resolve([...received, 'end']),
        onFailure: (_err, isSent) => resolve([...received, `failure sent=${isSent}`]),
        ...overrides,
      },
    );
  });
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

describe('exchange with a target', () => {
  it('completes a response without a length when its connection ends', async () => {
    const port = await startTarget([(socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole')]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    expect(await exchange(connections)).toEqual(['head 200', 'data whole', 'end']);
  });

  it('fails when the connection of a response without a length is reset', async () => {
    const port = await startTarget([
      (socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
        setTimeout(() => socket.resetAndDestroy(), 30);
      },
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    expect(await exchange(connections)).toEqual(['head 200', 'data half', 'failure sent=true']);
  });

  it('fails when the reset follows immediately after the last bytes', async () => {
    const port = await startTarget([
      (socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy());
      },
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    expect((await exchange(connections)).at(-1)).toBe('failure sent=true');
  });

  // Guards against a part of a response that looks whole (MIXED).
  it('fails when the connection ends before the request was sent', async () => {
    const port = await startTarget([
      (socket) => {
        socket.pause();
        socket.end('HTTP/1.1 200 OK\r\n\r\nhalf');
        setTimeout(() => socket.resetAndDestroy(), 100);
      },
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    const body = Buffer.alloc(uploadBytes);
    expect((await exchange(connections, {}, body)).at(-1)).toBe('failure sent=true');
  });

  it('fails when a response is shorter than its Content-Length', async () => {
    const port = await startTarget([
      (socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'),
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    expect((await exchange(connections)).at(-1)).toBe('failure sent=true');
  });

  it('reports that nothing was sent when the connection is refused', async () => {
    const port = await startTarget([]);
    for (const server of servers.splice(0)) await new Promise((resolve) => server.close(resolve));
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    expect(await exchange(connections)).toEqual(['failure sent=false']);
  });

  it('sends nothing on a connection that was established only after the time limit', async () => {
    let arrived = 0;
    const port = await startTarget([
      () => {
        arrived += 1;
      },
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    const result = exchange(connections);
    await new Promise((resolve) => {
      process.nextTick(resolve);
    });
    // The kernel accepts the connection while this process is late.
    const startedAt = performance.now();
    while (performance.now() - startedAt < 400);
    expect(await result).toEqual(['failure sent=false']);
    await pause(100);
    expect(arrived).toBe(0);
  });

  it('closes an idle connection on which a second response arrives', async () => {
    const first = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none';
    const extra = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra';
    const port = await startTarget([
      (socket) => {
        socket.write(first);
        setTimeout(() => socket.write(extra), 20);
      },
      (socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo'),
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    expect(await exchange(connections)).toEqual(['head 200', 'data one', 'end']);
    await pause(60);
    expect(await exchange(connections)).toEqual(['head 200', 'data two', 'end']);
  });

  it('completes a response when a second one follows in the same packet', async () => {
    const port = await startTarget([
      (socket) =>
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\n\r\nx'),
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    expect(await exchange(connections)).toEqual(['head 200', 'data one', 'end']);
  });

  // Guards against the end of the process: an exception in an event handler is not caught elsewhere.
  it.each(['onHead', 'onData', 'onEnd'] as const)('fails when %s throws', async (handler) => {
    const port = await startTarget([
      (socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none'),
    ]);
    const connections = createConnections(systemClock, { host: '127.0.0.1', port });
    const received = await exchange(connections, {
      [handler]() {
        throw new TypeError('unexpected bytes');
      },
    });
    expect(received.at(-1)).toBe('failure sent=true');
  });
});

// Each request that waits for a silent target tests it; on full days these were half of all new
// connections.
it('shares one probe between the requests that wait for a target', async () => {
  let accepted = 0;
  const server = createServer((socket) => {
    accepted += 1;
    socket.on('error', () => undefined);
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as { port: number };
  const connections = createConnections(systemClock, { host: '127.0.0.1', port });
  expect(connections.sinceReachableMs()).toBe(Infinity);
  const results = await Promise.all([
    connections.probe(),
    connections.probe(),
    connections.probe(),
  ]);
  expect(results).toEqual([true, true, true]);
  expect(connections.sinceReachableMs()).toBeLessThan(1_000);
  await expect.poll(() => accepted).toBe(1);
  connections.dispose();
});
