import { setTimeout as delay } from 'node:timers/promises';

/** Number of loads that run concurrently on the stand-ins of one site. */
export interface LoadCounter {
  active: number;
  /** Highest value of `active` so far. */
  peak?: number;
}

/** Number of concurrent loads up to which they do not slow each other down. */
const fullSpeedLoads = 2;

export interface OrderBody {
  readonly fencingNumber: string;
  readonly orderId: string;
  readonly action: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly role: string;
}

export interface OrderOptions {
  /** Whether orders with a fencing number below the highest received one are refused. */
  readonly checksFencing: boolean;
  readonly loadMs: number;
  readonly loadCounter: LoadCounter;
  /** Weights version whose load fails. */
  readonly failingVersion?: string | undefined;
  readonly apply: (order: OrderBody) => void;
}

export interface OrderOutcome {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

/** Creates the order handler; loads take longer when more than two run at once on the site. */
export function createOrderHandler(options: OrderOptions) {
  const { checksFencing, loadMs, loadCounter, failingVersion, apply } = options;
  let highestFencingNumber = 0n;

  return async (order: OrderBody): Promise<OrderOutcome> => {
    const fencingNumber = BigInt(order.fencingNumber);
    if (checksFencing && fencingNumber < highestFencingNumber) {
      return {
        outcome: 'fenced',
        message: `fencing number ${highestFencingNumber} was already received`,
      };
    }
    if (fencingNumber > highestFencingNumber) highestFencingNumber = fencingNumber;
    if (order.action !== 'change-role') {
      loadCounter.active += 1;
      loadCounter.peak = Math.max(loadCounter.peak ?? 0, loadCounter.active);
      try {
        await delay(loadMs * Math.max(1, loadCounter.active / fullSpeedLoads));
      } finally {
        loadCounter.active -= 1;
      }
    }
    if (order.version === failingVersion) return { outcome: 'failed', message: 'disk error' };
    apply(order);
    return { outcome: 'done', message: '' };
  };
}
