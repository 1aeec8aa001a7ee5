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
const maxWidth = 64;

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
export function commonVersion(agents: readonly AgentView[]): string {
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
export function stepBelow(limit: number): number {
  if (limit < 1) return 0;
  const power = 2 ** Math.floor(Math.log2(limit));
  return power >= 2 && power * 1.5 <= limit ? power * 1.5 : power;
}

/** Depths in blocks whose hashes are placement keys: all steps up to the length, ascending. */
export function keyDepths(blocks: number): readonly number[] {
  const depths: number[] = [];
  for (let depth = stepBelow(blocks); depth > 0; depth = stepBelow(depth - 1)) depths.push(depth);
  return depths.reverse();
}

/** Agents that are asked for an offer. */
export interface Candidates {
  readonly agents: readonly AgentView[];
  /** First agent in the order of the prompt's group and copies of a hot prompt. */
  readonly homes: ReadonlySet<AgentView>;
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
  readonly least: number;
}

function measureLoads(agents: readonly AgentView[], random: Random): Loads {
  const values = new Float64Array(agents.length);
  let total = 0;
  let least = 0;
  let ties = 0;
  for (let index = 0; index < agents.length; index += 1) {
    const load = loadOf(agents[index] as AgentView);
    values[index] = load;
    total += load;
    const leastLoad = values[least] as number;
    if (load > leastLoad) continue;
    ties = load === leastLoad ? ties + 1 : 1;
    if (load < leastLoad || random.integer(ties) === 0) least = index;
  }
  return { values, mean: total / agents.length, least };
}

export interface SelectorOptions {
  readonly random: Random;
  readonly hot: HotPrefixes;
  readonly groups: PrefixGroups;
}

/**
 * Selects candidates by rendezvous hashing of prefix levels: the home of the prompt's group, that of
 * the next shallower level, a copy of a hot prompt, the home of the whole prompt and the least
 * loaded agent. Only the first one and hot copies count as homes, so that a prompt is not kept twice.
 */
export function createCandidateSelector(options: SelectorOptions): CandidateSelector {
  const { random, hot, groups } = options;
  return {
    select(req, agents) {
      if (agents.length <= 1) return { agents, homes: new Set(agents) };
      const hashes = req.blockHashes(commonVersion(agents));
      const keys = keyDepths(hashes.length).map((depth) => hashes[depth - 1] as bigint);
      const loads = measureLoads(agents, random);
      const table = createRendezvousTable(agents, targetOf);
      const chosen = new Set<AgentView>();
      const homes = new Set<AgentView>();
      const deepest = keys.at(-1);
      if (deepest !== undefined) {
        const group = groups.place(keys, agents.length);
        // Prompts of other lengths have their group one step away, so that home is asked too.
        for (const key of [keys[group], keys[Math.max(0, group - 1)]]) {
          const [near] = table.top(key as bigint, 1);
          if (!near) continue;
          if (homes.size === 0) homes.add(near);
          chosen.add(near);
        }
        hot.record(deepest);
        const width = hot.width(deepest, Math.min(agents.length, maxWidth));
        const copies = width > 1 ? table.top(deepest, width) : [];
        for (const agent of copies) homes.add(agent);
        const copy = copies[random.integer(copies.length)];
        if (copy) chosen.add(copy);
        const [whole] = table.top(deepest, 1);
        if (whole && chosen.size < maxCandidates - 1) chosen.add(whole);
      }
      chosen.add(agents[loads.least] as AgentView);
      // A prompt without a full block has no prefix to share, so random agents are compared.
      for (let tries = 0; keys.length === 0 && chosen.size < 3 && tries < 4; tries += 1) {
        chosen.add(agents[random.integer(agents.length)] as AgentView);
      }
      return { agents: [...chosen].slice(0, maxCandidates), homes };
    },
  };
}
