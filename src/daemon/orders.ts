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

/** Orders as every entry sees them, whether it holds the lease or not. */
export interface OrdersView {
  /** Reads the progress of rollouts; undefined when the table gives no answer in time. */
  readState(): Promise<OrdersState | undefined>;
}

const readTimeoutMs = 1_000;

/** Starts the contest for the lease and the rollouts of its holder. */
export function startOrders(options: OrdersOptions, resources: DisposableStore): OrdersView {
  const { clock, random, log, table, instance, replica, directory } = options;
  const lease = resources.add(createOrderLease({ clock, random, log, table, instance }));
  const store = createOrdersStore(table);
  resources.add(createRolloutController({ clock, log, lease, store, replica, directory }));
  return {
    async readState() {
      const call = createCancellationSource();
      const timer = clock.setTimer(readTimeoutMs, () => call.cancel('orders read timed out'));
      try {
        return (await store.read(call.token)).state;
      } catch (err) {
        log.debug({ err: errMessage(err) }, 'rollout state is not readable');
        return undefined;
      } finally {
        timer.dispose();
        call.dispose();
      }
    },
  };
}
