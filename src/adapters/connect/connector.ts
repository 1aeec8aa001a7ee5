import { Code, ConnectError, createClient, type Interceptor } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import { AgentService } from '../../gen/cicadatide/v1/agent_pb.js';
import { PeerService } from '../../gen/cicadatide/v1/peer_pb.js';
import { type PeerConnector } from '../../ports/agents.js';
import { clientCredential } from './credential.js';

/** A connection that does not answer a ping is closed after interval plus timeout (2 s). */
const pingIntervalMs = 1_000;

const pingTimeoutMs = 1_000;

/** Opens HTTP/2 connections to agents and entries with the internal credential. */
export function createPeerConnector(credential: string): PeerConnector {
  const open = (address: string) => {
    let disposed = false;
    const rejectDisposed: Interceptor = (next) => async (req) => {
      if (disposed) throw new ConnectError('the connection is closed', Code.Canceled);
      return next(req);
    };
    const manager = new Http2SessionManager(address, { pingIntervalMs, pingTimeoutMs });
    const transport = createConnectTransport({
      baseUrl: address,
      httpVersion: '2',
      sessionManager: manager,
      interceptors: [rejectDisposed, clientCredential(credential)],
    });
    const dispose = (): void => {
      disposed = true;
      manager.abort();
    };
    return { manager, transport, dispose };
  };

  return {
    agent(address) {
      const { manager, transport, dispose } = open(address);
      return {
        address,
        client: createClient(AgentService, transport),
        reset: (reason) => manager.abort(new Error(reason)),
        dispose,
      };
    },
    entry(address) {
      const { manager, transport, dispose } = open(address);
      return {
        address,
        client: createClient(PeerService, transport),
        reset: (reason) => manager.abort(new Error(reason)),
        dispose,
      };
    },
  };
}
