import { Code, ConnectError, createClient, type Interceptor } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import { AgentService } from '../../gen/cicadatide/v1/agent_pb.js';
import { PeerService } from '../../gen/cicadatide/v1/peer_pb.js';
import { type PeerConnector } from '../../ports/agents.js';
import { clientCredential } from './credential.js';

/**
 * A connection whose peer does not acknowledge a ping is closed after interval plus timeout (2 s).
 */
const pingIntervalMs = 1_000;

const pingTimeoutMs = 1_000;

type SessionManager = Pick<Http2SessionManager, 'authority' | 'request' | 'notifyResponseByteRead'>;

/**
 * Forwards requests to a session manager and adds an error listener to each session. The manager
 * removes its own listener when a request finds a session that is being destroyed after a ping
 * timeout; without a listener, the error that the session emits afterwards ends the process.
 */
function guardSessions(manager: Http2SessionManager): SessionManager {
  const guarded = new WeakSet<object>();
  return {
    authority: manager.authority,
    async request(method, path, headers, options) {
      const stream = await manager.request(method, path, headers, options);
      const { session } = stream;
      if (session && !guarded.has(session)) {
        guarded.add(session);
        session.on('error', () => undefined);
      }
      return stream;
    },
    notifyResponseByteRead: (stream) => manager.notifyResponseByteRead(stream),
  };
}

/**
 * Creates a connector for HTTP/2 connections to agents and entries with the internal credential.
 */
export function createPeerConnector(credential: string): PeerConnector {
  const openConnection = (address: string) => {
    let isDisposed = false;
    const rejectDisposed: Interceptor = (next) => async (req) => {
      if (isDisposed) throw new ConnectError('the connection is closed', Code.Canceled);
      return next(req);
    };
    const manager = new Http2SessionManager(address, { pingIntervalMs, pingTimeoutMs });
    const transport = createConnectTransport({
      baseUrl: address,
      httpVersion: '2',
      sessionManager: guardSessions(manager),
      interceptors: [rejectDisposed, clientCredential(credential)],
    });
    const dispose = (): void => {
      isDisposed = true;
      manager.abort();
    };
    return { manager, transport, dispose };
  };

  return {
    agent(address) {
      const { manager, transport, dispose } = openConnection(address);
      return {
        address,
        client: createClient(AgentService, transport),
        reset: (reason) => manager.abort(new Error(reason)),
        dispose,
      };
    },
    entry(address) {
      const { manager, transport, dispose } = openConnection(address);
      return {
        address,
        client: createClient(PeerService, transport),
        reset: (reason) => manager.abort(new Error(reason)),
        dispose,
      };
    },
  };
}
