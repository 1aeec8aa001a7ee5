import { type CancellationToken } from '../base/cancellation.js';
import { type TableItem, type TablePort } from '../ports/table.js';

/** A load of weights or an adapter, assigned to one target, which may not have started it yet. */
export interface LoadSlot {
  readonly rollout: string;
  readonly target: string;
  readonly orderId: string;
  readonly version: string;
}

/** Progress of one rollout. */
export interface RolloutState {
  readonly name: string;
  /** Desired version from the rollout record. */
  readonly version: string;
  readonly phase: 'running' | 'completed' | 'rolling-back' | 'rolled-back';
  /** Weights version of each target before the rollout changed it, also for an adapter. */
  readonly previous: Readonly<Record<string, string>>;
  readonly message: string;
}

/** Progress of all rollouts, written by the holder of the order lease. */
export interface OrdersState {
  readonly fencingNumber: number;
  readonly slots: readonly LoadSlot[];
  readonly rollouts: Readonly<Record<string, RolloutState>>;
}

/** State with the version of its row. */
export interface VersionedState {
  readonly state: OrdersState;
  readonly version: number;
}

/** Stores the progress of rollouts in the table, so that any instance can continue them. */
export interface OrdersStore {
  read(token: CancellationToken): Promise<VersionedState>;
  /** Returns false when another process has written the row since it had this version. */
  write(state: OrdersState, version: number, token: CancellationToken): Promise<boolean>;
}

const stateKey = { partition: 'orders', sort: 'state' } as const;

const emptyState: OrdersState = { fencingNumber: 0, slots: [], rollouts: {} };

function parseState(item: TableItem | undefined): VersionedState {
  if (!item) return { state: emptyState, version: 0 };
  return { state: JSON.parse(item.value) as OrdersState, version: item.version };
}

export function createOrdersStore(table: TablePort): OrdersStore {
  return {
    read: async (token) => parseState(await table.get(stateKey, token)),
    async write(state, version, token) {
      const value = JSON.stringify(state);
      const write = { ...stateKey, value, condition: { version } };
      return (await table.transact([write], token)) === 'committed';
    },
  };
}
