import { createCancellationSource } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type DisposableStore } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type ConfigurationReplica } from '../configuration/replica.js';
import { type AgentDirectory } from '../membership/directory.js';
import { createOrderLease } from '../orders/lease.js';
import { createRolloutController } from '../orders/rollout.js';
import { createOrdersStore, type OrdersState } from '../orders/state.js';
import { type TablePort } from '../ports/table.js';

export interface OrdersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly instance: string;
  readonly replica: ConfigurationReplica;
  readonly directory: AgentDirectory;
}

/** Read access to orders, for every entry whether it holds the order lease or not. */
export interface OrdersView {
  /** Reads the progress of rollouts; returns undefined when the table fails or times out. */
  readState(): Promise<OrdersState | undefined>;
}

const readTimeoutMs = 1_000;

/** Starts to compete for the order lease, and the controller that runs rollouts under it. */
export function startOrders(options: OrdersOptions, resources: DisposableStore): OrdersView {
  const { clock, random, log, table, instance, replica, directory } = options;
  const lease = resources.add(createOrderLease({ clock, random, log, table, instance }));
  const store = createOrdersStore(table);
  resources.add(createRolloutController({ clock, log, lease, store, replica, directory }));
  return {
    async readState() {
      const cancellation = createCancellationSource();
      const timer = clock.setTimer(readTimeoutMs, () =>
        cancellation.cancel('reading the rollout state timed out'),
      );
      try {
        return (await store.read(cancellation.token)).state;
      } catch (err) {
        log.debug({ err: errMessage(err) }, 'rollout state could not be read');
        return undefined;
      } finally {
        timer.dispose();
        cancellation.dispose();
      }
    },
  };
}
