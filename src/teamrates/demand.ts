import { type Clock } from '../base/clock.js';

/** Requested cost per second of one team at this gateway, rejected requests included. */
export interface Demand {
  add(cost: number): void;
  perSecond(): number;
}

/**
 * Time constant of the mean. Bursts of a team last 5 s and more, and a gateway gets about one of its
 * requests a second.
 */
const meanMs = 1_000;

export function createDemand(clock: Clock): Demand {
  let value = 0;
  let updatedAt = clock.now();

  const decay = (): void => {
    const now = clock.now();
    value *= Math.exp((updatedAt - now) / meanMs);
    updatedAt = now;
  };

  return {
    add(cost) {
      decay();
      value += (cost * 1_000) / meanMs;
    },
    perSecond() {
      decay();
      return value;
    },
  };
}
