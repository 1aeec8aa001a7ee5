import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { paceReader } from './pacedreader.js';

export interface ServerBounds {
  /** Connections that are open at once; at the bound the oldest without a request is closed. */
  readonly maxConnections: number;
  /** Requests that are read from one connection while earlier ones are answered. */
  readonly maxRequests: number;
  /** Time in milliseconds for the head of a request; checked every 30 s by Node.js. */
  readonly headTimeoutMs: number;
  /** Time in milliseconds for a whole request; 0 for no limit. */
  readonly requestTimeoutMs: number;
}

/**
 * Bounds of the operators' listener. Health checks, a metrics reader and some operators use a few
 * connections, send one request at a time and get its answer within a second.
 */
export const operatorBounds: ServerBounds = {
  maxConnections: 32,
  maxRequests: 1,
  headTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
};

/** Length of the parts in which a read is parsed; a request takes at least 16 bytes. */
const partBytes = 1_024;

interface Connection {
  active: number;
  newest: IncomingMessage | undefined;
}

/** Bounds what those who reach a server can make the process hold. */
export function boundServer(server: Server, bounds: ServerBounds): void {
  const { maxConnections, maxRequests, headTimeoutMs, requestTimeoutMs } = bounds;
  const connections = new Map<Socket, Connection>();
  const proceeds = new WeakMap<Socket, () => void>();
  Object.assign(server, { headersTimeout: headTimeoutMs, requestTimeout: requestTimeoutMs });

  const closeOldestIdle = (): boolean => {
    for (const [socket, { active }] of connections) {
      if (active > 0) continue;
      connections.delete(socket);
      socket.destroy();
      return true;
    }
    return false;
  };

  server.on('connection', (socket) => {
    if (connections.size >= maxConnections && !closeOldestIdle()) {
      socket.destroy();
      return;
    }
    const connection: Connection = { active: 0, newest: undefined };
    connections.set(socket, connection);
    socket.once('close', () => connections.delete(socket));
    const reader = paceReader(socket, {
      mayParse: () => connection.newest?.complete === false || connection.active < maxRequests,
      partBytes: () => partBytes,
      onParsed: () => undefined,
      onUnparsed: () => undefined,
    });
    if (reader) proceeds.set(socket, () => reader.proceed());
  });

  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    const connection = connections.get(req.socket);
    if (!connection) return;
    connection.active += 1;
    connection.newest = req;
    res.once('close', () => {
      connection.active -= 1;
      proceeds.get(req.socket)?.();
    });
  });
}
