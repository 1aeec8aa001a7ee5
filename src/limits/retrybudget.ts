import { type Clock } from '../base/clock.js';

/**
 * Budget of extra attempts of this entry. Retries and hedges together stay below a tenth of the
 * requests plus a small floor, so that a fault of many targets does not multiply the load.
 */
export interface RetryBudget {
  /** Extra attempts that may start now. */
  readonly available: number;
  /** Records one request of a caller. */
  deposit(): void;
  /** Takes one extra attempt; returns false when the budget is empty. */
  withdraw(): boolean;
  /**
   * Takes what is left for an attempt that must start, such as the continuation of a stream that
   * the caller has read in part. Fewer retries and hedges remain for other requests.
   */
  charge(): void;
}

/** Extra attempts that each request pays for. */
const depositPerRequest = 0.1;

/** Extra attempts per second regardless of the requests, so that a quiet entry can retry too. */
const refillPerSecond = 1;

/** Unused budget that is kept. It bounds the burst after a quiet time. */
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
    withdraw() {
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
