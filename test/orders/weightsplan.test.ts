import { describe, expect, it } from 'vitest';
import {
  maxDrainMs,
  type PlannedEngine,
  planWeightsRollout,
} from '../../src/orders/weightsplan.js';

const engine = (id: number, more: Partial<PlannedEngine> = {}): PlannedEngine => ({
  id: `e${id}`,
  version: 1,
  inFlightRequests: 3,
  isDown: false,
  step: { kind: 'serving' },
  ...more,
});

const six = [1, 2, 3, 4, 5, 6].map((id) => engine(id, { inFlightRequests: id }));

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
});
