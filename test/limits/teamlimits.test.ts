import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createRetryBudget } from '../../src/limits/retrybudget.js';
import { createLimitAllocator, type Demand } from '../../src/limits/allocator.js';
import { createTeamLimiter } from '../../src/limits/teamlimits.js';
import { createUsageExchange } from '../../src/limits/usageexchange.js';
import { createManualClock, type ManualClock } from '../standins/clock.js';

const demandOf = (requests: number): ReadonlyMap<string, Demand> =>
  new Map([['red', { requests, tokens: 0, streams: 0 }]]);

/** Exchanges the reports of two entries in both directions, as one call does. */
function connect(
  entries: readonly ReturnType<typeof createLimitAllocator>[],
  a: number,
  b: number,
) {
  const [from, to] = [entries[a], entries[b]];
  if (!from || !to || from === to) return;
  to.recordPeerDemand(`${a}`, from.proposed);
  to.markDelivered(`${a}`);
  from.recordPeerDemand(`${b}`, to.proposed);
  from.markDelivered(`${b}`);
}

// Guards against entries that together admit more than the limit while demand moves between them
// and exchanges are lost.
test('allocations of entries that exchange reports never exceed the limit together', () => {
  const step = fc.record({
    entry: fc.nat(3),
    demand: fc.nat(300),
    reached: fc.array(fc.nat(3), { maxLength: 4 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const clock = createManualClock();
      const entries = [0, 1, 2, 3].map(() => createLimitAllocator(clock));
      for (const entry of entries) entry.setListedPeers(3);
      for (const a of [0, 1, 2, 3]) for (const b of [0, 1, 2, 3]) connect(entries, a, b);
      for (const { entry, demand, reached } of steps) {
        entries[entry]?.propose(demandOf(demand));
        for (const peer of reached) connect(entries, entry, peer);
        let sum = 0;
        for (const allocator of entries) sum += allocator.allocation('red', 'requests', 100);
        expect(sum).toBeLessThanOrEqual(100 + 1e-6);
      }
    }),
    { seed: 21, numRuns: 300 },
  );
});

interface Site {
  readonly clock: ManualClock;
  readonly limiters: readonly ReturnType<typeof createTeamLimiter>[];
  /** Returns whether two entries can't reach each other. */
  isCut: (a: number, b: number) => boolean;
}

function startSite(count: number): Site {
  const clock = createManualClock();
  const exchanges: ReturnType<typeof createUsageExchange>[] = [];
  const site = { clock, limiters: [] as Site['limiters'][number][], isCut: () => false } as Site & {
    limiters: Site['limiters'][number][];
  };
  for (let index = 0; index < count; index += 1) {
    const allocator = createLimitAllocator(clock);
    const limiter = createTeamLimiter(clock, allocator);
    site.limiters.push(limiter);
    // The list includes the entry itself, as a list that is the same for all instances does.
    const peers = Array.from({ length: count }, (_, peer) => ({
      address: `entry-${peer}`,
      client: {
        reportUsage: async (report: never) => {
          if (site.isCut(index, peer)) throw new Error('unreachable');
          return exchanges[peer]?.service.reportUsage(report);
        },
      },
    }));
    exchanges.push(
      createUsageExchange({
        clock,
        log: createNullLogger(),
        self: { instance: `entry-${index}`, incarnation: 'one' },
        peers: () => peers as never,
        allocator,
        limiter,
        configurationRevision: () => 1,
      }),
    );
  }
  return site;
}

/** Sends requests at the given rates for a time and returns how many each entry admitted. */
async function offer(site: Site, rates: readonly number[], seconds: number) {
  const team = { name: 'red', limits: { requestsPerSecond: 60 } };
  const admitted = rates.map(() => 0);
  const due = rates.map(() => 0);
  for (let tick = 0; tick < seconds * 100; tick += 1) {
    for (const [index, rate] of rates.entries()) {
      for (due[index] = (due[index] ?? 0) + rate / 100; (due[index] ?? 0) >= 1;) {
        due[index] = (due[index] ?? 0) - 1;
        try {
          site.limiters[index]?.admit(team, { tokens: 0, stream: false }).dispose();
          admitted[index] = (admitted[index] ?? 0) + 1;
        } catch (err) {
          expect(err).toMatchObject({ code: 'teamLimit', work: 'not-run' });
        }
      }
    }
    await site.clock.advance(10);
  }
  return admitted;
}

const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/** The error bound documented at TeamLimiter, for a limit of 60/s. */
const bound = (seconds: number, entries: number): number =>
  60 * (seconds + 1 + (entries - 1) / entries) + entries;

// Guards against admissions above the documented error, and against allocations that ignore demand.
test.each([
  ['even demand', [100, 100, 100]],
  ['uneven demand', [200, 20, 5]],
  ['all demand at one entry', [200, 0, 0]],
])('admits the limit within the documented error: %s', async (_name, rates) => {
  const site = startSite(3);
  await offer(site, rates, 3);
  const admitted = await offer(site, rates, 10);
  expect(sum(admitted)).toBeLessThanOrEqual(bound(10, 3));
  expect(sum(admitted)).toBeGreaterThan(60 * 10 * 0.9);
});

test('admissions stay within the documented error when demand moves between entries', async () => {
  const site = startSite(3);
  const random = createSeededRandom(8);
  let total = 0;
  for (let phase = 0; phase < 12; phase += 1) {
    const rates = [0, 0, 0];
    rates[random.integer(3)] = 200;
    total += sum(await offer(site, rates, 0.7));
  }
  expect(total).toBeLessThanOrEqual(bound(12 * 0.7, 3));
  expect(total).toBeGreaterThan(60 * 12 * 0.7 * 0.3);
});

// Guards against an entry that uses the whole limit because it reaches no peers.
test('partitioned entries use 1/n of the limit each and divide it by demand afterwards', async () => {
  const site = startSite(3);
  await offer(site, [100, 100, 100], 2);
  site.isCut = (a, b) => a !== b && (a === 2 || b === 2);
  await offer(site, [100, 0, 100], 5);
  const apart = await offer(site, [100, 0, 100], 10);
  expect(apart[0]).toBeLessThanOrEqual(bound(10, 3) * (2 / 3));
  expect(apart[0]).toBeGreaterThan(60 * 10 * (2 / 3) * 0.9);
  expect(apart[2]).toBeLessThanOrEqual(bound(10, 3) / 3);
  expect(apart[2]).toBeGreaterThan(60 * 10 * (1 / 3) * 0.9);
  site.isCut = () => false;
  await offer(site, [0, 0, 100], 3);
  const together = await offer(site, [0, 0, 100], 10);
  expect(sum(together)).toBeGreaterThan(60 * 10 * 0.9);
});

function single() {
  const clock = createManualClock();
  return { clock, limiter: createTeamLimiter(clock, createLimitAllocator(clock)) };
}

const errorOf = (run: () => unknown): unknown => {
  try {
    return run();
  } catch (err) {
    return err;
  }
};

// Guards against a Retry-After that is too short and against one team's use charged to another.
test.each([
  ['requests', { requestsPerSecond: 2 }, { tokens: 0, stream: false }, 2, 500],
  ['slow requests', { requestsPerSecond: 0.1 }, { tokens: 0, stream: false }, 1, 10_000],
  ['tokens', { tokensPerSecond: 100 }, { tokens: 50, stream: true }, 2, 500],
  ['one large request', { tokensPerSecond: 100 }, { tokens: 300, stream: true }, 1, 3_000],
  ['streams', { streams: 3 }, { tokens: 0, stream: true }, 3, 1_000],
])('refuses beyond the limit of %s', async (_name, limits, work, allowed, retryAfterMs) => {
  const { clock, limiter } = single();
  const red = { name: 'red', limits };
  const admissions = Array.from({ length: allowed }, () => limiter.admit(red, work));
  const err = errorOf(() => limiter.admit(red, work));
  expect(err).toMatchObject({ code: 'teamLimit', work: 'not-run', retryAfterMs });
  expect(() => limiter.admit({ name: 'blue', limits }, work)).not.toThrow();
  for (const admission of admissions) admission.dispose();
  await clock.advance(retryAfterMs - 1);
  limiter.takeDemand();
  if (!('streams' in limits)) {
    expect(errorOf(() => limiter.admit(red, work))).toMatchObject({ code: 'teamLimit' });
  }
  await clock.advance(1);
  expect(() => limiter.admit(red, work)).not.toThrow();
});

// Guards against charging a team for tokens that its response did not use.
test('unused tokens are refunded once', () => {
  const { limiter } = single();
  const team = { name: 'red', limits: { tokensPerSecond: 100 } };
  const admission = limiter.admit(team, { tokens: 100, stream: true });
  admission.settle(40);
  admission.settle(0);
  expect(() => limiter.admit(team, { tokens: 60, stream: true })).not.toThrow();
  expect(() => limiter.admit(team, { tokens: 1, stream: true })).toThrow(/tokens per second/);
});

// Guards against retries that multiply the load when many targets fail.
test('extra attempts stay below a tenth of the requests plus the floor', async () => {
  const events = fc.array(fc.record({ requests: fc.nat(50), waitMs: fc.nat(2_000) }), {
    maxLength: 30,
  });
  await fc.assert(
    fc.asyncProperty(events, async (steps) => {
      const clock = createManualClock();
      const budget = createRetryBudget(clock);
      let requests = 0;
      let extra = 0;
      for (const step of steps) {
        for (let index = 0; index < step.requests; index += 1) budget.deposit();
        requests += step.requests;
        while (budget.tryWithdraw()) extra += 1;
        expect(extra).toBeLessThanOrEqual(10 + requests * 0.1 + clock.now() / 1_000 + 1e-6);
        await clock.advance(step.waitMs);
      }
    }),
    { seed: 22, numRuns: 100 },
  );
});
