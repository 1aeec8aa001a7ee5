import { expect, test } from 'vitest';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createOrderExecutor } from '../../src/orders/executor.js';
import { leaseKey } from '../../src/orders/lease.js';
import { type EngineOrder, type EnginePort, type OrderResult } from '../../src/ports/engine.js';
import { createManualClock } from '../standins/clock.js';
import { createFaultyTable } from '../standins/faultytable.js';

function order(fencingNumber: number, orderId: string): EngineOrder {
  return {
    fencingNumber: BigInt(fencingNumber),
    orderId,
    action: 'load-weights',
    model: 'm',
    version: 'v2',
    adapter: '',
    role: '',
  };
}

async function createSite(result: OrderResult = { outcome: 'done', message: '' }) {
  const clock = createManualClock();
  const memory = createMemoryTable();
  const table = createFaultyTable(memory);
  const executed: string[] = [];
  const admission = { active: 0, paused: 0 };
  const engine = {
    async order({ orderId }: EngineOrder) {
      executed.push(`${orderId} with ${admission.paused} pause`);
      return result;
    },
  } as unknown as EnginePort;
  const setHolder = async (fencingNumber: number): Promise<void> => {
    const version = (await memory.get(leaseKey, noCancellation))?.version ?? 0;
    const value = JSON.stringify({ holder: 'x', fencingNumber, durationMs: 1_000 });
    await memory.transact([{ ...leaseKey, value, condition: { version } }], noCancellation);
  };
  const start = () =>
    createOrderExecutor({
      clock,
      log: createNullLogger(),
      engine,
      table,
      admission: {
        get active() {
          return admission.active;
        },
        pause() {
          admission.paused += 1;
          return {
            dispose() {
              admission.paused -= 1;
            },
          };
        },
      },
    });
  await setHolder(3);
  return { clock, table, executed, admission, setHolder, start };
}

test('executes an order once with admission paused and keeps its outcome', async () => {
  const { clock, executed, admission, start } = await createSite();
  const executor = start();
  expect((await executor.execute(order(3, 'o1'))).outcome).toBe('running');
  await clock.advance(10);
  expect((await executor.execute(order(3, 'o1'))).outcome).toBe('done');
  expect(executed).toEqual(['o1 with 1 pause']);
  expect(admission.paused).toBe(0);
});

const refusals: readonly (readonly [string, number, 'none' | 'down', string])[] = [
  ['a holder whose lease has expired', 2, 'none', 'fenced'],
  ['a fencing number that is not in the lease row yet', 4, 'none', 'not-ready'],
  ['any order while the table is down', 3, 'down', 'not-ready'],
];

// Guards against execution of outdated orders, also directly after the agent restarted.
test.each(refusals)('refuses %s', async (_name, number, fault, outcome) => {
  const { table, executed, start } = await createSite();
  const executor = start();
  table.fault = fault;
  expect((await executor.execute(order(number, 'o1'))).outcome).toBe(outcome);
  expect(executed).toEqual([]);
});

// Guards against an order that starts after its holder lost the lease.
test('refuses an order when the lease holder changes while requests finish', async () => {
  const { clock, executed, admission, setHolder, start } = await createSite();
  const executor = start();
  admission.active = 1;
  await executor.execute(order(3, 'o1'));
  await clock.advance(200);
  await setHolder(4);
  admission.active = 0;
  await clock.advance(200);
  expect((await executor.execute(order(4, 'o1'))).outcome).toBe('fenced');
  expect(executed).toEqual([]);
  expect((await executor.execute(order(4, 'o2'))).outcome).toBe('running');
});

test('an order fails when running requests do not finish within the limit', async () => {
  const { clock, executed, admission, start } = await createSite();
  const executor = start();
  admission.active = 1;
  await executor.execute(order(3, 'o1'));
  await clock.advance(61_000);
  expect((await executor.execute(order(3, 'o1'))).outcome).toBe('failed');
  expect(executed).toEqual([]);
  expect(admission.paused).toBe(0);
});
