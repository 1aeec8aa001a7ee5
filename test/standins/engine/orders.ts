import { setTimeout as delay } from 'node:timers/promises';

/** Loads that run at once on the stand-ins of one site. */
export interface LoadGate {
  active: number;
  /** Most loads that ran at once. */
  most?: number;
}

/** Loads beyond this number slow each other down. */
const freeLoads = 2;

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
  /** Refuses orders whose fencing number is lower than one seen before. */
  readonly checksFencing: boolean;
  readonly loadMs: number;
  readonly gate: LoadGate;
  /** Weights version whose load fails. */
  readonly failingVersion?: string | undefined;
  readonly apply: (order: OrderBody) => void;
}

export interface OrderOutcome {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

/** Carries out orders; a load takes longer when more than two run at once on the site. */
export function createOrderHandler(options: OrderOptions) {
  const { checksFencing, loadMs, gate, failingVersion, apply } = options;
  let highest = 0n;

  return async (order: OrderBody): Promise<OrderOutcome> => {
    const number = BigInt(order.fencingNumber);
    if (checksFencing && number < highest) {
      return { outcome: 'fenced', message: `fencing number ${highest} was seen` };
    }
    if (number > highest) highest = number;
    if (order.action !== 'change-role') {
      gate.active += 1;
      gate.most = Math.max(gate.most ?? 0, gate.active);
      try {
        await delay(loadMs * Math.max(1, gate.active / freeLoads));
      } finally {
        gate.active -= 1;
      }
    }
    if (order.version === failingVersion) return { outcome: 'failed', message: 'disk error' };
    apply(order);
    return { outcome: 'done', message: '' };
  };
}
