import { type CancellationToken } from '../base/cancellation.js';
import { type Random } from '../base/random.js';
import { type AgentView } from '../membership/directory.js';
import { rankByRendezvous } from './rendezvous.js';
import { type CompletionRequest } from './request.js';

/** Target that a policy chose for one attempt. */
export interface Choice {
  readonly agent: AgentView;
  /** Reservation of the agent, or an empty string. */
  readonly reservationId: string;
  readonly expectedFirstTokenMs: number;
  readonly cachedTokens: number;
  /** Wait that the agents asked for, when none accepted. */
  readonly retryAfterMs?: number;
}

/** Chooses the target of one attempt among the agents that serve its model. */
export interface PlacementPolicy {
  /** Returns undefined when no agent accepts the request. */
  choose(
    req: CompletionRequest,
    agents: readonly AgentView[],
    token: CancellationToken,
  ): Promise<Choice | undefined>;
}

/** Names of the policies that settings and measurements accept. */
export const policyNames = ['roundRobin', 'leastLoaded', 'prefixHash', 'cicadatide'] as const;

/** One of the {@link policyNames}. */
export type PolicyName = (typeof policyNames)[number];

function withoutReservation(agent: AgentView | undefined): Choice | undefined {
  if (!agent) return undefined;
  return { agent, reservationId: '', expectedFirstTokenMs: 0, cachedTokens: 0 };
}

function targetOf(agent: AgentView): string {
  return agent.status?.target ?? agent.address;
}

/** Takes the targets in turn. */
export function createRoundRobinPolicy(): PlacementPolicy {
  let next = 0;
  return {
    async choose(_req, agents) {
      const sorted = [...agents].sort((a, b) => (targetOf(a) < targetOf(b) ? -1 : 1));
      const agent = sorted[next % Math.max(1, sorted.length)];
      next += 1;
      return withoutReservation(agent);
    },
  };
}

/** Takes the target with the least load by the targets' own, lagged reports. */
export function createLeastLoadedPolicy(random: Random): PlacementPolicy {
  return {
    async choose(_req, agents) {
      let best: AgentView | undefined;
      let ties = 0;
      for (const agent of agents) {
        const load = agent.status?.reportedLoad ?? 0;
        const bestLoad = best?.status?.reportedLoad ?? Number.POSITIVE_INFINITY;
        if (load > bestLoad) continue;
        ties = load === bestLoad ? ties + 1 : 1;
        if (load < bestLoad || random.integer(ties) === 0) best = agent;
      }
      return withoutReservation(best);
    },
  };
}

/** Rendezvous hash of the first prompt block. */
export function createPrefixHashPolicy(): PlacementPolicy {
  return {
    async choose(req, agents) {
      const version = agents[0]?.status?.weightsVersion ?? '';
      const first = req.blockHashes(version)[0] ?? 0n;
      return withoutReservation(rankByRendezvous(first.toString(16), agents, targetOf)[0]);
    },
  };
}
