import { type Clock } from '../base/clock.js';

/**
 * Token bucket that limits extra attempts of this entry at one model. Retries, hedges and probes together stay
 * below a tenth of the requests plus 1 per second and a burst of 50, so that a fault of many
 * targets doesn't multiply load. Attempts that are charged, and the first retries after refusals
 * because of an outdated agent status, are not limited.
 */
export interface RetryBudget {
  /** Extra attempts that may start now. */
  readonly available: number;
  /** Records one request of a caller. */
  deposit(): void;
  /** Withdraws one extra attempt; returns false when the budget is empty. */
  tryWithdraw(): boolean;
  /**
   * Withdraws up to one extra attempt, for an attempt that must start, such as the continuation of
   * a stream that the caller has received in part. Fewer retries and hedges remain for others.
   */
  charge(): void;
}

/** Budgets of this entry, one for each model, so that no model pays for the faults of another. */
export interface RetryBudgets {
  /** Budget of a model, for use at once: it is dropped after a time without use. */
  of(model: string): RetryBudget;
  /** Number of models with a budget in memory. */
  readonly size: number;
}

/** Extra attempts that each request adds to the budget. */
const depositPerRequest = 0.1;

/** Extra attempts added per second, so that an entry with few requests can retry too. */
const refillPerSecond = 1;

/** Capacity of the budget, which bounds the burst after a time with few extra attempts. */
const maxBalance = 50;

const initialBalance = 10;

export function createRetryBudget(clock: Clock): RetryBudget {
  let balance = initialBalance;
  let updatedAt = clock.now();

  const refill = (): void => {
    const now = clock.now();
    const added = ((now - updatedAt) / 1_000) * refillPerSecond;
    balance = Math.min(maxBalance, balance + added);
    updatedAt = now;
  };

  return {
    get available() {
      refill();
      return Math.floor(balance);
    },
    deposit() {
      refill();
      balance = Math.min(maxBalance, balance + depositPerRequest);
    },
    tryWithdraw() {
      refill();
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
    charge() {
      refill();
      balance = Math.max(0, balance - 1);
    },
  };
}

/** Time without use after which a budget is dropped. A new one has a smaller balance by then. */
const maxIdleMs = 60_000;

export function createRetryBudgets(clock: Clock): RetryBudgets {
  const records = new Map<string, { readonly budget: RetryBudget; usedAt: number }>();
  let prunedAt = clock.now();

  const prune = (): void => {
    const now = clock.now();
    if (now - prunedAt < maxIdleMs) return;
    prunedAt = now;
    for (const [model, { usedAt }] of records) if (now - usedAt >= maxIdleMs) records.delete(model);
  };

  return {
    of(model) {
      prune();
      const record = records.get(model) ?? { budget: createRetryBudget(clock), usedAt: 0 };
      record.usedAt = clock.now();
      records.set(model, record);
      return record.budget;
    },
    get size() {
      return records.size;
    },
  };
}
