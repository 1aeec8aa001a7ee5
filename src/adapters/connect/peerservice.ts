import { type ConnectRouter, type ServiceImpl } from '@connectrpc/connect';
import { PeerService } from '../../gen/cicadatide/v1/peer_pb.js';

/** Methods of the peer service; features provide their own and absent ones are refused. */
export type PeerServiceParts = Partial<ServiceImpl<typeof PeerService>>;

/** Registers the peer service of an entry. */
export function peerRoutes(parts: PeerServiceParts): (router: ConnectRouter) => void {
  return (router) => {
    router.service(PeerService, parts);
  };
}
