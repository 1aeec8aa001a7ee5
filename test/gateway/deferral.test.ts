import { describe, expect, it } from 'vitest';
import {
  decideDeferral,
  type DeferrableRequest,
  type DeferralDecision,
  recheckDelayMs,
  shouldDefer,
} from '../../src/gateway/deferral.js';
import { createSeededRandom } from '../../src/base/random.js';

const request: DeferrableRequest = {
  expectedMs: 200,
  objectiveMs: 400,
  tightestObjectiveMs: 400,
  waitedMs: 0,
  patienceMs: Infinity,
  remainingMs: 4_000,
  outputTokens: 70,
  crowdedTokenMs: 24 / 1.8,
};

/** Load: prompts of 35 ms for one engine, 1.5 times what it can prefill, for four seconds. */
const prefillMs = 35;
const burstMs = 4_000;
const requests = 170;
const deadlineMs = 4_000;

interface Caller {
  readonly arrivedAt: number;
  respondedAt?: number;
}

/** Simulates the burst against an engine that prefills one prompt after the other. */
function simulateBurst(defer: (candidate: DeferrableRequest) => boolean): {
  onTime: number;
  served: number;
} {
  const random = createSeededRandom(7);
  const callers: Caller[] = Array.from({ length: requests }, (_, index) => ({
    arrivedAt: (index * burstMs) / requests,
  }));
  const deferred: Caller[] = [];
  let freeAt = 0;
  let next = 0;
  for (let now = 0; now < burstMs + 2 * deadlineMs; now += 5) {
    for (; next < requests && (callers[next] as Caller).arrivedAt <= now; next += 1) {
      deferred.push(callers[next] as Caller);
    }
    for (const caller of [...deferred]) {
      // A deferred request is rechecked every 20 to 60 ms, in random order.
      if (caller.arrivedAt + 5 < now && random.integer(8) > 0) continue;
      const expectedMs = Math.max(0, freeAt - now) + prefillMs;
      const waitedMs = now - caller.arrivedAt;
      const remainingMs = deadlineMs - waitedMs;
      if (defer({ ...request, expectedMs, waitedMs, remainingMs })) continue;
      deferred.splice(deferred.indexOf(caller), 1);
      freeAt = now + expectedMs;
      caller.respondedAt = freeAt;
    }
  }
  let onTime = 0;
  let served = 0;
  for (const { arrivedAt, respondedAt = Infinity } of callers) {
    if (respondedAt - arrivedAt <= request.objectiveMs) onTime += 1;
    if (respondedAt - arrivedAt <= deadlineMs) served += 1;
  }
  return { onTime, served };
}

describe('shouldDefer', () => {
  it.each<[string, Partial<DeferrableRequest>, boolean]>([
    ['sends a request that can be on time', {}, false],
    ['defers a late request while others can still be on time', { expectedMs: 500 }, true],
    ['includes the time that a request has waited', { waitedMs: 300 }, true],
    ['sends late requests once the engines are idle', { waitedMs: 900, expectedMs: 100 }, false],
    [
      'sends a late request while its deadline still allows the response',
      { expectedMs: 500, waitedMs: 1_500, remainingMs: 2_500 },
      false,
    ],
    [
      'does not defer a long response that needs its remaining time',
      { expectedMs: 500, outputTokens: 900, remainingMs: 12_000 },
      false,
    ],
  ])('%s', (_name, changes, isDeferred) => {
    expect(shouldDefer({ ...request, ...changes })).toBe(isDeferred);
  });

  // Without deferral each request of a burst queues behind all earlier ones.
  it('serves most requests of a burst on time where a plain queue makes nearly all late', () => {
    const plain = simulateBurst(() => false);
    const deferring = simulateBurst(shouldDefer);
    expect(plain.onTime / requests).toBeLessThan(0.35);
    expect(deferring.onTime / requests).toBeGreaterThan(0.55);
    // Deferral makes no request miss its deadline.
    expect(deferring.served).toBe(requests);
    expect(plain.served).toBe(requests);
  });
});

describe('decideDeferral', () => {
  const roomy = { deferred: 0, roomPerMs: 0.01 };
  const late: DeferrableRequest = { ...request, expectedMs: 900, patienceMs: 2_400 };

  it.each<[string, DeferrableRequest, boolean, number, DeferralDecision]>([
    ['defers a late request for which there will be room', late, false, 0, 'defer'],
    ['refuses it on arrival when too many wait already', late, false, 50, 'refuse'],
    ['keeps a deferred one whatever the number', { ...late, waitedMs: 100 }, true, 50, 'defer'],
    [
      'refuses a deferred one in time for its caller to return',
      { ...late, waitedMs: 1_600 },
      true,
      0,
      'refuse',
    ],
    [
      'sends a deferred one for which there is room',
      { ...late, expectedMs: 120 },
      true,
      50,
      'send',
    ],
    [
      'lets a route with a loose objective wait although it would be on time',
      { ...late, objectiveMs: 1_200 },
      false,
      0,
      'defer',
    ],
    [
      'sends a long response that has no time to wait',
      { ...late, outputTokens: 900, remainingMs: 9_000 },
      false,
      0,
      'send',
    ],
    [
      'refuses a request that can not begin before its caller leaves',
      { ...late, expectedMs: 2_600 },
      false,
      0,
      'refuse',
    ],
  ])('%s', (_name, candidate, isDeferred, deferred, expected) => {
    expect(decideDeferral(candidate, isDeferred, { ...roomy, deferred })).toBe(expected);
  });
});

// Rechecks of many deferred requests must not use up the CPU of a small process.
describe('recheckDelayMs', () => {
  it.each([1, 10, 50, 200])(
    'allows fewer than 60 rechecks a second (%i deferred requests)',
    (deferredCount) => {
      const random = createSeededRandom(deferredCount);
      let rechecksPerSecond = 0;
      for (let index = 0; index < deferredCount; index += 1) {
        let rechecks = 0;
        for (let at = 0; at < 60_000; rechecks += 1) {
          at += recheckDelayMs({ ...request, remainingMs: 60_000 }, deferredCount, random);
        }
        rechecksPerSecond += rechecks / 60;
      }
      expect(rechecksPerSecond).toBeLessThan(60);
    },
  );

  it('schedules the recheck before the deadline leaves too little time', () => {
    const random = createSeededRandom(1);
    // 2,500 ms less the expected time, 70 tokens and the reserved time: 220 ms.
    const delayMs = recheckDelayMs({ ...request, remainingMs: 2_500 }, 100, random);
    expect(Math.round(delayMs)).toBe(220);
  });
});
