/** Measures prompt hashing and candidate selection: `npx tsx measure/microbench.ts`. */
import { systemClock } from '../src/base/clock.js';
import { createSeededRandom } from '../src/base/random.js';
import { type AgentView } from '../src/membership/directory.js';
import { blockChars, hashBlocks, sampleChain } from '../src/routing/blocks.js';
import { createCandidateSelector } from '../src/routing/candidates.js';
import { createHotPrefixes } from '../src/routing/hotprefix.js';
import { createPrefixGroups } from '../src/routing/prefixgroups.js';
import { createCompletionRequest } from '../src/routing/request.js';

const promptChars = 32_000;

const rounds = 5_000;

const warmUpRounds = 2_000;

const words = ['the ', 'reel ', 'of ', 'film ', 'was ', 'copied ', 'in ', 'nineteen '];

/** Creates distinct prompts, so that consecutive rounds share neither strings nor hashes. */
function createPrompts(suffix: string): readonly string[] {
  const random = createSeededRandom(1);
  return Array.from({ length: 64 }, () => {
    let text = '';
    while (text.length < promptChars) text += words[random.integer(words.length)] as string;
    return text.slice(0, promptChars - suffix.length) + suffix;
  });
}

function createAgents(count: number): readonly AgentView[] {
  const random = createSeededRandom(2);
  return Array.from({ length: count }, (_, index) => {
    const name = `engine-${index}`;
    const status = {
      target: name,
      weightsVersion: 'v1',
      queueMs: random.integer(200),
      running: random.integer(8),
      places: 8,
    };
    return {
      address: name,
      status,
      usable: true,
      ageMs: 0,
      inFlightRequests: 0,
    } as unknown as AgentView;
  });
}

/** Request rate of the simulated clock, at which a few prompts count as hot. */
const requestsPerSecond = 1_000;

/** Runs warm-up and measured rounds and returns the p50 and p99 in microseconds. */
function measureRounds(run: (round: number) => void): string {
  for (let round = 0; round < warmUpRounds; round += 1) run(round);
  const timingsUs = new Float64Array(rounds);
  for (let round = 0; round < rounds; round += 1) {
    const start = performance.now();
    run(round);
    timingsUs[round] = (performance.now() - start) * 1_000;
  }
  timingsUs.sort();
  const percentileUs = (fraction: number): string =>
    (timingsUs[Math.floor(rounds * fraction)] as number).toFixed(1);
  return `p50 ${percentileUs(0.5)} µs, p99 ${percentileUs(0.99)} µs`;
}

const hashSeed = { salt: 'salt', model: 'model', weightsVersion: 'v1', adapter: '' };
const blocks = Math.floor(promptChars / blockChars);
console.log(`prompt of ${promptChars} characters, ${blocks} blocks, ${rounds} rounds`);

for (const [label, suffix] of [
  ['ASCII', ''],
  ['one other character', 'é'],
] as const) {
  const prompts = createPrompts(suffix);
  const promptOf = (round: number): string => prompts[round % prompts.length] as string;
  const hashing = measureRounds((round) => sampleChain(hashBlocks(hashSeed, promptOf(round))));
  console.log(`hashing, ${label}: ${hashing}`);
  for (const count of [9, 600]) {
    const agents = createAgents(count);
    let requests = 0;
    const clock = { ...systemClock, now: () => (requests * 1_000) / requestsPerSecond };
    const selector = createCandidateSelector({
      random: createSeededRandom(3),
      hotPrefixes: createHotPrefixes(clock),
      prefixGroups: createPrefixGroups(clock),
    });
    const result = measureRounds((round) => {
      const request = createCompletionRequest({
        requestId: 'request-1',
        team: 'red',
        salt: 'salt',
        kind: 'text',
        model: 'model',
        adapter: '',
        body: new Uint8Array(),
        promptText: promptOf(round),
        promptTokens: 8_000,
        outputTokens: 100,
        priority: 0,
        deadline: { remainingMs: () => 1_000 },
      });
      requests += 1;
      selector.select(request, agents);
      sampleChain(request.blockHashes('v1'));
    });
    console.log(`hashing and candidates, ${label}, ${count} agents: ${result}`);
  }
}
