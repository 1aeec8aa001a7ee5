import { createServer, type ServerHttp2Session } from 'node:http2';
import { type AddressInfo } from 'node:net';
import { type ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { type HostPort } from '../../base/address.js';
import { serverCredential } from './credential.js';

/** HTTP/2 listener for calls of other processes of the system. */
export interface InternalListener {
  /** Address in use; the port differs from the settings when they ask for port 0. */
  readonly address: string;
  /** Stops accepting connections and waits for open streams until they end or `destroy`. */
  close(): Promise<void>;
  /** Closes all connections at once. */
  destroy(): void;
}

const pingIntervalMs = 1_000;

/**
 * Closes a session whose peer answers no ping for a whole interval, so that the streams of a peer
 * that vanished without closing its connection do not count as readers.
 */
function pingPeer(session: ServerHttp2Session): () => void {
  let isAnswered = true;
  const timer = setInterval(() => {
    if (!isAnswered) {
      // After a stall of this process the answer may be received but not read yet.
      setImmediate(() => {
        if (!isAnswered) session.destroy();
      });
      return;
    }
    isAnswered = false;
    if (session.destroyed) return;
    session.ping((err) => {
      isAnswered = !err;
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
    server.once('error', reject);
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
