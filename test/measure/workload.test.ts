import { expect, test } from 'vitest';
import { createWorkload, type WorkloadPlan } from '../../measure/load/workload.js';
import { parameters } from '../../measure/parameters.js';

const plan: WorkloadPlan = {
  parts: [
    { label: 'without', durationMs: 5_000, load: 0.7, longFraction: 0 },
    { label: 'with', durationMs: 20_000, load: 0.7 },
  ],
  hotShiftsMs: [10_000],
};

// Guards against runs with the same seed that are not comparable.
test('equal seeds give equal schedules and different seeds give different ones', () => {
  const first = createWorkload(plan, 7);
  expect(createWorkload(plan, 7)).toEqual(first);
  expect(createWorkload(plan, 8).requests[0]).not.toEqual(first.requests[0]);
});

// Guards against a load without long jobs, large teams or the change of popular documents.
test('the schedule has the configured rate, long jobs, team sizes and document popularity', () => {
  const { requests, warmUpMs, durationMs } = createWorkload(plan, 1);
  const { workload, warmUp } = parameters;
  expect(durationMs).toBe(warmUp.durationMs + 25_000);
  expect(requests.every(({ atMs }, index) => atMs >= (requests[index - 1]?.atMs ?? 0))).toBe(true);
  const rate = requests.length / (durationMs / 1_000) / (0.7 * workload.capacityPerSecond);
  expect(rate).toBeGreaterThan(0.85);
  expect(rate).toBeLessThan(1.15);
  expect(requests.some(({ part, isLong }) => part === 0 && isLong)).toBe(false);
  expect(requests.some(({ part, isLong }) => part === 1 && isLong)).toBe(true);
  expect(new Set(requests.map(({ id }) => id)).size).toBe(requests.length);
  const largest = requests.filter(({ team }) => team === 'team1').length / requests.length;
  expect(largest).toBeGreaterThan(0.2);
  const findHottestDocument = (from: number, to: number): string => {
    const counts = new Map<string, number>();
    for (const { atMs, user } of requests) {
      const key = user.slice(0, 200);
      if (atMs >= from && atMs < to) counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0] ?? '';
  };
  const shiftAt = warmUpMs + 10_000;
  expect(findHottestDocument(shiftAt, durationMs)).not.toBe(findHottestDocument(0, shiftAt));
});
