import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type EngineOrder, type EnginePort } from '../ports/engine.js';
import { type TablePort } from '../ports/table.js';
import { leaseKey, parseLease } from './lease.js';

/** Result of an order as the agent reports it. */
export interface OrderOutcome {
  readonly outcome: 'running' | 'done' | 'failed' | 'fenced' | 'not-ready';
  readonly message: string;
  readonly highestFencingNumber: number;
}

/** Lets the executor refuse new requests while it changes the engine. */
export interface AdmissionControl {
  /** Requests that are queued or running. */
  readonly active: number;
  /** Refuses new requests until the result is disposed. */
  pause(): Disposable;
}

/** Executes orders for the agent's engine and refuses those with an outdated fencing number. */
export interface OrderExecutor extends Disposable {
  /** Starts an order, or returns the current outcome of the order with the same id. */
  execute(order: EngineOrder): Promise<OrderOutcome>;
}

export interface ExecutorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly engine: EnginePort;
  readonly admission: AdmissionControl;
  /** Without a table, fencing numbers can't be checked and all orders are answered `not-ready`. */
  readonly table: TablePort | undefined;
}

const tableTimeoutMs = 1_000;

/** Time that an order waits for running requests to end; then the order fails. */
const quiesceTimeoutMs = 60_000;

const quiescePollMs = 50;

/** Number of outcomes that are kept so that a repeated order is not executed again. */
const maxRecordedOutcomes = 64;

export function createOrderExecutor(options: ExecutorOptions): OrderExecutor {
  const { clock, log, engine, admission, table } = options;
  const lifetime = createCancellationSource();
  const outcomes = new Map<string, Pick<OrderOutcome, 'outcome' | 'message'>>();
  let highestFencingNumber = 0;
  let isBusy = false;

  /**
   * Reads the lease row before each order: an agent that restarted, or that has received no order
   * from the newest holder, would otherwise accept orders of an earlier holder. Returns 0 without a
   * row and undefined when the row could not be read.
   */
  const readFencingNumber = async (): Promise<number | undefined> => {
    if (!table) return undefined;
    const call = createCancellationSource(lifetime.token);
    const timer = clock.setTimer(tableTimeoutMs, () => call.cancel('lease read timed out'));
    try {
      const item = await table.get(leaseKey, call.token);
      return item ? parseLease(item.value).fencingNumber : 0;
    } catch (err) {
      log.warn({ err: errMessage(err) }, 'lease row could not be read; orders are refused');
      return undefined;
    } finally {
      timer.dispose();
      call.dispose();
    }
  };

  const quiesce = async (token: CancellationToken): Promise<boolean> => {
    const end = clock.now() + quiesceTimeoutMs;
    while (admission.active > 0) {
      if (clock.now() > end) return false;
      await sleep(clock, quiescePollMs, token);
    }
    return true;
  };

  const recordOutcome = (
    orderId: string,
    outcome: Pick<OrderOutcome, 'outcome' | 'message'>,
  ): void => {
    outcomes.delete(orderId);
    outcomes.set(orderId, outcome);
    for (const oldest of outcomes.keys()) {
      if (outcomes.size <= maxRecordedOutcomes) return;
      outcomes.delete(oldest);
    }
  };

  const run = async (order: EngineOrder): Promise<void> => {
    const pause = admission.pause();
    try {
      if (!(await quiesce(lifetime.token))) {
        recordOutcome(order.orderId, {
          outcome: 'failed',
          message: 'timed out waiting for running requests',
        });
        return;
      }
      // Another process may have acquired the lease during the wait.
      if ((await readFencingNumber()) !== Number(order.fencingNumber)) {
        recordOutcome(order.orderId, {
          outcome: 'fenced',
          message: 'the lease row no longer confirms this fencing number',
        });
        return;
      }
      recordOutcome(order.orderId, await engine.order(order, lifetime.token));
    } catch (err) {
      recordOutcome(order.orderId, { outcome: 'failed', message: errMessage(err) });
    } finally {
      pause.dispose();
      isBusy = false;
      const { orderId, action, version } = order;
      log.info({ orderId, action, version, ...outcomes.get(orderId) }, 'order finished');
    }
  };

  const reply = (outcome: OrderOutcome['outcome'], message: string): OrderOutcome => ({
    outcome,
    message,
    highestFencingNumber,
  });

  return {
    async execute(order) {
      const fencingNumber = Number(order.fencingNumber);
      const current = await readFencingNumber();
      if (current === undefined)
        return reply('not-ready', 'the lease row could not be read; send the order again');
      highestFencingNumber = Math.max(highestFencingNumber, current);
      if (fencingNumber < highestFencingNumber)
        return reply(
          'fenced',
          `the fencing number is outdated; the newest is ${highestFencingNumber}`,
        );
      if (fencingNumber > highestFencingNumber)
        return reply(
          'not-ready',
          'the lease row does not contain this fencing number yet; send the order again',
        );
      const existing = outcomes.get(order.orderId);
      if (existing) return reply(existing.outcome, existing.message);
      if (isBusy)
        return reply('not-ready', 'another order is running; send the order again when it is done');
      isBusy = true;
      recordOutcome(order.orderId, { outcome: 'running', message: '' });
      run(order).catch((err: unknown) => log.error({ err: errMessage(err) }, 'order failed'));
      return reply('running', '');
    },
    dispose: () => lifetime.cancel('agent stopped'),
  };
}
