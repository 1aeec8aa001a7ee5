import { type Random } from '../base/random.js';
import { type AgentView } from '../membership/directory.js';
import { type HotPrefixes } from './hotprefix.js';
import { createRendezvousTable } from './rendezvous.js';
import { type CompletionRequest } from './request.js';

/** Agents asked for one request: up to three by prefix and the least loaded one. */
const maxCandidates = 4;

/** Weight of a fully busy target beside its queue, so that empty queues are told apart. */
const busyWeightMs = 50;

/** Targets of the hottest prefix; bounds the time of a choice among hundreds of targets. */
const maxWidth = 64;

/** A target is overloaded when its load is above this multiple of the mean load. */
const overloadFactor = 1.25;

/** Load that never counts as overload, so that an idle site does not spill. */
const overloadSlackMs = 100;

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

/**
 * Depths in blocks whose hashes are placement keys, deepest first. The deepest step below the
 * prompt's length is usually inside the document, the step below it still is when the rest of
 * the prompt is long, and a quarter of the length is inside the levels above the document.
 */
export function keyDepths(blocks: number): readonly number[] {
  const deepest = stepBelow(blocks);
  const next = stepBelow(deepest - 1);
  const upper = stepBelow(Math.floor(blocks / 4));
  return [...new Set([deepest, next, upper])].filter((depth) => depth > 0);
}

/** Agents that are asked for an offer. */
export interface Candidates {
  readonly agents: readonly AgentView[];
  /**
   * The least loaded agent when no key leads to it. Other requests with the same prefix do not
   * ask it, so what it computes is of no use to them.
   */
  readonly spare: AgentView | undefined;
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

/**
 * Selects candidates by rendezvous hashing with bounded load at the key depths. The choice needs
 * no learned state; only a hot prefix widens its set by what this entry sees.
 */
export function createCandidateSelector(random: Random, hot: HotPrefixes): CandidateSelector {
  return {
    select(req, agents) {
      if (agents.length <= 1) return { agents, spare: undefined };
      const hashes = req.blockHashes(commonVersion(agents));
      const keys = keyDepths(hashes.length).map((depth) => hashes[depth - 1] as bigint);
      const loads = measureLoads(agents, random);
      const loadLimit = loads.mean * overloadFactor + overloadSlackMs;
      const accept = (index: number): boolean => (loads.values[index] as number) <= loadLimit;
      const table = createRendezvousTable(agents, targetOf);
      const chosen = new Set<AgentView>();

      for (const key of keys) hot.record(key);
      for (const key of keys) {
        const width = hot.width(key, Math.min(agents.length, maxWidth));
        if (width <= 1) continue;
        const [home, ...others] = table.top(key, width, accept);
        if (home) chosen.add(home);
        const pick = others[random.integer(others.length)];
        if (pick) chosen.add(pick);
        break;
      }
      for (const key of keys) {
        if (chosen.size >= maxCandidates - 1) break;
        const [home] = table.top(key, 1, accept);
        if (home) chosen.add(home);
      }
      if (keys.length > 0 && chosen.size < 2) {
        for (const agent of table.top(keys[0] as bigint, 2, accept)) chosen.add(agent);
      }
      const least = agents[loads.least] as AgentView;
      const spare = keys.length > 0 && chosen.size > 0 && !chosen.has(least) ? least : undefined;
      chosen.add(least);
      // A prompt without a full block has no prefix to share, so two random agents are compared.
      for (let tries = 0; keys.length === 0 && chosen.size < 3 && tries < 4; tries += 1) {
        chosen.add(agents[random.integer(agents.length)] as AgentView);
      }
      return { agents: [...chosen].slice(0, maxCandidates), spare };
    },
  };
}
