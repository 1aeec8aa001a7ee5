import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import {
  AttemptState,
  type CallPart,
  CallPartSchema,
} from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createAttemptLog } from '../../src/idempotency/attempts.js';
import { createServiceWorker } from '../../src/idempotency/serviceworker.js';
import { createManualClock } from '../standins/clock.js';

/** Sends one attempt; returns the kind of the last part, for a failure its `notRun` flag. */
async function callWorker(worker: ReturnType<typeof startWorker>, remainingMs: number) {
  async function* parts(): AsyncGenerator<CallPart> {
    const head = { attemptId: 'a', team: 'red', incarnation: worker.incarnation, once: true };
    const value = { ...head, remainingMs };
    yield create(CallPartSchema, { part: { case: 'head', value } });
    yield create(CallPartSchema, { part: { case: 'end', value: {} } });
  }
  let last: CallPart['part'] | undefined;
  for await (const { part } of worker.call(parts(), noCancellation)) last = part;
  return last?.case === 'failure' ? `notRun ${last.value.notRun}` : last?.case;
}

function startWorker(onRun: () => void) {
  async function* empty() {
    yield new Uint8Array(0);
  }
  return createServiceWorker({
    clock: createManualClock(),
    log: createNullLogger(),
    slots: 2,
    service: {
      async send() {
        onRun();
        return { status: 200, headers: [], body: empty() };
      },
    },
  });
}

// Guards against a duplicate that runs after its first delivery was rejected as not-run.
test('a rejected, a never-run and a completed attempt are each refused from then on', async () => {
  let runs = 0;
  const rejecting = startWorker(() => (runs += 1));
  expect(await callWorker(rejecting, 0)).toBe('notRun true');
  expect(await callWorker(rejecting, 1_000)).toBe('notRun true');
  const queried = startWorker(() => (runs += 1));
  expect(queried.result('a', 'red').state).toBe(AttemptState.NEVER_RUN);
  expect(await callWorker(queried, 1_000)).toBe('notRun true');
  expect(runs).toBe(0);
  const running = startWorker(() => (runs += 1));
  expect(await callWorker(running, 1_000)).toBe('end');
  expect(await callWorker(running, 1_000)).toBe('notRun false');
  expect(running.result('a', 'blue').state).toBe(AttemptState.UNKNOWN);
  expect(runs).toBe(1);
});

// Guards against a dropped attempt that is reported as never run.
test('the attempt log drops the oldest completed id above its limit and reports it', () => {
  const log = createAttemptLog(createManualClock(), 2);
  for (const id of ['a', 'b', 'c']) log.add(id, 'red', AttemptState.COMPLETED);
  expect([log.find('a'), log.hasDroppedIds]).toEqual([undefined, true]);
});
