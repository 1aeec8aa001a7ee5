import { describe, expect, it } from 'vitest';
import { createRetryBudgets, type RetryBudget } from '../../src/limits/retrybudget.js';
import { createManualClock } from '../standins/clock.js';

function withdrawAll(budget: RetryBudget): number {
  let count = 0;
  while (budget.tryWithdraw()) count += 1;
  return count;
}

describe('retry budgets of an entry', () => {
  it('refuse a model extra attempts that requests for another one would pay for', () => {
    const budgets = createRetryBudgets(createManualClock());
    for (let count = 0; count < 1_000; count += 1) budgets.of('busy').deposit();
    for (let count = 0; count < 20; count += 1) budgets.of('quiet').deposit();
    expect(withdrawAll(budgets.of('quiet'))).toBeLessThanOrEqual(10 + 20 * 0.1);
    expect(withdrawAll(budgets.of('busy'))).toBe(50);
  });

  it('forget models that get no more requests', async () => {
    const clock = createManualClock();
    const budgets = createRetryBudgets(clock);
    for (let index = 0; index < 1_000; index += 1) {
      budgets.of(`model-${index}`).deposit();
      await clock.advance(6_000);
    }
    expect(budgets.size).toBeLessThanOrEqual(30);
  });
});
