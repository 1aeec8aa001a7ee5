import { type Client } from '@connectrpc/connect';
import { type Disposable } from '../base/lifecycle.js';
import { type AgentService } from '../gen/cicadatide/v1/agent_pb.js';
import { type PeerService } from '../gen/cicadatide/v1/peer_pb.js';

export type AgentClient = Client<typeof AgentService>;

export type PeerClient = Client<typeof PeerService>;

/** Connection to one process; `reset` closes it, and the next call opens a new one. */
export interface PeerConnection<C> extends Disposable {
  readonly address: string;
  readonly client: C;
  reset(reason: string): void;
}

/** Opens connections to other processes of the system. */
export interface PeerConnector {
  agent(address: string): PeerConnection<AgentClient>;
  entry(address: string): PeerConnection<PeerClient>;
}
