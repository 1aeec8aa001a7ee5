import { describe, expect, it } from 'vitest';
import {
  maxConcurrentLoads,
  maxDrainMs,
  type PlannedEngine,
  planWeightsRollout as planWithLoadTime,
} from '../../src/orders/weightsplan.js';

const engine = (id: number, more: Partial<PlannedEngine> = {}): PlannedEngine => ({
  id: `e${id}`,
  version: 1,
  inFlightRequests: 3,
  isDown: false,
  remainingMs: 9_000,
  step: { kind: 'serving' },
  ...more,
});

const six = [1, 2, 3, 4, 5, 6].map((id) => engine(id, { inFlightRequests: id }));

const planWeightsRollout = (engines: readonly PlannedEngine[], desiredVersion: number) =>
  planWithLoadTime(engines, desiredVersion, 760);

const draining = (sinceMs: number) => ({ step: { kind: 'draining', sinceMs } }) as const;

const loading = (sinceMs: number, sinceCheckMs = 0) =>
  ({ step: { kind: 'loading', sinceMs, sinceCheckMs } }) as const;

describe('plan of a weights rollout', () => {
  it('drains the least busy engines first and keeps most of them serving', () => {
    expect(planWeightsRollout(six, 2)).toEqual([
      { kind: 'drain', id: 'e1' },
      { kind: 'drain', id: 'e2' },
    ]);
  });

  it('does nothing when all engines have the desired or a newer version', () => {
    const engines = [engine(1, { version: 2 }), engine(2, { version: 3 })];
    expect(planWeightsRollout(engines, 2)).toEqual([]);
  });

  it('skips engines that are down or have not reported their version', () => {
    const engines = [engine(1, { isDown: true }), engine(2, { version: undefined })];
    expect(planWeightsRollout(engines, 2)).toEqual([]);
  });

  it('orders a drained engine to load at once and lets its requests finish', () => {
    const engines = [engine(1, { inFlightRequests: 0, ...draining(10) }), ...six.slice(1)];
    expect(planWeightsRollout(engines, 2)).toContainEqual({
      kind: 'order',
      id: 'e1',
      inFlightPolicy: 'finish',
    });
  });

  it('waits for in-flight requests for a bounded time before it orders the load', () => {
    const early = [engine(1, draining(200)), ...six.slice(1)];
    expect(planWeightsRollout(early, 2)).not.toContainEqual(
      expect.objectContaining({ kind: 'order' }),
    );
    const late = [engine(1, draining(1_100)), ...six.slice(1)];
    expect(planWeightsRollout(late, 2)).toContainEqual({
      kind: 'order',
      id: 'e1',
      inFlightPolicy: 'keep',
    });
  });

  it("limits concurrent loads to the number that the operators' sheets give as fast", () => {
    const engines = [
      engine(1, loading(100)),
      engine(2, loading(100)),
      engine(3, { inFlightRequests: 0, ...draining(10) }),
      ...six.slice(3),
    ];
    expect(planWeightsRollout(engines, 2)).toEqual([]);
    const many = Array.from({ length: 34 }, (_, id) => engine(id));
    expect(planWeightsRollout(many, 2)).toHaveLength(9);
  });

  it('drains only one engine when few are up', () => {
    const engines = [...six.slice(0, 4), engine(5, { isDown: true }), engine(6, { isDown: true })];
    expect(planWeightsRollout(engines, 2)).toHaveLength(1);
  });

  it('drains the next engine before a load ends', () => {
    const engines = [engine(1, loading(500)), engine(2, loading(100)), ...six.slice(2)];
    expect(planWeightsRollout(engines, 2)).toEqual([{ kind: 'drain', id: 'e3' }]);
  });

  it('polls for the end of a load only after the check interval', () => {
    const engines = (sinceCheckMs: number) => [engine(1, loading(700, sinceCheckMs))];
    expect(planWeightsRollout(engines(10), 2)).toEqual([]);
    expect(planWeightsRollout(engines(100), 2)).toEqual([{ kind: 'check', id: 'e1' }]);
  });

  it('shortens the maximum drain time as the engines get busier', () => {
    expect([2, 7, 10.5, 14, 40].map(maxDrainMs)).toEqual([1_000, 1_000, 650, 300, 300]);
  });

  // Load: a holder froze with a renewed lease, and its successor has the rest of the time.
  it.each([
    [8, 6, 9_000, 400, 2],
    [8, 6, 1_500, 400, 3],
    [8, 6, 600, 400, 6],
    [55, 55, 9_000, 800, 15],
    [55, 40, 2_300, 800, 20],
    [8, 6, -500, 400, 6],
  ])(
    'of %i engines, %i have %i ms left and a load takes %i ms: %i load at once',
    (up, outdated, remainingMs, loadMs, expected) => {
      const remainingTimesMs = Array.from({ length: outdated }, () => remainingMs);
      expect(maxConcurrentLoads(up, remainingTimesMs, loadMs)).toBe(expected);
    },
  );

  it('hurries only for the engines whose deadline is near', () => {
    expect(maxConcurrentLoads(8, [600, 8_000, 8_000, 8_000, 8_000], 400)).toBe(2);
  });

  it('orders all outdated engines without draining once their weights may not be used', () => {
    const late = six.map((item) => ({ ...item, remainingMs: -1 }));
    expect(planWeightsRollout(late, 2)).toHaveLength(6);
    const orders = planWeightsRollout(
      late.map((item) => ({ ...item, ...draining(0) })),
      2,
    );
    expect(orders).toHaveLength(6);
    expect(new Set(orders.map(({ kind }) => kind))).toEqual(new Set(['order']));
  });

  it('updates the oldest weights first, also on the busiest engine', () => {
    const engines = [
      engine(1, { version: 2, inFlightRequests: 0 }),
      engine(2, { version: 2, inFlightRequests: 1 }),
      engine(3, { version: 1, inFlightRequests: 9 }),
    ];
    expect(planWeightsRollout(engines, 3)[0]).toEqual({ kind: 'drain', id: 'e3' });
  });
});
