import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';

/**
 * Fault of a request: rejected with a 4xx status, connection closed before or after the request
 * took effect, status 500 after it took effect, or no response to it.
 */
export type HttpFault = 'none' | 'reject' | 'dropBefore' | 'dropAfter' | 'error' | 'silent';

/** Stand-in HTTP server with fault injection. */
export interface FaultyHttpServer {
  readonly url: string;
  readonly counts: { connections(): number; requests(): number };
  fault: HttpFault;
  /** Whether the fault applies to a request; it applies to all requests when absent. */
  appliesTo?: (req: IncomingMessage) => boolean;
  latencyMs: number;
  /** Stops all responses on the open connections; new connections work. */
  freezeConnections(): void;
  /** Closes all connections and refuses new ones until `resume`. */
  stop(): Promise<void>;
  resume(): Promise<void>;
}

/** Response of a stand-in; `body` is sent unchanged. */
export interface HttpResponse {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

type FaultState = Pick<FaultyHttpServer, 'fault' | 'appliesTo' | 'latencyMs'>;

export interface FaultyHttpOptions {
  readonly handle: (req: IncomingMessage, body: Buffer) => HttpResponse;
  /** Response to a rejected request. */
  readonly rejection: HttpResponse;
}

function send(res: ServerResponse, response: HttpResponse): void {
  res.writeHead(response.status, { ...response.headers });
  res.end(response.body);
}

export async function startFaultyHttpServer(options: FaultyHttpOptions): Promise<FaultyHttpServer> {
  const sockets = new Set<Socket>();
  let frozen = new Set<Socket>();
  let connections = 0;
  let requests = 0;
  let port = 0;

  const serve = async (state: FaultState, req: IncomingMessage, res: ServerResponse) => {
    requests += 1;
    const parts: Buffer[] = [];
    for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
    const { latencyMs } = state;
    const fault = (state.appliesTo?.(req) ?? true) ? state.fault : 'none';
    if (latencyMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, latencyMs);
      });
    }
    if (fault === 'silent' || frozen.has(req.socket)) return;
    if (fault === 'reject') send(res, options.rejection);
    if (fault === 'dropBefore') req.socket.destroy();
    if (fault === 'reject' || fault === 'dropBefore') return;
    const response = options.handle(req, Buffer.concat(parts));
    if (fault === 'dropAfter') req.socket.destroy();
    else send(res, fault === 'error' ? { status: 500, body: '{}' } : response);
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
