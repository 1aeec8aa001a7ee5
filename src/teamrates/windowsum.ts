import { type Clock } from '../base/clock.js';

/** Sum of amounts over a sliding window, exact to one slot: the partly covered slot counts. */
export interface WindowSum {
  /** Adds an amount; a negative one takes back an earlier one. */
  add(amount: number): void;
  sum(): number;
}

/** Slots of a window; the sum covers up to 1/32 more than the window. */
const slots = 32;

export function createWindowSum(clock: Clock, windowMs: number): WindowSum {
  const slotMs = windowMs / slots;
  const amounts = new Array<number>(slots + 1).fill(0);
  let newest = Math.floor(clock.now() / slotMs);

  /** Clears the slots that have begun since the last call. */
  const advance = (): void => {
    const current = Math.floor(clock.now() / slotMs);
    for (let steps = Math.min(current - newest, amounts.length); steps > 0; steps -= 1)
      amounts[(current - steps + 1) % amounts.length] = 0;
    newest = current;
  };

  return {
    add(amount) {
      advance();
      amounts[newest % amounts.length] = (amounts[newest % amounts.length] ?? 0) + amount;
    },
    sum() {
      advance();
      return Math.max(
        0,
        amounts.reduce((total, amount) => total + amount, 0),
      );
    },
  };
}
