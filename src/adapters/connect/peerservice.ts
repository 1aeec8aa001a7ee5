import { Code, ConnectError, type ConnectRouter, type ServiceImpl } from '@connectrpc/connect';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { PeerService } from '../../gen/cicadatide/v1/peer_pb.js';
import { toWireRecord } from './configurationpeers.js';

type Peer = ServiceImpl<typeof PeerService>;

/** Methods of the peer service that exchange the configuration. */
export type ConfigurationMethods = Pick<Peer, 'getConfiguration' | 'notifyConfiguration'>;

/** Method of the peer service that exchanges the usage of teams. */
export type UsageMethods = Pick<Peer, 'reportUsage'>;

export interface ConfigurationMethodsOptions {
  readonly replica: ConfigurationReplica;
  readonly instance: string;
  readonly role: 'entry' | 'agent';
  /** Called with the revision that a peer published. */
  readonly onRevisionPublished: (revision: number) => void;
}

/**
 * Serves this process's replica to peers: the records that changed after the revision in the
 * request.
 */
export function createConfigurationMethods(
  options: ConfigurationMethodsOptions,
): ConfigurationMethods {
  const { replica, instance, role, onRevisionPublished } = options;
  return {
    getConfiguration(req) {
      if (!replica.ready) throw new ConnectError('no configuration yet', Code.Unavailable);
      const { revision, records } = replica.snapshot();
      const reply = { revision: BigInt(revision), instance, role };
      const knownRevision = Number(req.knownRevision);
      if (knownRevision >= revision) return { ...reply, unchanged: true };
      const changed = records.filter((record) => record.revision > knownRevision);
      return { ...reply, records: changed.map(toWireRecord) };
    },
    notifyConfiguration(req) {
      onRevisionPublished(Number(req.revision));
      return {};
    },
  };
}

/** Registers the methods of the peer service that this process implements. */
export function peerRoutes(...methods: readonly Partial<Peer>[]): (router: ConnectRouter) => void {
  return (router) => {
    router.service(PeerService, Object.assign({}, ...methods) as Partial<Peer>);
  };
}
