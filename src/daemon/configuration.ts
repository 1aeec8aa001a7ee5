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

/** Configuration of one process: the replica, its updater and, for entries, the store. */
export interface ProcessConfiguration {
  readonly replica: ConfigurationReplica;
  readonly updater: ConfigurationUpdater;
  /** Undefined without a table; changes can't be submitted then. */
  readonly store: ConfigurationStore | undefined;
  readonly peers: ConnectedPeers;
  /** Methods of the peer service to register at the internal listener. */
  readonly peerServiceMethods: ConfigurationMethods;
  /** True when the process must have a configuration before it is ready. */
  readonly isRequired: boolean;
  /** All known processes, including this one, with the revision that each applies. */
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
  /** Agents to list as nodes; undefined in agents. */
  readonly directory: AgentDirectory | undefined;
}

/** Maximum age of an agent's status from which its current revision can be read. */
const maxStatusAgeMs = 10_000;

/** Starts updating the replica; stops when the resources are disposed. */
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
      revision:
        status && ageMs <= maxStatusAgeMs ? Number(status.configurationRevision) : undefined,
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
  const isRequired =
    role === 'entry' || settings.peers.entries.length > 0 || instances !== undefined;
  const reader = table && createConfigurationReader(table);
  const updater = resources.add(
    createConfigurationUpdater({
      clock,
      random,
      log,
      replica,
      reader,
      peers,
      required: isRequired,
    }),
  );
  const onRevisionPublished = (revision: number): void => updater.observeRevision(revision);
  return {
    replica,
    updater,
    isRequired,
    peers,
    store: table && createConfigurationStore({ clock, random, log, table, replica }),
    peerServiceMethods: createConfigurationMethods({
      replica,
      instance,
      role,
      onRevisionPublished,
    }),
    nodes: () => [
      { address: 'self', instance, role, revision: replica.ready ? replica.revision : undefined },
      ...peers.nodes(),
      ...agentNodes(),
    ],
  };
}
