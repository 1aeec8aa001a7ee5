import { describe, expect, it } from 'vitest';
import { createRetryBudget } from '../../src/gateway/retrybudget.js';
import { createManualClock } from '../standins/clock.js';

const limits = { ratio: 0.2, slack: 50, windowMs: 10_000 };

function withdrawAll(budget: ReturnType<typeof createRetryBudget>): number {
  let count = 0;
  while (budget.tryWithdraw('s').isAllowed) count += 1;
  return count;
}

describe('createRetryBudget', () => {
  it('limits all gateways together to the ratio of all requests plus the slack', () => {
    const clock = createManualClock();
    const budgets = [1, 2, 3, 4, 5].map(() =>
      createRetryBudget({ clock, limits, gatewayCount: () => 5 }),
    );
    let retries = 0;
    for (const budget of budgets) {
      for (let count = 0; count < 100; count += 1) budget.deposit('s');
      retries += withdrawAll(budget);
    }
    expect(retries).toBeGreaterThan(0);
    expect(retries).toBeLessThanOrEqual(500 * limits.ratio + limits.slack);
  });

  it('never exceeds the limit in any window while the request rate varies', async () => {
    const clock = createManualClock();
    const budget = createRetryBudget({ clock, limits, gatewayCount: () => 1 });
    const retries: number[] = [];
    const requests: number[] = [];
    for (let step = 0; step < 300; step += 1) {
      const requestsPerStep = step % 100 < 50 ? 8 : 1;
      for (let count = 0; count < requestsPerStep; count += 1) {
        budget.deposit('s');
        requests.push(clock.now());
      }
      while (budget.tryWithdraw('s').isAllowed) retries.push(clock.now());
      await clock.advance(100);
      const since = (times: readonly number[], spanMs: number): number =>
        times.filter((at) => clock.now() - at <= spanMs).length;
      const allowed = since(requests, 2 * limits.windowMs) * limits.ratio + limits.slack;
      expect(since(retries, limits.windowMs)).toBeLessThanOrEqual(allowed);
    }
  });

  it('counts the retry of a stream even when the budget is exhausted', () => {
    const budget = createRetryBudget({ clock: createManualClock(), limits, gatewayCount: () => 1 });
    withdrawAll(budget);
    budget.charge('s');
    expect(budget.tryWithdraw('s').isAllowed).toBe(false);
  });

  it('refuses a service repeats that the requests of another one would pay for', () => {
    const clock = createManualClock();
    const budget = createRetryBudget({ clock, limits, gatewayCount: () => 1 });
    for (let count = 0; count < 1_000; count += 1) budget.deposit('busy');
    for (let count = 0; count < 50; count += 1) budget.deposit('s');
    expect(withdrawAll(budget)).toBeLessThanOrEqual(50 * limits.ratio + limits.slack);
  });

  it('forgets services that get no more requests', async () => {
    const clock = createManualClock();
    const budget = createRetryBudget({ clock, limits, gatewayCount: () => 1 });
    for (let index = 0; index < 1_000; index += 1) {
      budget.deposit(`service-${index}`);
      await clock.advance(limits.windowMs / 10);
    }
    expect(budget.size).toBeLessThanOrEqual(30);
  });
});
