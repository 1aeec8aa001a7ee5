import fc from 'fast-check';
import { expect, test } from 'vitest';
import { type CancellationToken, createCancellationSource } from '../../src/base/cancellation.js';
import { createSeededRandom } from '../../src/base/random.js';
import { RefusalReason } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { longSlotLimit, longStarvationThresholdMs } from '../../src/scheduling/forecast.js';
import { type QueuedJob, type QueueRefusedError } from '../../src/scheduling/job.js';
import { agingMs } from '../../src/scheduling/fairqueue.js';
import { createWorkQueue, type WorkQueueOptions } from '../../src/scheduling/queue.js';
import { createManualClock } from '../standins/clock.js';

const seed = 7;
const baseJob: QueuedJob = { team: 'red', priority: 0, costMs: 100, remainingMs: 1e9 };

/** Queue on a manual clock; each job occupies its slot for its cost times a factor. */
function createHarness(options: Partial<WorkQueueOptions> = {}) {
  const clock = createManualClock();
  const queue = createWorkQueue({ clock, slots: 1, ...options });
  const started: (QueuedJob & { readonly at: number; readonly waitingShort: number })[] = [];
  const refused: RefusalReason[] = [];
  let onTime = 0;
  let shortWaiting = 0;
  const runJob = async (
    fields: Partial<QueuedJob>,
    factor = 1,
    token = createCancellationSource().token,
  ) => {
    const job = { ...baseJob, ...fields };
    const deadline = clock.now() + job.remainingMs;
    const short = job.costMs <= 100;
    if (short) shortWaiting += 1;
    try {
      const slot = await queue.acquire(job, token);
      if (short) shortWaiting -= 1;
      started.push({ ...job, at: clock.now(), waitingShort: shortWaiting });
      clock.setTimer(job.costMs * factor, () => {
        if (clock.now() <= deadline) onTime += 1;
        slot.dispose();
      });
    } catch (err) {
      if (short) shortWaiting -= 1;
      refused.push((err as QueueRefusedError).reason ?? RefusalReason.UNSPECIFIED);
    }
  };
  const submit = (fields: Partial<QueuedJob>, factor?: number, token?: CancellationToken): void => {
    runJob(fields, factor, token).catch(() => undefined);
  };
  return {
    clock,
    queue,
    started,
    refused,
    submit,
    get onTime() {
      return onTime;
    },
  };
}

// Guards against queueing work that can't end in time, and against an unbounded queue.
test.each([
  ['deadline shorter than the job', { remainingMs: 90 }, RefusalReason.DEADLINE],
  ['deadline shorter than wait and job', { remainingMs: 205 }, RefusalReason.DEADLINE],
  ['full queue', {}, RefusalReason.QUEUE_FULL],
])('refuses immediately: %s', async (_name, fields, reason) => {
  const { clock, refused, submit } = createHarness({ maxWaiting: 2 });
  for (let count = 0; count < 3; count += 1) submit({});
  submit(fields);
  await clock.advance(0);
  expect(refused).toEqual([reason]);
});

// Guards against running a job that can no longer meet its deadline after its wait.
test('refuses a job at its start if earlier jobs took longer than estimated', async () => {
  const { clock, started, refused, submit } = createHarness();
  submit({}, 3);
  submit({ remainingMs: 350 });
  await clock.advance(400);
  expect({ started: started.length, refused }).toEqual({
    started: 1,
    refused: [RefusalReason.DEADLINE],
  });
});

// Guards against a cancelled request that still occupies a slot.
test('removes a cancelled job from the queue', async () => {
  const { clock, queue, started, submit } = createHarness();
  const source = createCancellationSource();
  submit({});
  submit({}, 1, source.token);
  await clock.advance(10);
  source.cancel();
  await clock.advance(500);
  expect([queue.waiting, queue.running, started.length]).toEqual([0, 0, 1]);
});

// Guards against jobs of one class that miss their deadline because of arrival order, and against
// high priority jobs that wait behind low priority ones.
test('orders by priority class, then by deadline', async () => {
  const { clock, started, submit } = createHarness();
  submit({});
  submit({ remainingMs: 9_000 });
  submit({ remainingMs: 5_000 });
  submit({ remainingMs: 20_000, priority: 1 });
  await clock.advance(500);
  expect(started.slice(1).map(({ remainingMs }) => remainingMs)).toEqual([20_000, 5_000, 9_000]);
});

// Guards against low priority jobs that starve under a steady stream of high priority jobs.
test('aging bounds the wait of a low priority job', async () => {
  const { clock, started, submit } = createHarness();
  submit({});
  submit({ priority: -2 });
  for (let step = 0; step < 200; step += 1) {
    submit({ priority: 1 });
    submit({ priority: 1 });
    await clock.advance(100);
  }
  const low = started.find(({ priority }) => priority === -2);
  expect(low?.at).toBeLessThanOrEqual(2 * (3 + 1) * agingMs);
});

// Guards against prefills that delay each other, and against a stuck prefill that blocks the rest.
test('limits concurrent prefills and does not count overdue ones', async () => {
  const { clock, queue, started, submit } = createHarness({ slots: 8 });
  for (let count = 0; count < 3; count += 1) submit({ prefillMs: 100 }, 50);
  submit({ prefillMs: 5 }, 50);
  await clock.advance(500);
  expect(started.map(({ prefillMs }) => prefillMs)).toEqual([100, 100, 5]);
  await clock.advance(500);
  queue.poll();
  await clock.advance(0);
  expect(started).toHaveLength(4);
});

// Guards against a team that gets more than its weight by sending more or larger requests.
test('serves backlogged teams in proportion to their weights', async () => {
  const setting = fc.record({
    weights: fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 2, maxLength: 5 }),
    costs: fc.array(fc.integer({ min: 10, max: 100 }), { minLength: 20, maxLength: 40 }),
    slots: fc.integer({ min: 1, max: 6 }),
  });
  const property = fc.asyncProperty(setting, async ({ weights, costs, slots }) => {
    const teamWeight = (team: string): number => weights[Number(team)] as number;
    const { clock, started, submit } = createHarness({ slots, teamWeight });
    for (let round = 0; round < 80; round += 1) {
      for (const team of weights.keys()) {
        submit({ team: String(team), costMs: costs[(round * 3 + team) % costs.length] as number });
      }
    }
    await clock.advance(1_000);
    const served = weights.map(() => 0);
    // The first jobs started in order of arrival, because slots were free.
    for (const { team, costMs } of started.slice(slots)) {
      served[Number(team)] = (served[Number(team)] as number) + costMs / teamWeight(team);
    }
    expect(Math.max(...served) - Math.min(...served)).toBeLessThanOrEqual(100 * (slots + 2));
  });
  await fc.assert(property, { seed, numRuns: 30 });
});

// Guards against long jobs that occupy all slots, delay short ones, or starve.
test('long jobs are limited, yield to short ones and do not starve', async () => {
  const setting = fc.record({
    slots: fc.integer({ min: 2, max: 8 }),
    longAt: fc.array(fc.integer({ min: 10, max: 70 }), { minLength: 1, maxLength: 12 }),
    load: fc.integer({ min: 1, max: 2 }),
  });
  const property = fc.asyncProperty(setting, async ({ slots, longAt, load }) => {
    const { clock, started, submit } = createHarness({ slots, maxWaiting: 5_000 });
    for (let count = 0; count < 20; count += 1) submit({ costMs: 50 });
    await clock.advance(1_000);
    for (let step = 0; step < 80; step += 1) {
      for (const at of longAt) if (at === step) submit({ team: 'blue', costMs: 2_000 });
      // Lets the starts be recorded before more jobs arrive.
      await clock.advance(0);
      for (let count = 0; count < slots * load; count += 2) submit({ costMs: 50 });
      await clock.advance(25);
    }
    await clock.advance(100_000);
    const long = started.filter(({ costMs }) => costMs === 2_000);
    expect(long).toHaveLength(longAt.length);
    for (const [index, { at, waitingShort }] of long.entries()) {
      const runningBefore = long.slice(0, index).filter((other) => other.at + 2_000 > at);
      expect(runningBefore.length).toBeLessThan(longSlotLimit(slots));
      // While short jobs wait, a long job may start only if no other long job is running.
      if (waitingShort > 0) expect(runningBefore).toHaveLength(0);
    }
    const firstAt = 1_000 + Math.min(...longAt) * 25;
    expect((long[0]?.at ?? Infinity) - firstAt).toBeLessThanOrEqual(longStarvationThresholdMs + 50);
  });
  await fc.assert(property, { seed, numRuns: 20 });
});

// Guards against offers whose expected wait contradicts the order in which the queue starts jobs.
test('the forecast equals the actual wait when no job arrives later', async () => {
  const job = fc.record({
    team: fc.constantFrom('red', 'blue', 'green'),
    priority: fc.integer({ min: -2, max: 2 }),
    costMs: fc.constantFrom(20, 30, 50, 80, 2_000),
    remainingMs: fc.constantFrom(1_500, 6_000, 1e9),
  });
  const setting = fc.record({
    slots: fc.integer({ min: 1, max: 5 }),
    jobs: fc.array(job, { minLength: 10, maxLength: 60 }),
  });
  const property = fc.asyncProperty(setting, async ({ slots, jobs }) => {
    const { clock, queue, started, submit } = createHarness({ slots });
    for (const fields of jobs) submit(fields);
    await clock.advance(130);
    const last: QueuedJob = { team: 'last', priority: 0, costMs: 40, remainingMs: 1e9 };
    const at = clock.now() + queue.expectedWaitMs(last);
    submit(last);
    await clock.advance(100_000);
    expect(started.find(({ team }) => team === 'last')?.at).toBeCloseTo(at, 6);
  });
  await fc.assert(property, { seed, numRuns: 100 });
});

/** Returns how many requests end on time in 20 s at a multiple of the capacity. */
async function serveOverload(load: number): Promise<number> {
  const random = createSeededRandom(seed);
  const harness = createHarness({ slots: 4 });
  const meanCostMs = 100;
  const end = 20_000;
  while (harness.clock.now() < end) {
    const costMs = 50 + 100 * random.next();
    const team = `team-${random.integer(3)}`;
    harness.submit({ team, costMs, remainingMs: 1_000 }, 0.7 + 0.6 * random.next());
    const meanGapMs = meanCostMs / (4 * load);
    await harness.clock.advance(-Math.log(1 - random.next()) * meanGapMs);
  }
  return harness.onTime;
}

// Guards against congestion collapse, where all requests wait so long that none ends on time.
test('the number of requests on time stays near capacity under overload', async () => {
  const atCapacity = await serveOverload(1);
  for (const load of [1.5, 2, 3]) {
    expect(await serveOverload(load)).toBeGreaterThanOrEqual(0.95 * atCapacity);
  }
});
