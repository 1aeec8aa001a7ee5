import { Code, ConnectError, type ConnectRouter, type ServiceImpl } from '@connectrpc/connect';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { PeerService } from '../../gen/cicadatide/v1/peer_pb.js';
import { toWireRecord } from './configurationpeers.js';

type Peer = ServiceImpl<typeof PeerService>;

/** Part of the peer service that exchanges the configuration. */
export type ConfigurationPart = Pick<Peer, 'getConfiguration' | 'notifyConfiguration'>;

/** Part of the peer service that exchanges the usage of teams. */
export type UsagePart = Pick<Peer, 'reportUsage'>;

export interface ConfigurationPartOptions {
  readonly replica: ConfigurationReplica;
  readonly instance: string;
  readonly role: 'entry' | 'agent';
  /** Called with the revision that a peer announced. */
  readonly onNotice: (revision: number) => void;
}

/** Serves this process's replica to peers: the records that changed after their revision. */
export function createConfigurationPart(options: ConfigurationPartOptions): ConfigurationPart {
  const { replica, instance, role, onNotice } = options;
  return {
    getConfiguration(req) {
      if (!replica.ready) throw new ConnectError('no configuration yet', Code.Unavailable);
      const { revision, records } = replica.snapshot();
      const reply = { revision: BigInt(revision), instance, role };
      const known = Number(req.knownRevision);
      if (known >= revision) return { ...reply, unchanged: true };
      const changed = records.filter((record) => record.revision > known);
      return { ...reply, records: changed.map(toWireRecord) };
    },
    notifyConfiguration(req) {
      onNotice(Number(req.revision));
      return {};
    },
  };
}

/** Registers the parts of the peer service that this process offers. */
export function peerRoutes(...parts: readonly Partial<Peer>[]): (router: ConnectRouter) => void {
  return (router) => {
    router.service(PeerService, Object.assign({}, ...parts) as Partial<Peer>);
  };
}
