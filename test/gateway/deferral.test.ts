import { describe, expect, it } from 'vitest';
import { recheckDelayMs, type DeferrableRequest, shouldDefer } from '../../src/gateway/deferral.js';
import { createSeededRandom } from '../../src/base/random.js';

const request: DeferrableRequest = {
  expectedMs: 200,
  objectiveMs: 400,
  waitedMs: 0,
  remainingMs: 4_000,
  outputTokens: 70,
};

/** Load of the test: prompts of 35 ms for one engine, 1.5 times what it reads, for four seconds. */
const readMs = 35;
const burstMs = 4_000;
const requests = 170;
const deadlineMs = 4_000;

interface Caller {
  readonly arrivedAt: number;
  answeredAt?: number;
}

/** Plays the burst against an engine that reads one prompt after the other. */
function play(defer: (sendable: DeferrableRequest) => boolean): { onTime: number; served: number } {
  const random = createSeededRandom(7);
  const callers: Caller[] = Array.from({ length: requests }, (_, index) => ({
    arrivedAt: (index * burstMs) / requests,
  }));
  const waiting: Caller[] = [];
  let freeAt = 0;
  let next = 0;
  for (let now = 0; now < burstMs + 2 * deadlineMs; now += 5) {
    for (; next < requests && (callers[next] as Caller).arrivedAt <= now; next += 1) {
      waiting.push(callers[next] as Caller);
    }
    for (const caller of [...waiting]) {
      // A waiting request looks again every 20 to 60 ms, in no order.
      if (caller.arrivedAt + 5 < now && random.integer(8) > 0) continue;
      const expectedMs = Math.max(0, freeAt - now) + readMs;
      const waitedMs = now - caller.arrivedAt;
      const remainingMs = deadlineMs - waitedMs;
      if (defer({ ...request, expectedMs, waitedMs, remainingMs })) continue;
      waiting.splice(waiting.indexOf(caller), 1);
      freeAt = now + expectedMs;
      caller.answeredAt = freeAt;
    }
  }
  let onTime = 0;
  let served = 0;
  for (const { arrivedAt, answeredAt = Infinity } of callers) {
    if (answeredAt - arrivedAt <= request.objectiveMs) onTime += 1;
    if (answeredAt - arrivedAt <= deadlineMs) served += 1;
  }
  return { onTime, served };
}

describe('waiting for room', () => {
  it.each<[string, Partial<DeferrableRequest>, boolean]>([
    ['sends what can be on time', {}, false],
    ['keeps back what is late while others can still be on time', { expectedMs: 500 }, true],
    ['counts the time that a request has waited', { waitedMs: 300 }, true],
    ['sends late ones once the engines are free', { waitedMs: 900, expectedMs: 100 }, false],
    [
      'sends a late one while its deadline still allows the answer',
      { expectedMs: 500, waitedMs: 1_500, remainingMs: 2_500 },
      false,
    ],
    [
      'does not keep back a long answer that needs its time',
      { expectedMs: 500, outputTokens: 900, remainingMs: 12_000 },
      false,
    ],
  ])('%s', (_name, changes, isDeferred) => {
    expect(shouldDefer({ ...request, ...changes })).toBe(isDeferred);
  });

  it('answers most requests of a burst on time where a plain queue makes nearly all late', () => {
    const plain = play(() => false);
    const deferring = play(shouldDefer);
    expect(plain.onTime / requests).toBeLessThan(0.35);
    expect(deferring.onTime / requests).toBeGreaterThan(0.55);
    // Nobody pays for it with a deadline that passes.
    expect(deferring.served).toBe(requests);
    expect(plain.served).toBe(requests);
  });
});

describe('requests that wait in one process', () => {
  it.each([1, 10, 50, 200])('look for room 60 times a second at most (%i requests)', (waiting) => {
    const random = createSeededRandom(waiting);
    let looksPerSecond = 0;
    for (let index = 0; index < waiting; index += 1) {
      let looks = 0;
      for (let at = 0; at < 60_000; looks += 1) {
        at += recheckDelayMs({ ...request, remainingMs: 60_000 }, waiting, random);
      }
      looksPerSecond += looks / 60;
    }
    expect(looksPerSecond).toBeLessThan(60);
  });

  it('look again before their deadline leaves no more time', () => {
    const random = createSeededRandom(1);
    // 2,500 ms less the expected time, 70 tokens and what is kept free: 220 ms.
    const pauseMs = recheckDelayMs({ ...request, remainingMs: 2_500 }, 100, random);
    expect(Math.round(pauseMs)).toBe(220);
  });
});
