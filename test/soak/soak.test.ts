import { execFileSync } from 'node:child_process';
import { beforeAll, expect, it } from 'vitest';
import { runSoak } from './soak.js';

/**
 * Seeds of earlier failures, repeated in every test run.
 * 4, 5, 14, 17, 22: a gateway that resumed after a pause started requests whose callers had
 * disconnected in the meantime.
 * 108: the holder of the order lease was lost near the end, and another gateway acquired the
 * lease 4.2 s later. The soak allowed 3.5 s until all engines have the desired weights; the bound
 * documented for operators is 10 s.
 */
const regressions: readonly number[] = [4, 5, 14, 17, 22, 108];

/** Duration of one seed in CI; `npm run soak` runs more seeds for a longer time. */
const durationMs = 4_000;

beforeAll(() => {
  execFileSync('npm', ['run', '--silent', 'bundle']);
});

it.each([1, 2, ...regressions])(
  'overlapping faults violate no invariant (seed %d)',
  async (seed) => {
    const result = await runSoak({
      seed,
      durationMs,
      gateways: 3,
      bundle: 'target/gateway.mjs',
      port: 25_000 + (process.pid % 300) * 3,
    });
    expect(result.violations, `${result.faults.join('\n')}\n${result.logs.join('\n')}`).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  },
  60_000,
);
