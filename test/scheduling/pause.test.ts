import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { OfferRequestSchema, RefusalReason } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createEngineWorker } from '../../src/scheduling/worker.js';
import { createManualClock } from '../standins/clock.js';
import { createEngineModel } from '../standins/enginemodel.js';

async function createWorker(configuredSlots?: () => number | undefined) {
  const clock = createManualClock();
  const engine = createEngineModel(clock, { places: 4 });
  const log = createNullLogger();
  const worker = createEngineWorker({
    clock,
    log,
    engine,
    target: 't',
    configuredSlots,
  });
  await clock.advance(1);
  const offer = () => {
    const size = { promptTokens: 10, outputTokens: 1, remainingMs: 60_000 };
    return worker.offer(create(OfferRequestSchema, { team: 'red', model: 'm', ...size }));
  };
  return { clock, worker, offer };
}

// Guards against work that is accepted while an order changes the engine, and against a worker that
// stays paused, or that resumes when only one of two pauses has ended.
test('refuses new work until every pause has ended', async () => {
  const { clock, worker, offer } = await createWorker();
  const pauses = [worker.pause(), worker.pause()];
  const observed = [];
  for (const pause of [undefined, ...pauses]) {
    pause?.dispose();
    pause?.dispose();
    await clock.advance(1);
    const { refusal = RefusalReason.UNSPECIFIED } = offer();
    observed.push([RefusalReason[refusal], worker.status.targetDown, worker.status.paused]);
  }
  expect(observed).toEqual([
    ['LEAVING', true, true],
    ['LEAVING', true, true],
    ['UNSPECIFIED', false, false],
  ]);
});

// Guards against `places` of a target record that have no effect, or an effect after removal.
test('uses the configured number of slots while it is set, else that of the engine', async () => {
  let configured: number | undefined = 2;
  const { clock, worker } = await createWorker(() => configured);
  expect(worker.status.places).toBe(2);
  configured = undefined;
  await clock.advance(300);
  expect(worker.status.places).toBe(4);
});
