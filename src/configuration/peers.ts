import { type CancellationToken } from '../base/cancellation.js';
import { type ConfigurationChanges } from './reader.js';

/** Reply of a peer that was asked for its configuration. */
export interface PeerConfiguration {
  readonly instance: string;
  readonly role: string;
  /** Revision in force at the peer. */
  readonly revision: number;
  /** Absent when the peer has nothing newer. */
  readonly changes: ConfigurationChanges | undefined;
}

/** Another process that holds a copy of the configuration. Calls reject after 1 s. */
export interface ConfigurationPeer {
  readonly address: string;
  /** Newest revision that the peer is known to hold, 0 when none is known. */
  readonly revision: number;
  pull(known: number, token: CancellationToken): Promise<PeerConfiguration>;
  notify(revision: number, token: CancellationToken): Promise<void>;
}

/** Processes that can be asked for the configuration, without this one. */
export interface ConfigurationPeers {
  entries(): readonly ConfigurationPeer[];
  /** Agents hold copies too; they matter when the table and all other entries are gone. */
  agents(): readonly ConfigurationPeer[];
}

/** One process of the system and the revision in force there. */
export interface ConfigurationNode {
  readonly address: string;
  readonly instance: string;
  readonly role: 'entry' | 'agent';
  /** Undefined when the process did not report within the last seconds. */
  readonly revision: number | undefined;
}

/** Where a revision is in force. */
export interface ConfigurationCoverage {
  readonly revision: number;
  readonly inForce: number;
  readonly known: number;
  /** Nodes that are silent or hold an older revision. */
  readonly lagging: readonly ConfigurationNode[];
}

/** Counts the nodes at which the revision, or a newer one, is in force. */
export function measureCoverage(
  revision: number,
  nodes: readonly ConfigurationNode[],
): ConfigurationCoverage {
  const lagging = nodes.filter((node) => (node.revision ?? -1) < revision);
  return { revision, known: nodes.length, inForce: nodes.length - lagging.length, lagging };
}
