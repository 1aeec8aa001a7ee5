import { expect, test } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createSeededRandom } from '../../src/base/random.js';
import { RefusalReason } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createCandidateSelector } from '../../src/routing/candidates.js';
import { createTargetHealth } from '../../src/routing/health.js';
import { createHeavyHitters, createHotPrefixes } from '../../src/routing/hotprefix.js';
import { createPrefixGroups } from '../../src/routing/prefixgroups.js';
import { createOfferPolicy } from '../../src/routing/placement.js';
import { type Placement } from '../../src/routing/policies.js';
import { createManualClock } from '../standins/clock.js';
import { fakeAgent, fakeRequest, type FakeAgentSpec } from './fakes.js';

const document = (id: string, blocks = 40): string => id.repeat(512 * blocks);

async function place(specs: readonly FakeAgentSpec[], promptText = 'short', seed = 1) {
  const clock = createManualClock();
  const agents = specs.map((spec) => fakeAgent(clock, spec));
  const policy = createOfferPolicy({
    clock,
    random: createSeededRandom(seed),
    health: createTargetHealth(clock),
  });
  const views = agents.map(({ view }) => view);
  let placement: Placement | undefined;
  const placed = policy.choose(fakeRequest(clock, { promptText }), views, noCancellation);
  placed.then(
    (value) => {
      placement = value;
    },
    () => undefined,
  );
  await clock.advance(100);
  return placement;
}

const never = () => new Promise<never>(() => undefined);
const offering =
  (expectedFirstTokenMs: number, prefillMs = 0) =>
  () => ({
    expectedFirstTokenMs,
    prefillMs,
  });
const refusing = (refusal: RefusalReason, retryAfterMs: number) => () => ({
  refusal,
  retryAfterMs,
});

// Guards against a worse offer, a lost reservation, or a wait for agents that do not reply.
test.each([
  ['earliest first token', { a: offering(90), b: offering(50) }, 'b', 'reserved-b'],
  ['cached prefix when slightly later', { a: offering(105), b: offering(100, 50) }, 'a', ''],
  ['an offer while another agent is silent', { a: never, b: offering(900) }, 'b', 'reserved-b'],
  ['by status when no agent replies', { a: never, b: never }, 'b', ''],
  ['acceptance beside a refusal', { a: refusing(2, 10), b: offering(900) }, 'b', 'reserved-b'],
])('chooses: %s', async (_name, offers, target, reservationId) => {
  const status = { a: { queueMs: 500 }, b: {} };
  const names = ['a', 'b'] as const;
  const placement = await place(
    names.map((name) => ({ name, offer: offers[name], status: status[name] })),
  );
  expect(placement).toMatchObject({ kind: 'chosen', agent: { address: target } });
  if (reservationId) expect(placement).toMatchObject({ reservationId, incarnation: 'one' });
});

// Guards against prefixes cached at a target from which later requests do not request an offer.
test('the least loaded target needs a clearly better offer than those of the prefix', async () => {
  const names = Array.from({ length: 12 }, (_, index) => `engine-${index}`);
  const choose = (idleMs: number) =>
    place(
      names.map((name) => ({
        name,
        offer: offering(name === 'engine-0' ? idleMs : 100, 30),
        status: { queueMs: name === 'engine-0' ? 0 : 50 },
      })),
      document('p'),
    );
  expect(await choose(90)).not.toMatchObject({ agent: { address: 'engine-0' } });
  expect(await choose(30)).toMatchObject({ agent: { address: 'engine-0' } });
});

// Guards against a refusal without its reason, or with a longer wait than needed.
test('reports all reasons and the shortest wait when every agent refuses', async () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const placement = await place(
    names.map((name, index) => ({
      name,
      offer: refusing(RefusalReason.QUEUE_FULL, 700 - index * 100),
    })),
  );
  expect(placement).toEqual({ kind: 'refused', reasons: Array(6).fill(2), retryAfterMs: 200 });
});

function select(promptText: string, seed: number, loads: Readonly<Record<string, number>> = {}) {
  const clock = createManualClock();
  const agents = Array.from({ length: 30 }, (_, index) => {
    const name = `engine-${index}`;
    return fakeAgent(clock, { name, status: { queueMs: loads[name] ?? 0 } }).view;
  });
  const selector = createCandidateSelector({
    random: createSeededRandom(seed),
    hotPrefixes: createHotPrefixes(clock),
    prefixGroups: createPrefixGroups(clock),
  });
  const { agents: chosen } = selector.select(fakeRequest(clock, { promptText }), agents);
  return chosen.map((view) => view.address);
}

// Guards against a new entry that needs traffic before it finds the targets of a prefix.
test('entries without shared state choose the same targets for one prefix', () => {
  const first = select(`${document('d')}question one`, 1);
  const second = select(`${document('d')}another`, 2);
  expect(first.slice(0, 3)).toEqual(second.slice(0, 3));
  const longer = select(`${document('d')}${'q'.repeat(512 * 12)}`, 3);
  expect(longer.some((target) => first.slice(0, 3).includes(target))).toBe(true);
  expect(first.length).toBeLessThanOrEqual(4);
});

// Guards against an overloaded preferred target that still receives the requests of its keys.
test('requests of an overloaded preferred target go to other targets', async () => {
  const [preferred = ''] = select(document('d'), 1);
  const agents = Array.from({ length: 30 }, (_, index) => {
    const name = `engine-${index}`;
    return { name, offer: offering(name === preferred ? 5_000 : 400, 300) };
  });
  const placement = await place(agents, document('d'));
  expect(placement?.kind).toBe('chosen');
  expect(placement).not.toMatchObject({ agent: { address: preferred } });
});

// Guards against a sketch that evicts a hot key among many rare ones, or that never expires it.
test('the sketch finds a hot key among rare ones and expires it', async () => {
  const clock = createManualClock();
  const hitters = createHeavyHitters(clock);
  for (let index = 0; index < 5_000; index += 1) {
    hitters.record(BigInt(index + 10));
    if (index % 20 === 0) hitters.record(1n);
  }
  expect(hitters.rate(1n)).toBeGreaterThan(200);
  expect(hitters.rate(1n)).toBeLessThanOrEqual(250);
  expect(hitters.rate(4_000n)).toBeLessThanOrEqual(1);
  await clock.advance(2_000);
  expect(hitters.rate(1n)).toBe(0);
});

// Guards against a hot prefix that uses all targets at once, or that keeps its targets for ever.
test('a hot prefix gains targets one at a time with its rate, and loses them again', async () => {
  const clock = createManualClock();
  const hot = createHotPrefixes(clock);
  const widths: number[] = [];
  for (let tick = 0; tick < 30; tick += 1) {
    for (let index = 0; index < 5; index += 1) hot.record(1n);
    widths.push(hot.targetCount(1n, 30));
    await clock.advance(100);
  }
  for (let index = 1; index < widths.length; index += 1) {
    expect(widths[index]).toBeLessThanOrEqual((widths[index - 1] as number) + 1);
  }
  expect(widths.at(-1)).toBeGreaterThanOrEqual(5);
  expect(widths.at(-1)).toBeLessThanOrEqual(8);
  await clock.advance(3_000);
  expect(hot.targetCount(1n, 30)).toBe(1);
});
