import { expect, test } from 'vitest';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createConfigurationReplica } from '../../src/configuration/replica.js';
import { type AgentDirectory, type AgentView } from '../../src/membership/directory.js';
import { createRolloutController } from '../../src/orders/rollout.js';
import { createOrdersStore } from '../../src/orders/state.js';
import { createManualClock } from '../standins/clock.js';
import { record } from '../standins/site.js';

const loadMs = 3_000;

interface Target {
  version: string;
  loadingUntil: number;
  desired: string;
  readonly outcomes: Map<string, string>;
}

function createSite(failing: readonly string[] = []) {
  const clock = createManualClock();
  const targets = new Map<string, Target>();
  for (const name of ['t1', 't2', 't3', 't4', 't5', 't6']) {
    targets.set(name, { version: 'v1', loadingUntil: 0, desired: 'v1', outcomes: new Map() });
  }
  const isLoading = (target: Target): boolean => target.loadingUntil > clock.now();
  const observed = { mostLoading: 0, leastServing: 6, orders: 0 };

  const orderTo =
    (name: string, target: Target) => async (req: { orderId: string; version: string }) => {
      const known = target.outcomes.get(req.orderId);
      if (known === 'running' && !isLoading(target)) {
        const failed = failing.includes(name) && req.version !== 'v1';
        if (!failed) target.version = req.version;
        target.outcomes.set(req.orderId, failed ? 'failed' : 'done');
      }
      if (!known) {
        observed.orders += 1;
        target.loadingUntil = clock.now() + loadMs;
        target.outcomes.set(req.orderId, 'running');
      }
      const all = [...targets.values()];
      observed.mostLoading = Math.max(observed.mostLoading, all.filter(isLoading).length);
      observed.leastServing = Math.min(
        observed.leastServing,
        all.filter((t) => !isLoading(t)).length,
      );
      return { outcome: target.outcomes.get(req.orderId), message: 'disk error' };
    };
  const views = (): readonly AgentView[] =>
    [...targets].map(([name, target]) => ({
      address: name,
      connection: { client: { order: orderTo(name, target) } },
      status: { target: name, models: ['m'], weightsVersion: target.version, adapters: [] },
      ageMs: 0,
      usable: !isLoading(target),
      inFlightRequests: 0,
    })) as unknown as AgentView[];
  const directory = {
    all: views,
    find: (name: string) => views().find((view) => view.address === name),
  } as unknown as AgentDirectory;
  const replica = createConfigurationReplica();
  const submit = (revision: number, version: string, minServing = 1): void => {
    const rollout = { name: 'r', model: 'm', version, minServing };
    replica.apply({ revision, records: [record('rollout', rollout)] });
  };
  const store = createOrdersStore(createMemoryTable());
  const lease = { number: 1 as number | undefined };
  const start = (number: number) =>
    createRolloutController({
      clock,
      log: createNullLogger(),
      lease: {
        current: () => (lease.number === number ? number : undefined),
        dispose: () => undefined,
      },
      store,
      replica,
      directory,
    });
  const versions = (): readonly string[] => [...targets.values()].map(({ version }) => version);
  return { clock, observed, submit, start, lease, versions };
}

const bounds: readonly (readonly [number, number])[] = [
  [1, 2],
  [4, 2],
  [5, 1],
];

// Guards against more than two concurrent loads and against a model without serving targets.
test.each(bounds)(
  'with a minimum of %i serving targets, %i load concurrently',
  async (minServing, mostLoading) => {
    const site = createSite();
    const controller = site.start(1);
    site.submit(2, 'v2', minServing);
    await site.clock.advance(30_000);
    expect(site.versions()).toEqual(Array(6).fill('v2'));
    expect(site.observed).toEqual({ mostLoading, leastServing: 6 - mostLoading, orders: 6 });
    expect(controller.state?.rollouts['r']?.phase).toBe('completed');
  },
);

// Guards against a model with mixed versions after a failed load.
test('a failed load rolls back the changed targets', async () => {
  const site = createSite(['t4']);
  const controller = site.start(1);
  site.submit(2, 'v2');
  await site.clock.advance(60_000);
  expect(site.versions()).toEqual(Array(6).fill('v1'));
  const progress = controller.state?.rollouts['r'];
  expect(progress?.phase).toBe('rolled-back');
  expect(progress?.message).toContain('t4 failed to load v2: disk error');
});

// Guards against loads that are started twice or dropped when the lease holder changes.
test('a new holder continues the rollout of the previous one', async () => {
  const site = createSite();
  site.start(1);
  const second = site.start(2);
  site.submit(2, 'v2');
  await site.clock.advance(5_000);
  site.lease.number = 2;
  await site.clock.advance(30_000);
  expect(site.versions()).toEqual(Array(6).fill('v2'));
  expect(site.observed).toEqual({ mostLoading: 2, leastServing: 4, orders: 6 });
  expect(second.state?.fencingNumber).toBe(2);
});
