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

interface Ask {
  readonly blocks: readonly bigint[];
  /** Output that the caller allows, and the one that the engine produces. */
  readonly allowed?: number;
  readonly output?: number;
  readonly remainingMs?: number;
  readonly fails?: boolean;
}

interface Answer {
  firstTokenAt: number;
  endAt: number;
  failure: StreamFailure | undefined;
}

/** Blocks of a shared prefix followed by blocks of one prompt. */
function chain(shared: number, own: number, prompt: number): readonly bigint[] {
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
  const fieldsOf = ({ blocks, allowed = 10, remainingMs = 60_000 }: Ask) => ({
    ...{ team: 'red', model: 'm', outputTokens: allowed, remainingMs },
    ...{ blockHashes: [...blocks], promptTokens: blocks.length * 128 },
  });
  const offerOf = (ask: Ask) => {
    const blockDepths = ask.blocks.map((_, index) => index + 1);
    return create(OfferRequestSchema, { ...fieldsOf(ask), blockDepths });
  };
  return {
    clock,
    engine,
    worker,
    offerOf,
    offer: (ask: Ask) => worker.offer(offerOf(ask)),
    dispatch(ask: Ask, reservationId = ''): Answer {
      requests += 1;
      const answer: Answer = { firstTokenAt: 0, endAt: 0, failure: undefined };
      const blocks = ask.blocks.map(String);
      const body: ModelBody = { blocks, output: ask.output ?? 10, fails: ask.fails ?? false };
      const req = create(DispatchRequestSchema, {
        ...fieldsOf(ask),
        ...{ requestId: `r${requests}`, attempt: 1, reservationId, weightsVersion: 'v1' },
        body: Buffer.from(JSON.stringify(body)),
      });
      const read = async (): Promise<void> => {
        for await (const { part } of worker.dispatch(req, createCancellationSource().token)) {
          if (part.case === 'text') answer.firstTokenAt ||= clock.now();
          if (part.case === 'failure') answer.failure = part.value;
          if (part.case === 'end') answer.endAt = clock.now();
        }
      };
      read().catch(() => undefined);
      return answer;
    },
  };
}

// Guards against entries that ask at the same moment and are all promised the same short wait.
test('offers to many entries at once stay truthful', async () => {
  const { clock, offer, dispatch } = await createHarness();
  const at = clock.now();
  const asks = Array.from({ length: 16 }, (_, prompt) => ({ blocks: chain(0, 20, prompt) }));
  const offers = asks.map((ask) => offer(ask));
  const answers = asks.map((ask, index) => dispatch(ask, offers[index]?.reservationId));
  await clock.advance(20_000);
  const promised = offers.map(({ expectedFirstTokenMs = 0 }) => expectedFirstTokenMs);
  const actual = answers.map(({ firstTokenAt }) => firstTokenAt - at);
  expect(new Set(promised).size).toBe(16);
  // A request that starts later beside it delays a request by at most its own prefill of 200 ms.
  for (const [index, promisedMs] of promised.entries()) {
    const lateMs = (actual[index] as number) - promisedMs;
    expect(lateMs).toBeGreaterThanOrEqual(0);
    expect(lateMs).toBeLessThanOrEqual(200);
  }
});

// Guards against an index that stays wrong because its event connection went silent, and against
// replacing a connection whose event came long before the answer ended.
test('a silent cache event stream is replaced', async () => {
  const { clock, engine, offer, dispatch } = await createHarness();
  const cachedAfter = async (prompt: number, output: number): Promise<number | undefined> => {
    dispatch({ blocks: chain(0, 20, prompt), output, allowed: output });
    await clock.advance(10_000);
    return offer({ blocks: chain(0, 20, prompt) }).cachedTokens;
  };
  const seen = [await cachedAfter(0, 400)];
  engine.silenceEvents();
  seen.push(await cachedAfter(1, 10), await cachedAfter(2, 10));
  // The silent stream brings nothing, so the second answer is known from a snapshot.
  expect(seen).toEqual([20 * 128, 20 * 128, 20 * 128]);
});

// Guards against an index that stays empty although the engine still holds its blocks.
test.each<[string, (harness: Harness) => Promise<EngineWorker>]>([
  ['the agent started again', async ({ engine, clock }) => startWorker(engine, clock)],
  [
    'an event was lost',
    async ({ engine, clock, dispatch, worker }) => {
      for (const prompt of [1, 2]) {
        if (prompt === 1) engine.loseEvent();
        dispatch({ blocks: chain(0, 20, prompt) });
        // Together less than the silence after which the stream is replaced anyway.
        await clock.advance(1_000);
      }
      return worker;
    },
  ],
  [
    'the engine did not answer for a while',
    async ({ engine, clock, worker }) => {
      const { state } = engine;
      engine.state = () => Promise.reject(new Error('timed out'));
      await clock.advance(1_000);
      engine.state = state;
      return worker;
    },
  ],
])('the index holds all blocks after: %s', async (_name, disturb) => {
  const harness = await createHarness();
  const { clock, dispatch, offerOf } = harness;
  const ask = { blocks: chain(0, 20, 0) };
  dispatch(ask);
  await clock.advance(5_000);
  expect(harness.offer(ask).cachedTokens).toBe(20 * 128);
  const worker = await disturb(harness);
  await clock.advance(1_000);
  expect(worker.offer(offerOf(ask)).cachedTokens).toBe(20 * 128);
});

// Guards against the same prefix being computed several times, and against offers that ignore a
// computation which is about to end.
test('requests with the same missing prefix follow the one that computes it', async () => {
  const { clock, engine, offer, dispatch } = await createHarness();
  const answers = [dispatch({ blocks: chain(40, 1, 0) })];
  await clock.advance(100);
  for (let prompt = 1; prompt < 6; prompt += 1) {
    answers.push(dispatch({ blocks: chain(40, 1, prompt) }));
  }
  await clock.advance(0);
  const { cachedTokens, expectedFirstTokenMs } = offer({ blocks: chain(40, 1, 9) });
  expect(cachedTokens).toBe(40 * 128);
  expect(expectedFirstTokenMs).toBeGreaterThan(300);
  expect(expectedFirstTokenMs).toBeLessThan(500);
  await clock.advance(5_000);
  expect(answers.every(({ endAt }) => endAt > 0)).toBe(true);
  expect(Math.round(engine.prefilledTokens)).toBe((40 + 6) * 128);
});

// Guards against followers that wait for a prefix whose computation failed.
test('followers compute the prefix themselves when the first request fails', async () => {
  const { clock, engine, dispatch } = await createHarness();
  const failed = dispatch({ blocks: chain(40, 1, 0), fails: true });
  const others = [1, 2, 3].map((prompt) => dispatch({ blocks: chain(40, 1, prompt) }));
  await clock.advance(5_000);
  expect(failed.failure?.notRun).toBe(false);
  expect(others.every(({ endAt }) => endAt > 0)).toBe(true);
  expect(Math.round(engine.prefilledTokens)).toBeLessThan((40 + 4) * 128);
});

// Guards against refusals that take the allowed output length for the real one, before and after
// it is known, and against a long output that locks a team out since nothing corrects it.
test('the output length of a team is learned and forgotten', async () => {
  const { clock, offer, dispatch } = await createHarness();
  const refusalOf = (allowed: number): RefusalReason =>
    offer({ allowed, blocks: chain(0, 1, 0), remainingMs: 3_000 }).refusal ??
    RefusalReason.UNSPECIFIED;
  const seen = [refusalOf(1_000)];
  for (let round = 0; round < 3; round += 1) {
    dispatch({ allowed: 1_000, output: 500, blocks: chain(0, 1, 0) });
    await clock.advance(6_000);
  }
  seen.push(refusalOf(1_000), refusalOf(100));
  await clock.advance(20_000);
  seen.push(refusalOf(1_000));
  const { UNSPECIFIED, DEADLINE } = RefusalReason;
  expect(seen).toEqual([UNSPECIFIED, DEADLINE, UNSPECIFIED, UNSPECIFIED]);
});

/** Returns how many requests end on time in 15 s at a multiple of the prefill capacity. */
async function serveOverload(load: number): Promise<number> {
  const { clock, dispatch } = await createHarness(8);
  const random = createSeededRandom(7);
  const answers: Answer[] = [];
  while (clock.now() < 15_000) {
    const blocks = chain(0, 8, answers.length);
    const output = 10 + random.integer(20);
    answers.push(dispatch({ blocks, output, allowed: 200, remainingMs: 2_000 }));
    await clock.advance((-Math.log(1 - random.next()) * 80) / load);
  }
  await clock.advance(5_000);
  return answers.filter(({ endAt }) => endAt > 0).length;
}

// Guards against a collapse in which many prefills share the engine and all of them end late.
test('service on time stays near capacity with shared prefill', async () => {
  const atCapacity = await serveOverload(1);
  for (const load of [1.5, 3]) {
    expect(await serveOverload(load)).toBeGreaterThanOrEqual(0.95 * atCapacity);
  }
});

// Guards against a refusal in the queue that the entry can't tell from a failed run.
test('a request that cannot end in time is refused as not run', async () => {
  const { clock, engine, dispatch } = await createHarness();
  const answer = dispatch({ blocks: chain(0, 40, 0), remainingMs: 300 });
  await clock.advance(0);
  const { failure } = answer;
  expect(failure).toMatchObject({ notRun: true, refusal: RefusalReason.DEADLINE });
  expect([engine.mostRunning, failure?.retryAfterMs]).toEqual([0, 200]);
});
