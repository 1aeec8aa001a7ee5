import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';

/**
 * What happens to a request: rejected with a 4xx status, connection closed before or after it
 * took effect, answered with status 500 after it took effect, or no answer on this connection.
 */
export type HttpFault = 'none' | 'reject' | 'dropBefore' | 'dropAfter' | 'error' | 'silent';

/** HTTP stand-in with fault injection. */
export interface FaultyHttp {
  readonly url: string;
  readonly counts: { connections(): number; requests(): number };
  fault: HttpFault;
  /** Requests that the fault applies to; all when absent. */
  affects?: (req: IncomingMessage) => boolean;
  latencyMs: number;
  /** Connections that exist now stop answering; new ones work. */
  freezeConnections(): void;
  /** Refuses connections until `resume`. */
  stop(): Promise<void>;
  resume(): Promise<void>;
}

/** Answer of a stand-in; `body` is sent as it is. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

type FaultState = Pick<FaultyHttp, 'fault' | 'affects' | 'latencyMs'>;

export interface FaultyHttpOptions {
  readonly handle: (req: IncomingMessage, body: Buffer) => HttpAnswer;
  /** Answer to a rejected request. */
  readonly rejection: HttpAnswer;
}

function send(res: ServerResponse, answer: HttpAnswer): void {
  res.writeHead(answer.status, { ...answer.headers });
  res.end(answer.body);
}

export async function startFaultyHttp(options: FaultyHttpOptions): Promise<FaultyHttp> {
  const sockets = new Set<Socket>();
  let frozen = new Set<Socket>();
  let connections = 0;
  let requests = 0;
  let port = 0;

  const serve = async (current: FaultState, req: IncomingMessage, res: ServerResponse) => {
    requests += 1;
    const parts: Buffer[] = [];
    for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
    const { latencyMs } = current;
    const fault = (current.affects?.(req) ?? true) ? current.fault : 'none';
    if (latencyMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, latencyMs);
      });
    }
    if (fault === 'silent' || frozen.has(req.socket)) return;
    if (fault === 'reject') send(res, options.rejection);
    if (fault === 'dropBefore') req.socket.destroy();
    if (fault === 'reject' || fault === 'dropBefore') return;
    const answer = options.handle(req, Buffer.concat(parts));
    if (fault === 'dropAfter') req.socket.destroy();
    else send(res, fault === 'error' ? { status: 500, body: '{}' } : answer);
  };

  const state: FaultState = { fault: 'none', latencyMs: 0 };
  const server = createServer((req, res) => {
    serve(state, req, res).catch(() => req.socket.destroy());
  });
  server.on('connection', (socket) => {
    connections += 1;
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const listen = () =>
    new Promise<void>((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
  await listen();
  port = (server.address() as AddressInfo).port;

  return Object.assign(state, {
    url: `http://127.0.0.1:${port}`,
    counts: { connections: () => connections, requests: () => requests },
    freezeConnections() {
      frozen = new Set(sockets);
    },
    stop: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
    resume: listen,
  });
}
