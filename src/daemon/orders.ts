import { type Clock } from '../base/clock.js';
import { type DisposableStore } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type ConfigurationReplica } from '../configuration/replica.js';
import { type AgentDirectory } from '../membership/directory.js';
import { createOrderLease } from '../orders/lease.js';
import { createRolloutController, type RolloutController } from '../orders/rollout.js';
import { createOrdersStore } from '../orders/state.js';
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

/** Starts the contest for the lease and the rollouts of its holder. */
export function startOrders(options: OrdersOptions, resources: DisposableStore): RolloutController {
  const { clock, random, log, table, instance, replica, directory } = options;
  const lease = resources.add(createOrderLease({ clock, random, log, table, instance }));
  const store = createOrdersStore(table);
  return resources.add(createRolloutController({ clock, log, lease, store, replica, directory }));
}
