import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, withTimeout } from '../base/clock.js';
import { type Random } from '../base/random.js';
import { type OfferReply, RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentView } from '../membership/directory.js';
import { sampleChain } from './blocks.js';
import { createCandidateSelector, loadOf, targetOf } from './candidates.js';
import { type TargetHealth } from './health.js';
import { createHotPrefixes } from './hotprefix.js';
import {
  chooseByStatus,
  type Choice,
  type PlacementPolicy,
  type PlacementRefusal,
} from './policies.js';
import { createPrefixGroups } from './prefixgroups.js';
import { type CompletionRequest } from './request.js';

/** Timeout for the replies to one round of offer requests. */
const offerTimeoutMs = 30;

/** Offers within this factor of the best one count as equal. */
const nearEqualFactor = 1.05;

/**
 * Extra weight of prefill over waiting. Prefill also delays the requests behind it and evicts
 * blocks that others need, so an agent with the prefix may be slower by this fraction of the
 * prefill time.
 */
const prefillWeight = 1;

/**
 * Additional weight of prefill at an agent that is not preferred for the prefix, because prefill
 * creates another copy there. With 1, copies evicted prefixes that were needed; with 5, short waits
 * at a preferred agent grew.
 */
const copyPrefillWeight = 2;

/**
 * Maximum agents in the second round, which follows when all agents of the first one refuse or
 * fail and none is late.
 */
const secondRoundSize = 4;

export interface OfferPolicyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly health: TargetHealth;
}

/**
 * Result of one offer request. `reply` is undefined after a failure or a timeout, `settled` is
 * false after a timeout.
 */
interface OfferResult {
  readonly agent: AgentView;
  readonly settled: boolean;
  readonly reply: OfferReply | undefined;
}

/**
 * Requests offers from a few candidate agents and chooses the earliest expected first token, in
 * which prefill and slow targets weigh more. Candidates by prefix come from rendezvous hashing of
 * the prompt's prefix levels, so for prefixes that are not hot every entry finds the same ones
 * without shared state, and a new entry places them as well as an old one. Replicas of hot prefixes
 * and the least loaded agent depend on the entry.
 */
export function createOfferPolicy(options: OfferPolicyOptions): PlacementPolicy {
  const { clock, random, health } = options;
  const selector = createCandidateSelector({
    random,
    hotPrefixes: createHotPrefixes(clock),
    prefixGroups: createPrefixGroups(clock),
  });

  const requestOffer = async (
    req: CompletionRequest,
    agent: AgentView,
    token: CancellationToken,
  ): Promise<OfferReply> => {
    const sample = sampleChain(req.blockHashes(agent.status?.weightsVersion ?? ''));
    return agent.connection.client.offer(
      {
        requestId: req.requestId,
        team: req.team,
        model: req.model,
        adapter: req.adapter,
        blockHashes: [...sample.hashes],
        blockDepths: [...sample.depths],
        promptTokens: req.promptTokens,
        outputTokens: req.outputTokens,
        priority: req.priority,
        remainingMs: Math.floor(req.deadline.remainingMs()),
      },
      { signal: token.signal },
    );
  };

  const requestOffers = async (
    req: CompletionRequest,
    agents: readonly AgentView[],
    token: CancellationToken,
  ): Promise<readonly OfferResult[]> => {
    const source = createCancellationSource(token);
    const pendingResults = agents.map(async (agent): Promise<OfferResult> => {
      const result = requestOffer(req, agent, source.token).then(
        (reply) => ({ agent, settled: true, reply }),
        () => ({ agent, settled: true, reply: undefined }),
      );
      const late = { agent, settled: false, reply: undefined };
      return (await withTimeout(clock, offerTimeoutMs, result)) ?? late;
    });
    const results = await Promise.all(pendingResults);
    source.cancel('offers collected');
    source.dispose();
    token.throwIfCancelled();
    return results;
  };

  const pickOffer = (
    results: readonly OfferResult[],
    preferred: ReadonlySet<AgentView>,
  ): Choice | undefined => {
    const offers = results.flatMap(({ agent, reply }) =>
      reply?.refusal === RefusalReason.UNSPECIFIED ? [{ agent, reply }] : [],
    );
    const scored = offers.map(({ agent, reply }) => {
      const weight = prefillWeight + (preferred.has(agent) ? 0 : copyPrefillWeight);
      const expectedMs = reply.expectedFirstTokenMs + reply.prefillMs * weight;
      return { agent, reply, score: (expectedMs + 1) * health.slownessFactor(targetOf(agent)) };
    });
    let best = Infinity;
    for (const { score } of scored) best = Math.min(best, score);
    const nearBest = scored.filter(({ score }) => score <= best * nearEqualFactor);
    const offer = nearBest[random.integer(nearBest.length)];
    if (!offer) return undefined;
    const { reservationId, incarnation, weightsVersion, cachedTokens } = offer.reply;
    return {
      kind: 'chosen',
      agent: offer.agent,
      reservationId,
      incarnation,
      weightsVersion,
      // 0 means an unknown expectation, so an immediate first token is expected in 1 ms.
      expectedFirstTokenMs: Math.max(1, offer.reply.expectedFirstTokenMs),
      cachedTokens,
    };
  };

  /** Returns the least loaded agent by status, with the load multiplied by the slowness factor. */
  const findLeastLoaded = (agents: readonly AgentView[]): AgentView | undefined => {
    const weightedLoad = (agent: AgentView): number =>
      (loadOf(agent) + 1) * health.slownessFactor(targetOf(agent));
    return [...agents].sort((a, b) => weightedLoad(a) - weightedLoad(b))[0];
  };

  const toPlacementRefusal = (results: readonly OfferResult[]): PlacementRefusal => {
    const reasons: RefusalReason[] = [];
    let retryAfterMs: number | undefined;
    for (const { reply } of results) {
      if (!reply) continue;
      reasons.push(reply.refusal);
      if (reply.retryAfterMs <= 0) continue;
      retryAfterMs = Math.min(retryAfterMs ?? Infinity, reply.retryAfterMs);
    }
    return { kind: 'refused', reasons, retryAfterMs };
  };

  return {
    async choose(req, agents, token, purpose = 'first') {
      // The list for a hedge lacks the target of the first attempt, which counts in the total.
      const total = purpose === 'hedge' ? agents.length + 1 : agents.length;
      const { serving, probe } = health.select(agents, targetOf, total);
      const { agents: firstRoundAgents, preferred } = selector.select(req, serving);
      const results = [...(await requestOffers(req, firstRoundAgents, token))];
      const offer = pickOffer(results, preferred);
      if (offer) return { ...offer, probe };
      const lateAgents = results.filter(({ settled }) => !settled).map(({ agent }) => agent);
      if (lateAgents.length > 0) return chooseByStatus(findLeastLoaded(lateAgents));
      const rest = serving.filter((agent) => !firstRoundAgents.includes(agent));
      const secondRoundAgents = [...rest]
        .sort((a, b) => loadOf(a) - loadOf(b))
        .slice(0, secondRoundSize);
      const secondRoundResults = await requestOffers(req, secondRoundAgents, token);
      const secondRoundOffer = pickOffer(secondRoundResults, preferred);
      if (secondRoundOffer) return secondRoundOffer;
      results.push(...secondRoundResults);
      const lateInSecondRound = secondRoundResults.filter(({ settled }) => !settled);
      if (lateInSecondRound.length > 0)
        return chooseByStatus(findLeastLoaded(lateInSecondRound.map(({ agent }) => agent)));
      return toPlacementRefusal(results);
    },
  };
}
