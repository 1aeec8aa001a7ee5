import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, withTimeout } from '../base/clock.js';
import { type Random } from '../base/random.js';
import { type OfferReply, RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentView } from '../membership/directory.js';
import { sampleChain } from './blocks.js';
import { type Choice, type PlacementPolicy } from './policies.js';
import { rankByRendezvous } from './rendezvous.js';
import { type CompletionRequest } from './request.js';

/** Time allowed for the answers to one round of offers. */
const offerTimeoutMs = 30;

/** Offers within this factor of the best one count as equal. */
const nearEqualFactor = 1.05;

interface Offer {
  readonly agent: AgentView;
  readonly reply: OfferReply;
}

/**
 * Asks a few candidate agents for an offer and takes the earliest expected first token.
 * Candidates come from rendezvous hashing of the prompt's prefix levels, so every entry finds
 * the same ones without shared state, and a new entry places as well as an old one.
 */
export function createOfferPolicy(clock: Clock, random: Random): PlacementPolicy {
  const askAgent = async (
    req: CompletionRequest,
    agent: AgentView,
    token: CancellationToken,
  ): Promise<Offer | undefined> => {
    const { status } = agent;
    if (!status) return undefined;
    const sample = sampleChain(req.blockHashes(status.weightsVersion));
    const reply = await agent.connection.client.offer(
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
    return { agent, reply };
  };

  const candidatesOf = (
    req: CompletionRequest,
    agents: readonly AgentView[],
  ): readonly AgentView[] => {
    const version = agents[0]?.status?.weightsVersion ?? '';
    const hashes = req.blockHashes(version);
    const nameOf = (agent: AgentView): string => agent.status?.target ?? agent.address;
    const chosen = new Set<AgentView>();
    const first = hashes[0] ?? 0n;
    for (const agent of rankByRendezvous(first.toString(16), agents, nameOf).slice(0, 2)) {
      chosen.add(agent);
    }
    let idle: AgentView | undefined;
    for (const agent of agents) {
      const load = (agent.status?.queueMs ?? 0) + agent.inflight;
      const idleLoad = idle ? (idle.status?.queueMs ?? 0) + idle.inflight : Infinity;
      if (load < idleLoad) idle = agent;
    }
    if (idle) chosen.add(idle);
    return [...chosen];
  };

  const pickOffer = (offers: readonly Offer[]): Choice | undefined => {
    const accepted = offers.filter(({ reply }) => reply.refusal === RefusalReason.UNSPECIFIED);
    let best = Infinity;
    for (const { reply } of accepted) best = Math.min(best, reply.expectedFirstTokenMs);
    const nearBest = accepted.filter(
      ({ reply }) => reply.expectedFirstTokenMs <= best * nearEqualFactor,
    );
    const offer = nearBest[random.integer(nearBest.length)];
    if (!offer) return undefined;
    return {
      agent: offer.agent,
      reservationId: offer.reply.reservationId,
      expectedFirstTokenMs: offer.reply.expectedFirstTokenMs,
      cachedTokens: offer.reply.cachedTokens,
    };
  };

  return {
    async choose(req, agents, token) {
      const source = createCancellationSource(token);
      const asked = candidatesOf(req, agents).map(async (agent) => {
        const offer = askAgent(req, agent, source.token).catch(() => undefined);
        return withTimeout(clock, offerTimeoutMs, offer);
      });
      const offers = (await Promise.all(asked)).filter((offer) => offer !== undefined);
      source.cancel('offers collected');
      source.dispose();
      return pickOffer(offers);
    },
  };
}
