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

/** Peers that are reached over connect, and what they reported. */
export interface ConnectedPeers extends ConfigurationPeers, Disposable {
  /** Records the revision of an entry that reported it by another way, such as its usage. */
  observe(instance: string, revision: number): void;
  /** Other known entries with the revision that they reported last. */
  nodes(): readonly ConfigurationNode[];
  /** Connections to the other known entries. */
  connections(): readonly PeerConnection<PeerClient>[];
}

export interface ConnectedPeersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly connector: PeerConnector;
  /** Addresses from the settings. */
  readonly staticEntries: readonly string[];
  readonly instances: InstancesPort | undefined;
  readonly self: string;
  /** Agents with the revision of their newest status. */
  readonly agents: () => readonly { readonly address: string; readonly revision: number }[];
}

const callTimeoutMs = 1_000;

const listIntervalMs = 5_000;

/** A revision that was reported longer ago does not count as in force. */
const reportAgeMs = 10_000;

type WireRecord = Omit<ConfigurationRecord, '$typeName' | '$unknown'>;

/** Converts a record for a message; the JSON text carries unknown fields. */
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

interface Known {
  readonly connection: PeerConnection<PeerClient>;
  instance: string;
  revision: number;
  reportedAt: number;
}

export function createConnectedPeers(options: ConnectedPeersOptions): ConnectedPeers {
  const { clock, random, log, connector, staticEntries, instances, self, agents } = options;
  const source = createCancellationSource();
  const known = new Map<string, Known>();
  const selfAddresses = new Set<string>();
  let listed: readonly string[] = [];

  const connect = (address: string): Known => {
    const found = known.get(address);
    if (found) return found;
    const connection = connector.entry(address);
    const item: Known = { connection, instance: '', revision: 0, reportedAt: -Infinity };
    known.set(address, item);
    return item;
  };

  /** Calls the peer; a call without an answer closes the connection, so that the next is new. */
  const call = async <T>(
    address: string,
    run: (
      client: PeerClient,
      callOptions: { timeoutMs: number; signal: AbortSignal },
    ) => Promise<T>,
    token: CancellationToken,
  ): Promise<T> => {
    const { connection } = connect(address);
    try {
      return await run(connection.client, { timeoutMs: callTimeoutMs, signal: token.signal });
    } catch (err) {
      if (ConnectError.from(err).code === Code.DeadlineExceeded) connection.reset('no answer');
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
    const item = connect(address);
    item.instance = reply.instance;
    item.revision = Number(reply.revision);
    item.reportedAt = clock.now();
    const { instance, role } = reply;
    const records = reply.records.map(fromWireRecord);
    const changes = { base: revision, revision: item.revision, records };
    return {
      instance,
      role,
      revision: item.revision,
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
    const addresses = new Set([...staticEntries, ...listed]);
    return [...addresses].filter((address) => !selfAddresses.has(address));
  };

  const readList = async (port: InstancesPort, token: CancellationToken): Promise<void> => {
    for (;;) {
      try {
        const items = await port.list(token);
        const entries = items.filter(({ role, instance }) => role === 'entry' && instance !== self);
        listed = entries.map(({ address }) => address);
      } catch (err) {
        log.warn({ err: errMessage(err) }, 'instance list is not available; keeping known entries');
      }
      await sleep(clock, listIntervalMs * (0.75 + 0.5 * random.next()), token);
    }
  };
  if (instances) readList(instances, source.token).catch(() => undefined);

  return {
    entries: () =>
      entryAddresses().map((address) => toPeer(address, known.get(address)?.revision ?? 0)),
    agents: () => agents().map(({ address, revision }) => toPeer(address, revision)),
    observe(instance, revision) {
      for (const item of known.values()) {
        if (item.instance !== instance) continue;
        item.revision = Math.max(item.revision, revision);
        item.reportedAt = clock.now();
      }
    },
    nodes: () =>
      entryAddresses().map((address) => {
        const item = known.get(address);
        const fresh = item !== undefined && clock.now() - item.reportedAt <= reportAgeMs;
        const revision = fresh ? item.revision : undefined;
        return { address, instance: item?.instance ?? '', role: 'entry', revision };
      }),
    connections: () => entryAddresses().map((address) => connect(address).connection),
    dispose() {
      source.cancel('peers closed');
      for (const { connection } of known.values()) connection.dispose();
      known.clear();
    },
  };
}
