import { createSeededRandom, type Random } from '../../src/base/random.js';
import { blockTokens, estimateTokens, hashBlocks } from '../../src/routing/blocks.js';
import { parameters, type Range } from '../parameters.js';

/** Part of a run with a separate arrival rate. */
export interface LoadPart {
  readonly label: string;
  readonly durationMs: number;
  /** Arrival rate relative to `capacityPerSecond`. */
  readonly load: number;
  /** Fraction of long jobs; defaults to the one in the parameters. */
  readonly longFraction?: number;
}

/** Load profile of one run. */
export interface WorkloadPlan {
  readonly parts: readonly LoadPart[];
  /** Times, from the start of the measured parts, at which the popular documents change. */
  readonly hotShiftsMs?: readonly number[];
}

/** One scheduled request. */
export interface ScheduledRequest {
  readonly id: string;
  readonly team: string;
  /** Scheduled arrival, from the start of the warm-up. */
  readonly atMs: number;
  /** Index of the part, or -1 in the warm-up. */
  readonly part: number;
  readonly system: string;
  readonly user: string;
  readonly promptTokens: number;
  readonly hashes: readonly bigint[];
  readonly outputTokens: number;
  readonly isLong: boolean;
  /** Longest time to the end of the response that counts as on time. */
  readonly deadlineMs: number;
}

/** One scheduled call to a service. */
export interface ScheduledCall {
  readonly key: string;
  readonly team: string;
  readonly atMs: number;
}

export interface Workload {
  readonly requests: readonly ScheduledRequest[];
  readonly calls: readonly ScheduledCall[];
  readonly warmUpMs: number;
  readonly durationMs: number;
}

export const teamNames: readonly string[] = parameters.workload.teamFractions.map(
  (_fraction, index) => `team${index + 1}`,
);

const words = 'lens reel cable stage frame print light order festival archive copy scene'.split(
  ' ',
);

const charsPerToken = 4;

interface Document {
  readonly team: string;
  readonly system: string;
  readonly text: string;
}

function drawUniform(random: Random, [low, high]: Range): number {
  return low + random.integer(high - low + 1);
}

function makeText(random: Random, tokens: number): string {
  const length = tokens * charsPerToken + random.integer(charsPerToken);
  let text = '';
  while (text.length < length) text += `${words[random.integer(words.length)]} `;
  return text.slice(0, length);
}

/** Returns a random index with a probability proportional to its weight. */
function drawWeighted(random: Random, weights: readonly number[]): number {
  let remaining = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) return index;
  }
  return weights.length - 1;
}

/** All prompts start with the same text, so that cache sharing between teams shows as hits. */
function makeDocuments(random: Random): readonly Document[] {
  const { workload } = parameters;
  const general = makeText(random, drawUniform(random, workload.generalTokens));
  const organisations = Array.from({ length: workload.organisations }, (_item, index) => {
    const team = index < teamNames.length ? index : drawWeighted(random, workload.teamFractions);
    const text = makeText(random, drawUniform(random, workload.organisationTokens));
    return { team: teamNames[team] as string, system: `${general}\n${text}` };
  });
  return Array.from({ length: workload.documents }, (_item, index) => {
    const organisation = organisations[index % organisations.length];
    const text = makeText(random, drawUniform(random, workload.documentTokens));
    return { ...(organisation as { team: string; system: string }), text };
  });
}

/**
 * Returns the weight of each document: Zipf-distributed within its team and scaled by the fraction
 * of the team. The shift rotates the ranks, so that other documents become popular.
 */
function documentWeights(documents: readonly Document[], shift: number): readonly number[] {
  const { teamFractions, zipfExponent } = parameters.workload;
  const ranks = new Map<string, number>();
  const counts = new Map<string, number>();
  for (const { team } of documents) counts.set(team, (counts.get(team) ?? 0) + 1);
  const zipfWeights = documents.map(({ team }) => {
    const rank = ranks.get(team) ?? 0;
    ranks.set(team, rank + 1);
    const count = counts.get(team) ?? 1;
    const rotated = (rank + shift * Math.ceil(count / 2)) % count;
    return 1 / (rotated + 1) ** zipfExponent;
  });
  const totals = new Map<string, number>();
  for (const [index, { team }] of documents.entries()) {
    totals.set(team, (totals.get(team) ?? 0) + (zipfWeights[index] ?? 0));
  }
  return documents.map(({ team }, index) => {
    const teamFraction = teamFractions[teamNames.indexOf(team)] ?? 0;
    return (teamFraction * (zipfWeights[index] ?? 0)) / (totals.get(team) ?? 1);
  });
}

/** Poisson arrivals whose rate varies around the mean rate of the part. */
function makeArrivals(random: Random, durationMs: number, perSecond: number): readonly number[] {
  const { rateChangeIntervalMs, rateFactorRange } = parameters.workload;
  const intervalCount = Math.ceil(durationMs / rateChangeIntervalMs);
  const [low, high] = rateFactorRange;
  const rateFactors = Array.from(
    { length: intervalCount },
    () => low + random.next() * (high - low),
  );
  const meanFactor = rateFactors.reduce((sum, factor) => sum + factor, 0) / intervalCount;
  const times: number[] = [];
  let at = 0;
  while (true) {
    const factor = (rateFactors[Math.floor(at / rateChangeIntervalMs)] ?? meanFactor) / meanFactor;
    at += (-Math.log(1 - random.next()) / (perSecond * factor)) * 1_000;
    if (at >= durationMs) return times;
    times.push(at);
  }
}

function makeCalls(random: Random, durationMs: number): readonly ScheduledCall[] {
  return makeArrivals(random, durationMs, parameters.services.callsPerSecond).map(
    (atMs, index) => ({
      key: `order-${index}`,
      team: teamNames[index % teamNames.length] as string,
      atMs,
    }),
  );
}

/** Creates the schedule of one run; equal seeds give equal schedules. */
export function createWorkload(plan: WorkloadPlan, seed: number): Workload {
  const random = createSeededRandom(seed);
  const { workload, warmUp, deadlines, model } = parameters;
  const documents = makeDocuments(random);
  const warmUpPart: LoadPart = { label: 'warm-up', ...warmUp };
  const measuredMs = plan.parts.reduce((sum, part) => sum + part.durationMs, 0);
  const durationMs = warmUp.durationMs + measuredMs;
  const requests: ScheduledRequest[] = [];
  let partStart = 0;
  for (const [index, part] of [warmUpPart, ...plan.parts].entries()) {
    const { longFraction = workload.longFraction } = part;
    for (const offset of makeArrivals(
      random,
      part.durationMs,
      part.load * workload.capacityPerSecond,
    )) {
      const atMs = partStart + offset;
      const shift = (plan.hotShiftsMs ?? []).filter((at) => at + warmUp.durationMs <= atMs).length;
      const document = documents[
        drawWeighted(random, documentWeights(documents, shift))
      ] as Document;
      const question = makeText(random, drawUniform(random, workload.questionTokens));
      const isDrawnLong = random.next() < longFraction;
      const isLong = isDrawnLong && atMs < durationMs - workload.noLongJobsAtEndMs;
      const shortTokens = drawUniform(random, workload.shortTokens);
      const outputTokens = isLong ? workload.longTokens : shortTokens;
      const user = `${document.text}\n${question}`;
      const prompt = `system\n${document.system}\nuser\n${user}\n`;
      const chain = { salt: `team:${document.team}`, model, weightsVersion: 'v1', adapter: '' };
      requests.push({
        id: `${document.team}.${seed}-${requests.length.toString().padStart(6, '0')}`,
        team: document.team,
        atMs,
        part: index - 1,
        system: document.system,
        user,
        promptTokens: estimateTokens(prompt),
        hashes: hashBlocks(chain, prompt),
        outputTokens,
        isLong,
        deadlineMs: deadlines.firstTokenMs + outputTokens * deadlines.perTokenMs,
      });
    }
    partStart += part.durationMs;
  }
  const calls = makeCalls(random, durationMs);
  return { requests, calls, warmUpMs: warmUp.durationMs, durationMs };
}

/** Prompt text that the router and the engines derive from the messages. */
export function promptTextOf(request: ScheduledRequest): string {
  return `system\n${request.system}\nuser\n${request.user}\n`;
}

/** Tokens of a prompt that cannot be cached because they do not fill a block. */
export function tailTokensOf(request: ScheduledRequest): number {
  return request.promptTokens - request.hashes.length * blockTokens;
}
