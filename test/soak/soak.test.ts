import { execFileSync } from 'node:child_process';
import { beforeAll, expect, it } from 'vitest';
import { runSoak } from './soak.js';

/**
 * Seeds that failed once; each is played again in every run.
 * 4, 5, 14, 17, 22: a gateway that was paused started requests of callers that had left meanwhile.
 * 108: the holder of orders was lost near the end, and another one took over 4.2 s later. The soak
 * allowed 3.5 s for weights to be everywhere; the operators' bound is 10 s.
 */
const regressions: readonly number[] = [4, 5, 14, 17, 22, 108];

/** Length of one seed in CI; by hand `npm run soak` plays more and longer ones. */
const durationMs = 4_000;

beforeAll(() => {
  execFileSync('npm', ['run', '--silent', 'bundle']);
});

it.each([1, 2, ...regressions])(
  'keeps its promises under faults that overlap (seed %d)',
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
