import {
  type ConnectedPeers,
  createConnectedPeers,
} from '../adapters/connect/configurationpeers.js';
import {
  type ConfigurationMethods,
  createConfigurationMethods,
} from '../adapters/connect/peerservice.js';
import { type Clock } from '../base/clock.js';
import { type DisposableStore } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type ConfigurationNode } from '../configuration/peers.js';
import { createConfigurationReader } from '../configuration/reader.js';
import { type ConfigurationReplica } from '../configuration/replica.js';
import { type ConfigurationStore, createConfigurationStore } from '../configuration/store.js';
import { type ConfigurationUpdater, createConfigurationUpdater } from '../configuration/sync.js';
import { type AgentDirectory } from '../membership/directory.js';
import { type PeerConnector } from '../ports/agents.js';
import { type InstancesPort } from '../ports/instances.js';
import { type TablePort } from '../ports/table.js';
import { type Settings } from './settings/schema.js';

/** Configuration of one process: replica, its updates, and for entries the store. */
export interface ProcessConfiguration {
  readonly replica: ConfigurationReplica;
  readonly updater: ConfigurationUpdater;
  /** Absent without a table; changes can't be submitted then. */
  readonly store: ConfigurationStore | undefined;
  readonly peers: ConnectedPeers;
  /** Part of the peer service to register at the internal listener. */
  readonly part: ConfigurationMethods;
  /** True when the process must have a configuration before it is ready. */
  readonly required: boolean;
  /** Every known process, this one included, with the revision in force there. */
  nodes(): readonly ConfigurationNode[];
}

export interface ProcessConfigurationOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly replica: ConfigurationReplica;
  readonly connector: PeerConnector;
  readonly table: TablePort | undefined;
  readonly instances: InstancesPort | undefined;
  /** Known agents; agents themselves know none. */
  readonly directory: AgentDirectory | undefined;
}

/** Age at which the status of an agent no longer tells which revision is in force there. */
const statusAgeMs = 10_000;

/** Starts to keep the replica up to date until the resources are disposed. */
export function startConfiguration(
  options: ProcessConfigurationOptions,
  resources: DisposableStore,
): ProcessConfiguration {
  const { settings, clock, random, log, replica, connector, table, instances } = options;
  const { role, instance } = settings.process;

  const agentNodes = (): readonly ConfigurationNode[] =>
    (options.directory?.all() ?? []).map(({ address, status, ageMs }) => ({
      address,
      instance: status?.instance ?? '',
      role: 'agent',
      revision: status && ageMs <= statusAgeMs ? Number(status.configurationRevision) : undefined,
    }));

  const peers = resources.add(
    createConnectedPeers({
      clock,
      random,
      log,
      connector,
      staticEntries: settings.peers.entries,
      instances,
      self: instance,
      agents: () => agentNodes().map(({ address, revision = 0 }) => ({ address, revision })),
    }),
  );
  const required = role === 'entry' || settings.peers.entries.length > 0 || instances !== undefined;
  const reader = table && createConfigurationReader(table);
  const updater = resources.add(
    createConfigurationUpdater({ clock, random, log, replica, reader, peers, required }),
  );
  const onRevisionPublished = (revision: number): void => updater.observeRevision(revision);
  return {
    replica,
    updater,
    required,
    peers,
    store: table && createConfigurationStore({ clock, random, log, table, replica }),
    part: createConfigurationMethods({
      replica,
      instance,
      role,
      onRevisionPublished: onRevisionPublished,
    }),
    nodes: () => [
      { address: 'self', instance, role, revision: replica.ready ? replica.revision : undefined },
      ...peers.nodes(),
      ...agentNodes(),
    ],
  };
}
