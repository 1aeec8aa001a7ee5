import { Code, ConnectError } from '@connectrpc/connect';
import { type CancellationToken, createCancellationSource } from '../../base/cancellation.js';
import { type Clock, sleep } from '../../base/clock.js';
import { errMessage } from '../../base/errors.js';
import { type Disposable } from '../../base/lifecycle.js';
import { type Logger } from '../../base/logging.js';
import { type Random } from '../../base/random.js';
import {
  type ConfigurationNode,
  type ConfigurationPeer,
  type ConfigurationPeers,
  type PeerConfiguration,
} from '../../configuration/peers.js';
import { type StoredRecord } from '../../configuration/records.js';
import { type ConfigurationRecord } from '../../gen/cicadatide/v1/peer_pb.js';
import { type PeerClient, type PeerConnection, type PeerConnector } from '../../ports/agents.js';
import { type InstancesPort } from '../../ports/instances.js';

/** Peers that are called over the Connect protocol, with the revisions that they reported. */
export interface ConnectedPeers extends ConfigurationPeers, Disposable {
  /** Records a revision that an entry reported in another message, such as a usage report. */
  observe(instance: string, revision: number): void;
  /** Other known entries with their last reported revision; undefined when it is too old. */
  nodes(): readonly ConfigurationNode[];
  /** Connections to the other known entries. */
  connections(): readonly PeerConnection<PeerClient>[];
}

export interface ConnectedPeersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly connector: PeerConnector;
  /** Entry addresses from the settings. */
  readonly staticEntries: readonly string[];
  readonly instances: InstancesPort | undefined;
  readonly self: string;
  /** Agents with the revision in their latest status, or 0 without a recent one. */
  readonly agents: () => readonly { readonly address: string; readonly revision: number }[];
}

const callTimeoutMs = 1_000;

const pollIntervalMs = 5_000;

/** A revision that was reported longer ago than this does not count as in force. */
const maxReportAgeMs = 10_000;

type WireRecord = Omit<ConfigurationRecord, '$typeName' | '$unknown'>;

/** Converts a record to its message; the JSON text preserves unknown fields. */
export function toWireRecord(record: StoredRecord): WireRecord {
  return {
    kind: record.kind,
    name: record.name,
    schemaVersion: record.schemaVersion,
    revision: BigInt(record.revision),
    json: JSON.stringify(record.value ?? null),
    deleted: record.deleted,
  };
}

function fromWireRecord(record: WireRecord): StoredRecord {
  const { kind, name, schemaVersion, revision, json, deleted } = record;
  const value: unknown = JSON.parse(json);
  return { kind, name, schemaVersion, revision: Number(revision), value, deleted };
}

interface KnownPeer {
  readonly connection: PeerConnection<PeerClient>;
  instance: string;
  revision: number;
  reportedAt: number;
}

export function createConnectedPeers(options: ConnectedPeersOptions): ConnectedPeers {
  const { clock, random, log, connector, staticEntries, instances, self, agents } = options;
  const source = createCancellationSource();
  const knownPeers = new Map<string, KnownPeer>();
  const selfAddresses = new Set<string>();
  let listedAddresses: readonly string[] = [];

  const getOrCreatePeer = (address: string): KnownPeer => {
    const found = knownPeers.get(address);
    if (found) return found;
    const connection = connector.entry(address);
    const peer: KnownPeer = { connection, instance: '', revision: 0, reportedAt: -Infinity };
    knownPeers.set(address, peer);
    return peer;
  };

  /**
   * Calls the peer; a call that times out closes the connection, so that the next call opens a new
   * one.
   */
  const call = async <T>(
    address: string,
    invoke: (
      client: PeerClient,
      callOptions: { timeoutMs: number; signal: AbortSignal },
    ) => Promise<T>,
    token: CancellationToken,
  ): Promise<T> => {
    const { connection } = getOrCreatePeer(address);
    try {
      return await invoke(connection.client, { timeoutMs: callTimeoutMs, signal: token.signal });
    } catch (err) {
      if (ConnectError.from(err).code === Code.DeadlineExceeded)
        connection.reset('request timed out');
      throw err;
    }
  };

  const pull = async (
    address: string,
    revision: number,
    token: CancellationToken,
  ): Promise<PeerConfiguration> => {
    const request = { knownRevision: BigInt(revision), instance: self };
    const reply = await call(
      address,
      (client, callOptions) => client.getConfiguration(request, callOptions),
      token,
    );
    if (reply.instance === self) selfAddresses.add(address);
    const peer = getOrCreatePeer(address);
    peer.instance = reply.instance;
    peer.revision = Number(reply.revision);
    peer.reportedAt = clock.now();
    const { instance, role } = reply;
    const records = reply.records.map(fromWireRecord);
    const changes = { base: revision, revision: peer.revision, records };
    return {
      instance,
      role,
      revision: peer.revision,
      changes: reply.unchanged ? undefined : changes,
    };
  };

  const toPeer = (address: string, revision: number): ConfigurationPeer => ({
    address,
    revision,
    pull: (knownRevision, token) => pull(address, knownRevision, token),
    async notify(newRevision, token) {
      const request = { revision: BigInt(newRevision) };
      await call(address, (client, opts) => client.notifyConfiguration(request, opts), token);
    },
  });

  const entryAddresses = (): readonly string[] => {
    const addresses = new Set([...staticEntries, ...listedAddresses]);
    return [...addresses].filter((address) => !selfAddresses.has(address));
  };

  const pollInstances = async (port: InstancesPort, token: CancellationToken): Promise<void> => {
    for (;;) {
      try {
        const items = await port.list(token);
        const entries = items.filter(({ role, instance }) => role === 'entry' && instance !== self);
        listedAddresses = entries.map(({ address }) => address);
      } catch (err) {
        log.warn({ err: errMessage(err) }, 'instance list is not available; keeping known entries');
      }
      await sleep(clock, pollIntervalMs * (0.75 + 0.5 * random.next()), token);
    }
  };
  if (instances) pollInstances(instances, source.token).catch(() => undefined);

  return {
    entries: () =>
      entryAddresses().map((address) => toPeer(address, knownPeers.get(address)?.revision ?? 0)),
    agents: () => agents().map(({ address, revision }) => toPeer(address, revision)),
    observe(instance, revision) {
      for (const peer of knownPeers.values()) {
        if (peer.instance !== instance) continue;
        peer.revision = Math.max(peer.revision, revision);
        peer.reportedAt = clock.now();
      }
    },
    nodes: () =>
      entryAddresses().map((address) => {
        const peer = knownPeers.get(address);
        const isFresh = peer !== undefined && clock.now() - peer.reportedAt <= maxReportAgeMs;
        const revision = isFresh ? peer.revision : undefined;
        return { address, instance: peer?.instance ?? '', role: 'entry', revision };
      }),
    connections: () => entryAddresses().map((address) => getOrCreatePeer(address).connection),
    dispose() {
      source.cancel('peers closed');
      for (const { connection } of knownPeers.values()) connection.dispose();
      knownPeers.clear();
    },
  };
}
