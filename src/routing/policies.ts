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
  /** Reservation at the agent, or an empty string. */
  readonly reservationId: string;
  /** Incarnation and weights that the attempt is bound to. */
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Expected time from dispatch to the first token; 0 when unknown. */
  readonly expectedFirstTokenMs: number;
  readonly cachedTokens: number;
  /** Agent of a slow target that is due for a probe; the request itself is not sent there. */
  readonly probe?: AgentView | undefined;
}

/** Result of a placement when no agent accepts the request. */
export interface PlacementRefusal {
  readonly kind: 'refused';
  /** Refusal reasons of the agents that replied; empty when none did. */
  readonly reasons: readonly RefusalReason[];
  /** Shortest retry delay that an agent advised. */
  readonly retryAfterMs: number | undefined;
}

export type Placement = Choice | PlacementRefusal;

/** Kind of attempt that is placed. */
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

export type PolicyName = (typeof policyNames)[number];

/** Places a request at an agent by its status alone, without an offer. */
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

/** Chooses the targets in turn. */
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

/** Chooses the target with the least reported load; the targets report it with a lag. */
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

/** Chooses the target by a rendezvous hash of the first prompt block. */
export function createPrefixHashPolicy(): PlacementPolicy {
  return {
    async choose(req, agents) {
      const first = req.blockHashes(mostCommonWeightsVersion(agents))[0] ?? 0n;
      return chooseByStatus(createRendezvousTable(agents, targetOf).top(first, 1)[0]);
    },
  };
}
