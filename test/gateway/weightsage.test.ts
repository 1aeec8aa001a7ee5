import { describe, expect, it } from 'vitest';
import { weightsAge, type WeightsUse } from '../../src/gateway/weightsage.js';

const bounds = { deadlineMs: 8_000, storeGraceMs: 3_000 };

const use = (sinceMs: number, more: Partial<WeightsUse> = {}): WeightsUse => ({
  superseded: { minMs: sinceMs, maxMs: sinceMs },
  expectedMs: 100,
  sinceStoreFailureMs: Infinity,
  ...more,
});

describe("age of an engine's weights", () => {
  it.each<[string, WeightsUse, string]>([
    ['without newer weights', use(0, { superseded: undefined }), 'current'],
    ['while a rollout is in time', use(6_000), 'outdated'],
    ['when a request would begin after the deadline', use(7_200), 'expired'],
    [
      'when a crowded engine would begin it after the deadline',
      use(5_500, { expectedMs: 2_000 }),
      'expired',
    ],
    ['while the store is away', use(9_000, { sinceStoreFailureMs: 500 }), 'overdue'],
    [
      'after a restart, when the version was written',
      use(0, { superseded: { minMs: 200, maxMs: Infinity } }),
      'overdue',
    ],
    [
      'after the history was lost for a moment',
      use(0, { superseded: { minMs: 0, maxMs: 900 } }),
      'outdated',
    ],
  ])('%s', (_load, request, expected) => {
    expect(weightsAge(request, bounds)).toBe(expected);
  });

  it('follows the deadline of the deployment', () => {
    const late = use(8_500);
    expect(weightsAge(late, bounds)).toBe('expired');
    expect(weightsAge(late, { ...bounds, deadlineMs: 12_000 })).toBe('outdated');
  });
});
