import { afterEach, describe, expect, it } from 'vitest';
import { type Disposable } from '../../src/base/lifecycle.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { type OrderClaim } from '../../src/orders/ondemandlease.js';
import { type RolloutEngine } from '../../src/orders/rolloutgateway.js';
import { createWeightsRollout } from '../../src/orders/weightsrollout.js';
import { type EngineControl, type OrderAnswer, type WeightsOrder } from '../../src/ports/wire.js';
import { createManualClock } from '../standins/clock.js';

interface EngineState {
  version: number;
  accepted: number;
  busyUntil: number;
  runs: number;
  /** Answers that the engine gives before it behaves. */
  readonly answers: OrderAnswer[];
}

const open: Disposable[] = [];

afterEach(() => {
  for (const item of open.splice(0)) item.dispose();
});

function setUp(count: number, mayClaim: () => boolean = () => true) {
  const clock = createManualClock();
  const wanted = new Map<string, number>();
  const engines = new Map<string, EngineState>();
  for (let id = 1; id <= count; id += 1) {
    engines.set(`e${id}`, { version: 1, accepted: 0, busyUntil: 0, runs: 0, answers: [] });
  }
  const orders: { readonly id: string; readonly at: number; readonly order: WeightsOrder }[] = [];
  const changing: (readonly string[])[] = [];
  const seen = new Map<string, number>();
  const stateOf = (id: string): EngineState => engines.get(id) as EngineState;

  const control: EngineControl = {
    async report(_address, id) {
      const { version, accepted, busyUntil } = stateOf(id);
      return {
        weights: new Map([['m', version]]),
        isBusy: clock.now() < busyUntil,
        acceptedOrders: accepted,
        running: 0,
        waiting: 0,
      };
    },
    async order(_address, id, order) {
      const engine = stateOf(id);
      orders.push({ id, at: clock.now(), order });
      const answer = engine.answers.shift() ?? 'accepted';
      if (answer !== 'accepted') return answer;
      if (order.acceptedOrders !== engine.accepted) return 'conflict';
      engine.accepted += 1;
      engine.busyUntil = clock.now() + 760;
      clock.setTimer(760, () => {
        engine.version = order.version;
      });
      return 'accepted';
    },
  };
  const claim: OrderClaim = {
    key: 'holder',
    isHolder: true,
    unchangedMs: () => Infinity,
    take: async () => (mayClaim() ? 7 : undefined),
    observe: () => undefined,
  };
  const rollout = createWeightsRollout({
    clock,
    random: createSeededRandom(1),
    log: createNullLogger(),
    claim,
    control,
    holder: 'gw-1',
    site: {
      wanted: () => wanted,
      engines: () =>
        [...engines].map(([id, { runs }]): RolloutEngine => ({
          id,
          address: { host: '127.0.0.1', port: 1 },
          runs,
          isDown: false,
          version: seen.get(id) ?? 1,
        })),
      sincePeerChangeMs: () => Infinity,
      setChanging: (ids) => changing.push(ids),
      onWeights: (id, _model, version) => seen.set(id, version),
      onReplaced: () => undefined,
    },
  });
  open.push(rollout);
  return {
    clock,
    engines,
    orders,
    changing,
    name(version: number) {
      wanted.set('m', version);
      rollout.wake();
    },
    versions: () => [...engines.values()].map(({ version }) => version),
  };
}

describe('a roll-out of weights', () => {
  it('brings idle engines to the version, two at once, well before 1.5 s a pair', async () => {
    const site = setUp(6);
    site.name(2);
    await site.clock.advance(3_500);
    expect(site.versions()).toEqual([2, 2, 2, 2, 2, 2]);
    expect(site.orders.every(({ order }) => order.fencingNumber === 7)).toBe(true);
    for (const { at } of site.orders) {
      const together = site.orders.filter((other) => Math.abs(other.at - at) < 700);
      expect(together.length).toBeLessThanOrEqual(2);
    }
    expect(site.changing.at(-1)).toEqual([]);
  });

  it('skips a version that was superseded while an engine drained', async () => {
    const site = setUp(1);
    (site.engines.get('e1') as EngineState).runs = 3;
    site.name(2);
    await site.clock.advance(200);
    site.name(3);
    await site.clock.advance(3_000);
    expect(site.orders.map(({ order }) => order.version)).toEqual([3]);
  });

  it('asks again with the same count when an answer is lost', async () => {
    const site = setUp(1);
    (site.engines.get('e1') as EngineState).answers.push('unknown');
    site.name(2);
    await site.clock.advance(2_000);
    expect(site.orders.map(({ order }) => order.acceptedOrders)).toEqual([0, 0]);
    expect(site.versions()).toEqual([2]);
  });

  it('does not hold an engine back that answers no order', async () => {
    const site = setUp(1);
    const lost = Array.from({ length: 3 }, (): OrderAnswer => 'unknown');
    (site.engines.get('e1') as EngineState).answers.push(...lost);
    site.name(2);
    await site.clock.advance(600);
    expect(site.changing).toContainEqual([]);
    await site.clock.advance(3_000);
    expect(site.versions()).toEqual([2]);
  });

  it('gives no order without the claim', async () => {
    const site = setUp(2, () => false);
    site.name(2);
    await site.clock.advance(3_000);
    expect(site.orders).toEqual([]);
  });

  it('drains no engine while the holder has lost the store, so that all of them serve', async () => {
    let isAway = false;
    const site = setUp(12, () => !isAway);
    isAway = true;
    site.name(2);
    await site.clock.advance(5_000);
    expect(site.changing.filter((ids) => ids.length > 0)).toEqual([]);
    isAway = false;
    await site.clock.advance(8_000);
    expect(site.versions()).toEqual(Array.from({ length: 12 }, () => 2));
  });

  it('orders again when a late order took an engine back', async () => {
    const site = setUp(1);
    site.name(2);
    await site.clock.advance(2_000);
    expect(site.versions()).toEqual([2]);
    site.name(3);
    await site.clock.advance(2_000);
    expect(site.versions()).toEqual([3]);
    expect(site.orders.map(({ order }) => order.acceptedOrders)).toEqual([0, 1]);
  });
});
