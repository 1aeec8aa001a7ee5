import { type Random } from '../base/random.js';
import { type AgentView } from '../membership/directory.js';
import { type HotPrefixes } from './hotprefix.js';
import { type PrefixGroups } from './prefixgroups.js';
import { createRendezvousTable } from './rendezvous.js';
import { type CompletionRequest } from './request.js';

/** Maximum agents in the first offer round: up to three by prefix, and the least loaded one. */
const maxCandidates = 4;

/** Load added to the queue time of a fully busy target, to compare targets with empty queues. */
const busyWeightMs = 50;

/** Maximum targets per hot prefix; bounds the selection time among hundreds of targets. */
const maxHotPrefixTargets = 64;

/**
 * Returns the name by which an agent is ranked: its target, which stays the same when the agent
 * restarts, or its address before the first status.
 */
export function targetOf(agent: AgentView): string {
  return agent.status?.target ?? agent.address;
}

/**
 * Returns the load of an agent in milliseconds, for comparison with other agents: its expected wait
 * from its status and from the requests that this process has in flight. Infinity without a status.
 */
export function loadOf(agent: AgentView): number {
  const { status, inFlightRequests } = agent;
  if (!status) return Infinity;
  const busy = Math.max(status.running, inFlightRequests) / Math.max(1, status.places);
  return status.queueMs + busyWeightMs * busy;
}

/** Returns the weights version that most agents serve, so that all entries derive the same keys. */
export function mostCommonWeightsVersion(agents: readonly AgentView[]): string {
  const first = agents[0]?.status?.weightsVersion ?? '';
  if (agents.every(({ status }) => status?.weightsVersion === first)) return first;
  const counts = new Map<string, number>();
  for (const { status } of agents) {
    if (status) counts.set(status.weightsVersion, (counts.get(status.weightsVersion) ?? 0) + 1);
  }
  let best = '';
  let bestCount = 0;
  for (const [version, count] of counts) {
    if (count < bestCount || (count === bestCount && version > best)) continue;
    best = version;
    bestCount = count;
  }
  return best;
}

/** Returns the largest of 1, 2, 3, 4, 6, 8, 12, 16, 24, … that is not above the limit, or 0. */
export function largestKeyDepth(limit: number): number {
  if (limit < 1) return 0;
  const power = 2 ** Math.floor(Math.log2(limit));
  return power >= 2 && power * 1.5 <= limit ? power * 1.5 : power;
}

/**
 * Returns the depths in blocks whose hashes are placement keys: all values of
 * {@link largestKeyDepth} up to the prompt length, ascending.
 */
export function keyDepths(blocks: number): readonly number[] {
  const depths: number[] = [];
  for (let depth = largestKeyDepth(blocks); depth > 0; depth = largestKeyDepth(depth - 1))
    depths.push(depth);
  return depths.reverse();
}

/** Agents that receive an offer request. */
export interface Candidates {
  readonly agents: readonly AgentView[];
  /** First agent in the rendezvous order of the prompt's group and all replicas of a hot prompt. */
  readonly preferred: ReadonlySet<AgentView>;
}

/** Selects the agents that receive an offer request. */
export interface CandidateSelector {
  select(req: CompletionRequest, agents: readonly AgentView[]): Candidates;
}

/** Loads of all agents, computed once per selection. */
interface Loads {
  readonly values: Float64Array;
  readonly mean: number;
  /** Index of the least loaded agent, or of a random one among several with that load. */
  readonly leastLoadedIndex: number;
}

function computeLoads(agents: readonly AgentView[], random: Random): Loads {
  const values = new Float64Array(agents.length);
  let total = 0;
  let leastLoadedIndex = 0;
  let ties = 0;
  for (let index = 0; index < agents.length; index += 1) {
    const load = loadOf(agents[index] as AgentView);
    values[index] = load;
    total += load;
    const leastLoad = values[leastLoadedIndex] as number;
    if (load > leastLoad) continue;
    ties = load === leastLoad ? ties + 1 : 1;
    if (load < leastLoad || random.integer(ties) === 0) leastLoadedIndex = index;
  }
  return { values, mean: total / agents.length, leastLoadedIndex };
}

export interface SelectorOptions {
  readonly random: Random;
  readonly hotPrefixes: HotPrefixes;
  readonly prefixGroups: PrefixGroups;
}

/**
 * Selects these agents as candidates; "first" is meant in the rendezvous order of a key:
 *
 * 1. the first agent for the key of the prompt's prefix group
 * 2. the first agent for the next shorter key
 * 3. a random replica, if the prefix of the longest key is hot
 * 4. the first agent for the longest key, if fewer than three agents are selected so far
 * 5. the least loaded agent
 *
 * Only the agent of item 1 and all replicas of the hot prefix are preferred, so that few engines
 * cache a prompt.
 */
export function createCandidateSelector(options: SelectorOptions): CandidateSelector {
  const { random, hotPrefixes, prefixGroups } = options;
  return {
    select(req, agents) {
      if (agents.length <= 1) return { agents, preferred: new Set(agents) };
      const hashes = req.blockHashes(mostCommonWeightsVersion(agents));
      const keys = keyDepths(hashes.length).map((depth) => hashes[depth - 1] as bigint);
      const loads = computeLoads(agents, random);
      const table = createRendezvousTable(agents, targetOf);
      const selected = new Set<AgentView>();
      const preferred = new Set<AgentView>();
      const deepestKey = keys.at(-1);
      if (deepestKey !== undefined) {
        const groupIndex = prefixGroups.assignGroup(keys, agents.length);
        // Shorter prompts with this prefix may have their group at the next shallower key, so the
        // agent of that key is selected too.
        for (const key of [keys[groupIndex], keys[Math.max(0, groupIndex - 1)]]) {
          const [topAgent] = table.top(key as bigint, 1);
          if (!topAgent) continue;
          if (preferred.size === 0) preferred.add(topAgent);
          selected.add(topAgent);
        }
        hotPrefixes.record(deepestKey);
        const targetCount = hotPrefixes.targetCount(
          deepestKey,
          Math.min(agents.length, maxHotPrefixTargets),
        );
        const replicas = targetCount > 1 ? table.top(deepestKey, targetCount) : [];
        for (const agent of replicas) preferred.add(agent);
        const replica = replicas[random.integer(replicas.length)];
        if (replica) selected.add(replica);
        const [deepestAgent] = table.top(deepestKey, 1);
        if (deepestAgent && selected.size < maxCandidates - 1) selected.add(deepestAgent);
      }
      selected.add(agents[loads.leastLoadedIndex] as AgentView);
      // A prompt without a full block has no prefix to share, so random agents are added.
      for (let tries = 0; keys.length === 0 && selected.size < 3 && tries < 4; tries += 1) {
        selected.add(agents[random.integer(agents.length)] as AgentView);
      }
      return { agents: [...selected].slice(0, maxCandidates), preferred };
    },
  };
}
