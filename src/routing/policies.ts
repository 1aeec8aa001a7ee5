import { type CancellationToken } from '../base/cancellation.js';
import { type Random } from '../base/random.js';
import { type RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentView } from '../membership/directory.js';
import { mostCommonWeightsVersion, targetOf } from './candidates.js';
import { createRendezvousTable } from './rendezvous.js';
import { type CompletionRequest } from './request.js';

/** Target that a policy chose for one attempt. */
export interface Choice {
  readonly kind: 'chosen';
  readonly agent: AgentView;
  /** Reservation of the agent, or an empty string. */
  readonly reservationId: string;
  /** Incarnation and weights that the attempt is bound to. */
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Expected time from dispatch to the first token; 0 when it is not known. */
  readonly expectedFirstTokenMs: number;
  readonly cachedTokens: number;
  /** Slow target that is due for a probe; the request itself does not go there. */
  readonly probe?: AgentView | undefined;
}

/** No agent accepts the request now. */
export interface PlacementRefusal {
  readonly kind: 'refused';
  /** Reasons of the agents that were asked; empty when none answered. */
  readonly reasons: readonly RefusalReason[];
  /** Least wait that an agent asked for. */
  readonly retryAfterMs: number | undefined;
}

/** Result of a placement. */
export type Placement = Choice | PlacementRefusal;

/** What kind of attempt is placed. */
export type AttemptPurpose = 'first' | 'retry' | 'hedge' | 'probe';

/** Chooses the target of one attempt among the agents that serve its model. */
export interface PlacementPolicy {
  choose(
    req: CompletionRequest,
    agents: readonly AgentView[],
    token: CancellationToken,
    purpose?: AttemptPurpose,
  ): Promise<Placement>;
}

/** Names of the policies that settings and measurements accept. */
export const policyNames = ['roundRobin', 'leastLoaded', 'prefixHash', 'cicadatide'] as const;

/** One of the {@link policyNames}. */
export type PolicyName = (typeof policyNames)[number];

/** Choice by status alone, without an offer. */
export function chooseByStatus(agent: AgentView | undefined): Placement {
  if (!agent) return { kind: 'refused', reasons: [], retryAfterMs: undefined };
  return {
    kind: 'chosen',
    agent,
    reservationId: '',
    incarnation: agent.status?.incarnation ?? '',
    weightsVersion: agent.status?.weightsVersion ?? '',
    expectedFirstTokenMs: 0,
    cachedTokens: 0,
  };
}

/** Takes the targets in turn. */
export function createRoundRobinPolicy(): PlacementPolicy {
  let next = 0;
  return {
    async choose(_req, agents) {
      const sorted = [...agents].sort((a, b) => (targetOf(a) < targetOf(b) ? -1 : 1));
      const agent = sorted[next % Math.max(1, sorted.length)];
      next += 1;
      return chooseByStatus(agent);
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
      return chooseByStatus(best);
    },
  };
}

/** Rendezvous hash of the first prompt block. */
export function createPrefixHashPolicy(): PlacementPolicy {
  return {
    async choose(req, agents) {
      const first = req.blockHashes(mostCommonWeightsVersion(agents))[0] ?? 0n;
      return chooseByStatus(createRendezvousTable(agents, targetOf).top(first, 1)[0]);
    },
  };
}
