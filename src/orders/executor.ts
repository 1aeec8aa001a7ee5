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

/** Lets the executor hold new work back while the engine changes. */
export interface AdmissionControl {
  /** Requests that are queued or running. */
  readonly active: number;
  /** Refuses new work until the result is disposed. */
  pause(): Disposable;
}

/** Executes orders for the engine beside this agent and refuses outdated ones. */
export interface OrderExecutor extends Disposable {
  /** Starts an order or, for a known order id, returns its state. */
  execute(order: EngineOrder): Promise<OrderOutcome>;
}

export interface ExecutorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly engine: EnginePort;
  readonly admission: AdmissionControl;
  /** Without a table no order can be checked, so all are refused. */
  readonly table: TablePort | undefined;
}

const tableTimeoutMs = 1_000;

/** Longest time that running requests may delay an order. */
const quiesceTimeoutMs = 60_000;

const quiescePollMs = 50;

/** Outcomes that are remembered, so that a repeated order is not executed again. */
const maxRecordedOutcomes = 64;

export function createOrderExecutor(options: ExecutorOptions): OrderExecutor {
  const { clock, log, engine, admission, table } = options;
  const lifetime = createCancellationSource();
  const outcomes = new Map<string, Pick<OrderOutcome, 'outcome' | 'message'>>();
  let highestFencingNumber = 0;
  let isBusy = false;

  /**
   * Reads the lease row before each order: an agent that restarted, or that never heard from
   * the newest holder, would otherwise accept the order of a holder whose lease has passed.
   */
  const readFencingNumber = async (): Promise<number | undefined> => {
    if (!table) return undefined;
    const call = createCancellationSource(lifetime.token);
    const timer = clock.setTimer(tableTimeoutMs, () => call.cancel('lease read timed out'));
    try {
      const item = await table.get(leaseKey, call.token);
      return item ? parseLease(item.value).fencingNumber : 0;
    } catch (err) {
      log.warn({ err: errMessage(err) }, 'lease row is not readable; orders are refused');
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
          message: 'running requests did not finish',
        });
        return;
      }
      // The wait may have outlasted the holder's lease.
      if ((await readFencingNumber()) !== Number(order.fencingNumber)) {
        recordOutcome(order.orderId, {
          outcome: 'fenced',
          message: 'the lease changed its holder',
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
    highestFencingNumber: highestFencingNumber,
  });

  return {
    async execute(order) {
      const fencingNumber = Number(order.fencingNumber);
      const current = await readFencingNumber();
      if (current === undefined) return reply('not-ready', 'the lease row is not readable now');
      highestFencingNumber = Math.max(highestFencingNumber, current);
      if (fencingNumber < highestFencingNumber)
        return reply('fenced', `a newer holder has number ${highestFencingNumber}`);
      if (fencingNumber > highestFencingNumber)
        return reply('not-ready', 'the lease row does not show this number yet');
      const known = outcomes.get(order.orderId);
      if (known) return reply(known.outcome, known.message);
      if (isBusy) return reply('not-ready', 'another order is running');
      isBusy = true;
      recordOutcome(order.orderId, { outcome: 'running', message: '' });
      run(order).catch((err: unknown) => log.error({ err: errMessage(err) }, 'order failed'));
      return reply('running', '');
    },
    dispose: () => lifetime.cancel('agent stopped'),
  };
}
