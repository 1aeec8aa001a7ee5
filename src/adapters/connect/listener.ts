import { createServer, type ServerHttp2Session } from 'node:http2';
import { type AddressInfo } from 'node:net';
import { type ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { type HostPort, toListenError } from '../../base/address.js';
import { serverCredential } from './credential.js';

/** HTTP/2 listener for calls from other processes of the system. */
export interface InternalListener {
  /** Bound address; the port differs from the settings when they specify port 0. */
  readonly address: string;
  /** Stops accepting connections; resolves when all streams have ended or after `destroy`. */
  close(): Promise<void>;
  /** Closes all connections immediately. */
  destroy(): void;
}

const pingIntervalMs = 1_000;

/** Connections that are open at once. The largest site has 340 entries, with one connection each. */
const maxConnections = 1_024;

/**
 * Closes a session whose peer does not acknowledge a ping within one interval, so that streams of a
 * peer that disappeared without closing its connection do not count as readers.
 */
function pingPeer(session: ServerHttp2Session): () => void {
  let isAcknowledged = true;
  const timer = setInterval(() => {
    if (!isAcknowledged) {
      // After a stall of this process, the acknowledgement may be received but not yet processed.
      setImmediate(() => {
        if (!isAcknowledged) session.destroy();
      });
      return;
    }
    isAcknowledged = false;
    if (session.destroyed) return;
    session.ping((err) => {
      isAcknowledged = !err;
    });
  }, pingIntervalMs);
  return () => clearInterval(timer);
}

export async function listenInternal(
  bind: HostPort,
  credential: string,
  routes: (router: ConnectRouter) => void,
): Promise<InternalListener> {
  const handler = connectNodeAdapter({ routes, interceptors: [serverCredential(credential)] });
  const server = createServer({}, handler);
  // The types of the HTTP/2 server leave out this property of a network server.
  Object.assign(server, { maxConnections });
  const sessions = new Set<ServerHttp2Session>();
  server.on('session', (session) => {
    sessions.add(session);
    const stopPings = pingPeer(session);
    session.once('close', () => {
      stopPings();
      sessions.delete(session);
    });
    session.on('error', () => session.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', (err) => reject(toListenError(bind, err)));
    server.listen(bind.port, bind.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `http://${bind.host}:${port}`,
    close() {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      for (const session of sessions) session.close();
      return closed;
    },
    destroy() {
      server.close();
      for (const session of sessions) session.destroy();
    },
  };
}
