import { expect, it } from 'vitest';
import { createRetryBudget, type RepeatKind } from '../../src/gateway/retrybudget.js';
import { createManualClock } from '../standins/clock.js';

const limits = { ratio: 0.2, slack: 50, windowMs: 10_000 };

const stepMs = 100;

/** The first repeats: a fault begins with the last of the requests that come together. */
const faultStep = 274;

// Guards against repeats that are paid with two bursts of requests, of which their window has one.
it.each<[RepeatKind, string, (step: number) => number]>([
  ['untried', 'bursts nine tenths of a window apart', (step) => (step % 90 < 5 ? 100 : 0)],
  ['continuation', 'bursts nine tenths of a window apart', (step) => (step % 90 < 5 ? 100 : 0)],
  ['untried', 'requests that end at once', (step) => (step < 275 ? 20 : 0)],
  ['continuation', 'requests that end at once', (step) => (step < 275 ? 20 : 0)],
  ['untried', 'alternating rates', (step) => (step % 100 < 50 ? 8 : 1)],
  ['continuation', 'alternating rates', (step) => (step % 100 < 50 ? 8 : 1)],
])('keeps %s repeats within the budget of every window with %s', async (kind, _name, rate) => {
  const clock = createManualClock();
  const budget = createRetryBudget({ clock, limits, gatewayCount: () => 1 });
  const requests: number[] = [];
  const repeats: number[] = [];
  const count = (times: readonly number[], from: number): number =>
    times.filter((at) => at > from && at <= from + limits.windowMs).length;
  for (let step = 0; step < 400; step += 1) {
    for (let sent = 0; sent < rate(step); sent += 1) {
      budget.deposit('s');
      requests.push(clock.now());
    }
    while (step >= faultStep && budget.tryWithdraw('s', kind).isAllowed) repeats.push(clock.now());
    await clock.advance(stepMs);
  }
  const excess: number[] = [];
  for (let end = 2 * limits.windowMs; end < clock.now(); end += stepMs) {
    const from = end - limits.windowMs;
    const before = [0, limits.windowMs / 2, limits.windowMs];
    const most = Math.max(...before.map((shiftMs) => count(requests, from - shiftMs)));
    excess.push(count(repeats, from) - (limits.ratio * most + limits.slack));
  }
  expect(Math.max(...excess)).toBeLessThanOrEqual(0);
});
