import { StoreReplyLostError, StoreUnavailableError } from '../../src/base/errors.js';
import { type TablePort } from '../../src/ports/table.js';

/** Fault that a table applies to a call. */
export type TableFault = 'none' | 'down' | 'loseReplyAfterWrite' | 'loseReplyBeforeWrite';

/** Table with fault injection that counts its calls. */
export interface FaultyTable extends TablePort {
  fault: TableFault;
  /** Faults of the next calls, one per call; `fault` applies when the list is empty. */
  plan: TableFault[];
  reads: number;
  writes: number;
}

function nextFault(table: FaultyTable): TableFault {
  return table.plan.shift() ?? table.fault;
}

/** Wraps a table; lost replies affect writes, an outage affects every call. */
export function createFaultyTable(inner: TablePort): FaultyTable {
  const down = (): StoreUnavailableErrorInstance =>
    new StoreUnavailableError('the table refused the connection');
  const table: FaultyTable = {
    fault: 'none',
    plan: [],
    reads: 0,
    writes: 0,
    async get(key, token) {
      table.reads += 1;
      if (nextFault(table) === 'down') throw down();
      return inner.get(key, token);
    },
    async query(partition, after, limit, token) {
      table.reads += 1;
      if (nextFault(table) === 'down') throw down();
      return inner.query(partition, after, limit, token);
    },
    async transact(writes, token) {
      table.writes += 1;
      const fault = nextFault(table);
      if (fault === 'down') throw down();
      if (fault === 'loseReplyBeforeWrite') throw new StoreReplyLostError('reply was lost');
      const result = await inner.transact(writes, token);
      if (fault === 'loseReplyAfterWrite') throw new StoreReplyLostError('reply was lost');
      return result;
    },
  };
  return table;
}

type StoreUnavailableErrorInstance = InstanceType<typeof StoreUnavailableError>;
