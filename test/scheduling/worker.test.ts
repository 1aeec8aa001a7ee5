import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { createCancellationSource } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import {
  DispatchRequestSchema,
  OfferRequestSchema,
  RefusalReason,
  type StreamFailure,
} from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createEngineWorker, type EngineWorker } from '../../src/scheduling/worker.js';
import { createManualClock, type ManualClock } from '../standins/clock.js';
import { createEngineModel, type EngineModel, type ModelBody } from '../standins/enginemodel.js';

interface RequestSpec {
  readonly blocks: readonly bigint[];
  /** Output tokens that the caller allows; `output` is the number that the engine produces. */
  readonly allowed?: number;
  readonly output?: number;
  readonly remainingMs?: number;
  readonly fails?: boolean;
}

interface Outcome {
  firstTokenAt: number;
  endAt: number;
  failure: StreamFailure | undefined;
}

/** Returns the blocks of a shared prefix, followed by blocks of one prompt only. */
function blockChain(shared: number, own: number, prompt: number): readonly bigint[] {
  const prefix = Array.from({ length: shared }, (_, index) => BigInt(index + 1));
  const rest = Array.from({ length: own }, (_, index) => BigInt(1_000 * (prompt + 1) + index));
  return [...prefix, ...rest];
}

function startWorker(engine: EngineModel, clock: ManualClock): EngineWorker {
  return createEngineWorker({ clock, log: createNullLogger(), engine, target: 't' });
}

type Harness = Awaited<ReturnType<typeof createHarness>>;

async function createHarness(slots = 4) {
  const clock = createManualClock();
  const engine = createEngineModel(clock, { places: slots });
  const worker = startWorker(engine, clock);
  await clock.advance(1);
  let requests = 0;
  const fieldsOf = ({ blocks, allowed = 10, remainingMs = 60_000 }: RequestSpec) => ({
    ...{ team: 'red', model: 'm', outputTokens: allowed, remainingMs },
    ...{ blockHashes: [...blocks], promptTokens: blocks.length * 128 },
  });
  const offerRequestOf = (spec: RequestSpec) => {
    const blockDepths = spec.blocks.map((_, index) => index + 1);
    return create(OfferRequestSchema, { ...fieldsOf(spec), blockDepths });
  };
  return {
    clock,
    engine,
    worker,
    offerRequestOf,
    offer: (spec: RequestSpec) => worker.offer(offerRequestOf(spec)),
    dispatch(spec: RequestSpec, reservationId = ''): Outcome {
      requests += 1;
      const outcome: Outcome = { firstTokenAt: 0, endAt: 0, failure: undefined };
      const blocks = spec.blocks.map(String);
      const body: ModelBody = { blocks, output: spec.output ?? 10, fails: spec.fails ?? false };
      const req = create(DispatchRequestSchema, {
        ...fieldsOf(spec),
        ...{ requestId: `r${requests}`, attempt: 1, reservationId, weightsVersion: 'v1' },
        body: Buffer.from(JSON.stringify(body)),
      });
      const read = async (): Promise<void> => {
        for await (const { part } of worker.dispatch(req, createCancellationSource().token)) {
          if (part.case === 'text') outcome.firstTokenAt ||= clock.now();
          if (part.case === 'failure') outcome.failure = part.value;
          if (part.case === 'end') outcome.endAt = clock.now();
        }
      };
      read().catch(() => undefined);
      return outcome;
    },
  };
}

// Guards against concurrent offer requests of entries that all get the same short expected wait.
test('concurrent offers account for each other in the expected first token', async () => {
  const { clock, offer, dispatch } = await createHarness();
  const at = clock.now();
  const specs = Array.from({ length: 16 }, (_, prompt) => ({ blocks: blockChain(0, 20, prompt) }));
  const offers = specs.map((spec) => offer(spec));
  const outcomes = specs.map((spec, index) => dispatch(spec, offers[index]?.reservationId));
  await clock.advance(20_000);
  const promisedDelays = offers.map(({ expectedFirstTokenMs = 0 }) => expectedFirstTokenMs);
  const actualDelays = outcomes.map(({ firstTokenAt }) => firstTokenAt - at);
  expect(new Set(promisedDelays).size).toBe(16);
  // A later request that runs concurrently delays a request by at most its own prefill of 200 ms.
  for (const [index, promisedMs] of promisedDelays.entries()) {
    const lateMs = (actualDelays[index] as number) - promisedMs;
    expect(lateMs).toBeGreaterThanOrEqual(0);
    expect(lateMs).toBeLessThanOrEqual(200);
  }
});

// Guards against an index that stays outdated because its event stream delivers nothing, and
// against reopening a stream whose event arrived long before the response ended.
test('reopens a cache event stream that delivers no events', async () => {
  const { clock, engine, offer, dispatch } = await createHarness();
  const cachedAfter = async (prompt: number, output: number): Promise<number | undefined> => {
    dispatch({ blocks: blockChain(0, 20, prompt), output, allowed: output });
    await clock.advance(10_000);
    return offer({ blocks: blockChain(0, 20, prompt) }).cachedTokens;
  };
  const cachedTokens = [await cachedAfter(0, 400)];
  engine.stallEvents();
  cachedTokens.push(await cachedAfter(1, 10), await cachedAfter(2, 10));
  // The open stream delivers nothing, so the blocks of the second response come from a snapshot.
  expect(cachedTokens).toEqual([20 * 128, 20 * 128, 20 * 128]);
});

// Guards against an index that stays empty although the engine still caches its blocks.
test.each<[string, (harness: Harness) => Promise<EngineWorker>]>([
  ['a restart of the agent', async ({ engine, clock }) => startWorker(engine, clock)],
  [
    'a lost event',
    async ({ engine, clock, dispatch, worker }) => {
      for (const prompt of [1, 2]) {
        if (prompt === 1) engine.dropNextEvent();
        dispatch({ blocks: blockChain(0, 20, prompt) });
        // In total less than the timeout after which the stream is reopened anyway.
        await clock.advance(1_000);
      }
      return worker;
    },
  ],
  [
    'a period in which the engine does not respond',
    async ({ engine, clock, worker }) => {
      const { state } = engine;
      engine.state = () => Promise.reject(new Error('timed out'));
      await clock.advance(1_000);
      engine.state = state;
      return worker;
    },
  ],
])('the index contains all blocks after: %s', async (_name, injectFault) => {
  const harness = await createHarness();
  const { clock, dispatch, offerRequestOf } = harness;
  const spec = { blocks: blockChain(0, 20, 0) };
  dispatch(spec);
  await clock.advance(5_000);
  expect(harness.offer(spec).cachedTokens).toBe(20 * 128);
  const worker = await injectFault(harness);
  await clock.advance(1_000);
  expect(worker.offer(offerRequestOf(spec)).cachedTokens).toBe(20 * 128);
});

// Guards against computing the same prefix several times, and against offers that ignore a
// computation that is about to end.
test('requests with the same uncached prefix wait for the one that computes it', async () => {
  const { clock, engine, offer, dispatch } = await createHarness();
  const outcomes = [dispatch({ blocks: blockChain(40, 1, 0) })];
  await clock.advance(100);
  for (let prompt = 1; prompt < 6; prompt += 1) {
    outcomes.push(dispatch({ blocks: blockChain(40, 1, prompt) }));
  }
  await clock.advance(0);
  const { cachedTokens, expectedFirstTokenMs } = offer({ blocks: blockChain(40, 1, 9) });
  expect(cachedTokens).toBe(40 * 128);
  expect(expectedFirstTokenMs).toBeGreaterThan(300);
  expect(expectedFirstTokenMs).toBeLessThan(500);
  await clock.advance(5_000);
  expect(outcomes.every(({ endAt }) => endAt > 0)).toBe(true);
  expect(Math.round(engine.prefilledTokens)).toBe((40 + 6) * 128);
});

// Guards against requests that wait for a prefix whose computation failed.
test('waiting requests compute the prefix themselves when the first request fails', async () => {
  const { clock, engine, dispatch } = await createHarness();
  const failed = dispatch({ blocks: blockChain(40, 1, 0), fails: true });
  const others = [1, 2, 3].map((prompt) => dispatch({ blocks: blockChain(40, 1, prompt) }));
  await clock.advance(5_000);
  expect(failed.failure?.notRun).toBe(false);
  expect(others.every(({ endAt }) => endAt > 0)).toBe(true);
  expect(Math.round(engine.prefilledTokens)).toBeLessThan((40 + 4) * 128);
});

// Guards against refusals based on the allowed instead of the actual output length, before and
// after one was observed, and against a long observed output that gets all requests of a team
// refused, so that no observation corrects it.
test('the observed output length of a team is used and expires', async () => {
  const { clock, offer, dispatch } = await createHarness();
  const refusalOf = (allowed: number): RefusalReason =>
    offer({ allowed, blocks: blockChain(0, 1, 0), remainingMs: 3_000 }).refusal ??
    RefusalReason.UNSPECIFIED;
  const refusals = [refusalOf(1_000)];
  for (let round = 0; round < 3; round += 1) {
    dispatch({ allowed: 1_000, output: 500, blocks: blockChain(0, 1, 0) });
    await clock.advance(6_000);
  }
  refusals.push(refusalOf(1_000), refusalOf(100));
  await clock.advance(20_000);
  refusals.push(refusalOf(1_000));
  const { UNSPECIFIED, DEADLINE } = RefusalReason;
  expect(refusals).toEqual([UNSPECIFIED, DEADLINE, UNSPECIFIED, UNSPECIFIED]);
});

/** Returns how many requests end on time in 15 s at a multiple of the prefill capacity. */
async function serveOverload(load: number): Promise<number> {
  const { clock, dispatch } = await createHarness(8);
  const random = createSeededRandom(7);
  const outcomes: Outcome[] = [];
  while (clock.now() < 15_000) {
    const blocks = blockChain(0, 8, outcomes.length);
    const output = 10 + random.integer(20);
    outcomes.push(dispatch({ blocks, output, allowed: 200, remainingMs: 2_000 }));
    await clock.advance((-Math.log(1 - random.next()) * 80) / load);
  }
  await clock.advance(5_000);
  return outcomes.filter(({ endAt }) => endAt > 0).length;
}

// Guards against congestion collapse, where many prefills share the engine and all end late.
test('the number of requests on time stays near capacity with shared prefill', async () => {
  const atCapacity = await serveOverload(1);
  for (const load of [1.5, 3]) {
    expect(await serveOverload(load)).toBeGreaterThanOrEqual(0.95 * atCapacity);
  }
});

// Guards against a refusal by the queue that the entry can't distinguish from a failed run.
test('refuses a request that cannot end in time and reports it as not run', async () => {
  const { clock, engine, dispatch } = await createHarness();
  const outcome = dispatch({ blocks: blockChain(0, 40, 0), remainingMs: 300 });
  await clock.advance(0);
  const { failure } = outcome;
  expect(failure).toMatchObject({ notRun: true, refusal: RefusalReason.DEADLINE });
  expect([engine.peakRunning, failure?.retryAfterMs]).toEqual([0, 200]);
});
