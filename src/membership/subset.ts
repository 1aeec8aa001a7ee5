import { type ListedInstance } from '../ports/instances.js';
import { createRendezvousTable, hashText } from '../routing/rendezvous.js';

/**
 * Limit of agents that one entry selects from the platform's list. An agent divides 9,000 B/s of
 * status messages among its subscribers, so with 50 entries each connection costs an entry about
 * 180 B/s, and 96 of them stay within the 18 KB/s of control traffic that a node may use. With
 * fewer entries a connection costs more, up to 640 B/s.
 */
export const maxConnectedAgents = 96;

/** Process that connects to the agents. */
export interface SubsetOwner {
  readonly instance: string;
  readonly dataCentre: string;
}

/**
 * Selects the agents that a process connects to: those of its own data centre first, then others.
 * Rendezvous hashing by the name of the instance distributes the entries evenly over the agents
 * and changes few connections when the list changes.
 */
export function selectSubset(
  agents: readonly ListedInstance[],
  owner: SubsetOwner,
  limit: number = maxConnectedAgents,
): readonly ListedInstance[] {
  if (agents.length <= limit) return agents;
  const key = hashText(owner.instance);
  const rank = (items: readonly ListedInstance[]): readonly ListedInstance[] =>
    createRendezvousTable(items, ({ instance }) => instance).top(key, limit);
  const local = rank(agents.filter(({ dataCentre }) => dataCentre === owner.dataCentre));
  const remote = rank(agents.filter(({ dataCentre }) => dataCentre !== owner.dataCentre));
  return [...local, ...remote].slice(0, limit);
}
