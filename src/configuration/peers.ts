import { type CancellationToken } from '../base/cancellation.js';
import { type ConfigurationChanges } from './reader.js';

/** Reply of a peer to a request for its configuration. */
export interface PeerConfiguration {
  readonly instance: string;
  readonly role: string;
  /** Revision in force at the peer. */
  readonly revision: number;
  /** Absent when the peer has no newer revision. */
  readonly changes: ConfigurationChanges | undefined;
}

/** Another process with a copy of the configuration. Calls time out after 1 s. */
export interface ConfigurationPeer {
  readonly address: string;
  /** Newest revision that the peer is known to have, 0 when none is known. */
  readonly revision: number;
  pull(knownRevision: number, token: CancellationToken): Promise<PeerConfiguration>;
  notify(revision: number, token: CancellationToken): Promise<void>;
}

/** Other processes from which the configuration can be requested. */
export interface ConfigurationPeers {
  entries(): readonly ConfigurationPeer[];
  /** Agents also have copies, needed when the table and all other entries are unavailable. */
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

/** Processes at which a revision is in force. */
export interface ConfigurationCoverage {
  readonly revision: number;
  readonly inForce: number;
  readonly known: number;
  /** Nodes that did not report or have an older revision. */
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
