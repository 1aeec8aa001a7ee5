import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { type Clock } from './clock.js';

/** A request of a caller until its response has left the process or its connection is closed. */
export interface ActiveRequest {
  readonly requestId: string;
  /** The response is complete, and bytes of it wait for the caller to read. */
  readonly isFlushing: boolean;
  /** All bytes of the response have left the process. */
  readonly isFlushed: boolean;
  /** Resolves when the response has left the process or the connection is closed. */
  readonly closed: Promise<void>;
  /** Bytes of the response that were passed to the connection. */
  sentBytes(): number;
}

/** Request as it is named in the log. */
export interface ActiveRequestSummary {
  readonly requestId: string;
  readonly ageMs: number;
  readonly sentBytes: number;
}

export interface ActiveRequests {
  readonly size: number;
  /** Number of open connections. */
  readonly connections: number;
  /** Number of requests with `isFlushing`. */
  readonly flushing: number;
  add(requestId: string, req: IncomingMessage, res: ServerResponse): ActiveRequest;
  remove(request: ActiveRequest): void;
  /** True when a request of the connection was read in full and its response has not left the process. */
  isResponding(socket: Socket): boolean;
  /**
   * Closes the connections that have no active request and on which no request has begun. Node's
   * `closeIdleConnections` also closes those whose response is complete but not flushed.
   */
  closeIdleConnections(): void;
  /** The oldest requests that are not flushing. */
  summarize(limit: number): readonly ActiveRequestSummary[];
}

interface Connection {
  active: number;
  /** Bytes that were read until its last request ended. */
  readBytes: number;
}

interface Entry {
  readonly startedAt: number;
  readonly req: IncomingMessage;
  readonly socket: Socket;
}

/** Keeps the active requests and the connections of a server. */
export function createActiveRequests(clock: Clock, server: Server): ActiveRequests {
  const requests = new Map<ActiveRequest, Entry>();
  const connections = new Map<Socket, Connection>();
  server.on('connection', (socket) => {
    connections.set(socket, { active: 0, readBytes: 0 });
    socket.once('close', () => connections.delete(socket));
  });
  return {
    get size() {
      return requests.size;
    },
    get connections() {
      return connections.size;
    },
    get flushing() {
      let count = 0;
      for (const { isFlushing } of requests.keys()) if (isFlushing) count += 1;
      return count;
    },
    add(requestId, req, res) {
      const { socket } = req;
      // `bytesWritten` is undefined once a socket has lost its buffer.
      const passedBytes = (): number => (socket.bytesWritten ?? 0) - socket.writableLength;
      const bytesBefore = passedBytes();
      const request: ActiveRequest = {
        requestId,
        get isFlushing() {
          return res.writableEnded && !res.writableFinished && !res.destroyed;
        },
        get isFlushed() {
          return res.writableFinished;
        },
        // A pipelined response gets its socket late and emits no close event before that.
        closed: new Promise((resolve) => {
          const onClose = (): void => {
            socket.off('close', onClose);
            res.off('close', onClose);
            resolve();
          };
          socket.once('close', onClose);
          res.once('close', onClose);
        }),
        sentBytes: () => Math.max(0, passedBytes() - bytesBefore),
      };
      requests.set(request, { startedAt: clock.now(), req, socket });
      const connection = connections.get(socket);
      if (connection) connection.active += 1;
      return request;
    },
    remove(request) {
      const socket = requests.get(request)?.socket;
      requests.delete(request);
      const connection = socket && connections.get(socket);
      if (!connection) return;
      connection.active -= 1;
      if (connection.active === 0) connection.readBytes = socket.bytesRead;
    },
    isResponding(socket) {
      for (const { req, socket: other } of requests.values())
        if (other === socket && req.complete) return true;
      return false;
    },
    closeIdleConnections() {
      for (const [socket, { active, readBytes }] of connections)
        if (active === 0 && socket.bytesRead === readBytes) socket.destroySoon();
    },
    summarize(limit) {
      const summaries: ActiveRequestSummary[] = [];
      for (const [request, { startedAt }] of requests) {
        if (summaries.length >= limit) break;
        if (request.isFlushing) continue;
        const ageMs = Math.round(clock.now() - startedAt);
        summaries.push({ requestId: request.requestId, ageMs, sentBytes: request.sentBytes() });
      }
      return summaries;
    },
  };
}
