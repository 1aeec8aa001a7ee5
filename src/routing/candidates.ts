import { type Random } from '../base/random.js';
import { type AgentView } from '../membership/directory.js';
import { type HotPrefixes } from './hotprefix.js';
import { type PrefixGroups } from './prefixgroups.js';
import { createRendezvousTable } from './rendezvous.js';
import { type CompletionRequest } from './request.js';

/** Agents asked for one request: up to three by prefix and the least loaded one. */
const maxCandidates = 4;

/** Weight of a fully busy target beside its queue, so that empty queues are told apart. */
const busyWeightMs = 50;

/** Targets of the hottest prefix; bounds the time of a choice among hundreds of targets. */
const maxHotPrefixTargets = 64;

/** Name under which an agent is ranked; it survives a restart of the agent. */
export function targetOf(agent: AgentView): string {
  return agent.status?.target ?? agent.address;
}

/** Expected wait by status and by this process's own requests, in comparable milliseconds. */
export function loadOf(agent: AgentView): number {
  const { status, inflight } = agent;
  if (!status) return Infinity;
  const busy = Math.max(status.running, inflight) / Math.max(1, status.places);
  return status.queueMs + busyWeightMs * busy;
}

/** Weights version that most agents serve, so that all entries derive the same keys. */
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

/** Returns the largest of 1, 2, 3, 4, 6, 8, 12, 16, 24, … that is not above the limit. */
export function largestKeyDepth(limit: number): number {
  if (limit < 1) return 0;
  const power = 2 ** Math.floor(Math.log2(limit));
  return power >= 2 && power * 1.5 <= limit ? power * 1.5 : power;
}

/** Depths in blocks whose hashes are placement keys: all steps up to the length, ascending. */
export function keyDepths(blocks: number): readonly number[] {
  const depths: number[] = [];
  for (let depth = largestKeyDepth(blocks); depth > 0; depth = largestKeyDepth(depth - 1))
    depths.push(depth);
  return depths.reverse();
}

/** Agents that are asked for an offer. */
export interface Candidates {
  readonly agents: readonly AgentView[];
  /** First agent in the order of the prompt's group and copies of a hot prompt. */
  readonly preferred: ReadonlySet<AgentView>;
}

/** Chooses the agents that are asked for an offer. */
export interface CandidateSelector {
  select(req: CompletionRequest, agents: readonly AgentView[]): Candidates;
}

/** Loads of all agents, computed once per request. */
interface Loads {
  readonly values: Float64Array;
  readonly mean: number;
  /** Index of the least loaded agent, a random one of several. */
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
 * Selects candidates by rendezvous hashing of prefix levels: the home of the prompt's group, that of
 * the next shallower level, a copy of a hot prompt, the home of the whole prompt and the least
 * loaded agent. Only the first one and hot copies count as homes, so that a prompt is not kept twice.
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
        // Prompts of other lengths have their group one step away, so that home is asked too.
        for (const key of [keys[groupIndex], keys[Math.max(0, groupIndex - 1)]]) {
          const [preferredAgent] = table.top(key as bigint, 1);
          if (!preferredAgent) continue;
          if (preferred.size === 0) preferred.add(preferredAgent);
          selected.add(preferredAgent);
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
      // A prompt without a full block has no prefix to share, so random agents are compared.
      for (let tries = 0; keys.length === 0 && selected.size < 3 && tries < 4; tries += 1) {
        selected.add(agents[random.integer(agents.length)] as AgentView);
      }
      return { agents: [...selected].slice(0, maxCandidates), preferred };
    },
  };
}
