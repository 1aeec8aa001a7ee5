import { describe, expect, it } from 'vitest';
import {
  createRetryBudget,
  type RepeatKind,
  type RetryBudget,
} from '../../src/gateway/retrybudget.js';
import { createManualClock } from '../standins/clock.js';

const limits = { ratio: 0.2, slack: 50, windowMs: 10_000 };

function withdrawAll(budget: RetryBudget, kind: RepeatKind = 'untried'): number {
  let count = 0;
  while (budget.tryWithdraw('s', kind).isAllowed) count += 1;
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

  it.each<RepeatKind>(['continuation', 'untried', 'further-round'])(
    'never exceeds the limit in any window with %s while the request rate varies',
    async (kind) => {
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
        while (budget.tryWithdraw('s', kind).isAllowed) retries.push(clock.now());
        await clock.advance(100);
        const since = (times: readonly number[], spanMs: number): number =>
          times.filter((at) => clock.now() - at <= spanMs).length;
        const allowed = since(requests, 2 * limits.windowMs) * limits.ratio + limits.slack;
        expect(since(retries, limits.windowMs)).toBeLessThanOrEqual(allowed);
      }
    },
  );

  it('refuses the least useful repeats first, and continuations at the limit', () => {
    const clock = createManualClock();
    const budget = createRetryBudget({ clock, limits, gatewayCount: () => 1 });
    for (let count = 0; count < 1_000; count += 1) budget.deposit('s');
    const counts = (['further-round', 'untried', 'continuation'] as const).map((kind) =>
      withdrawAll(budget, kind),
    );
    expect(counts).toEqual([80, 80, 53]);
    expect(withdrawAll(budget, 'untried')).toBe(0);
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

  it('gives a gateway none of the fixed number while it does not know its peers', async () => {
    const clock = createManualClock();
    let gateways: number | undefined;
    const budget = createRetryBudget({ clock, limits, gatewayCount: () => gateways });
    await clock.advance(2 * limits.windowMs);
    for (let count = 0; count < 50; count += 1) budget.deposit('s');
    expect(withdrawAll(budget)).toBeLessThanOrEqual(50 * limits.ratio);
    gateways = 5;
    expect(withdrawAll(budget)).toBeGreaterThan(0);
  });

  it('lets a gateway that has just started continue streams', () => {
    const clock = createManualClock();
    const budget = createRetryBudget({ clock, limits, gatewayCount: () => 1 });
    const counts = (['untried', 'continuation'] as const).map((kind) => withdrawAll(budget, kind));
    expect(counts).toEqual([0, Math.floor(0.95 * 0.5 * limits.slack)]);
  });

  it('does not use the fixed number again when gateways restart within a window', async () => {
    const clock = createManualClock();
    const start = () => createRetryBudget({ clock, limits, gatewayCount: () => 1 });
    const first = start();
    await clock.advance(limits.windowMs);
    let retries = withdrawAll(first);
    expect(retries).toBeGreaterThan(0);
    for (let restart = 0; restart < 3; restart += 1) {
      await clock.advance(limits.windowMs / 4);
      retries += withdrawAll(start());
    }
    expect(retries).toBeLessThanOrEqual(limits.slack);
  });
});
