import { spawnSync } from 'node:child_process';
import { expect, test } from 'vitest';

// Guards against a quickstart that breaks when the response format changes.
test('the quickstart serves its requests and exits with 0', () => {
  const args = ['--import', 'tsx', 'measure/quickstart.ts', '--once'];
  const result = spawnSync(process.execPath, args, { encoding: 'utf8', timeout: 60_000 });
  expect(result.stderr).toBe('');
  expect(result.status).toBe(0);
  expect(result.stdout).toMatch(/ 2048 of \d+ prompt tokens from cache/);
  expect(result.stdout).toContain('booking: 200 from booking-1');
}, 90_000);
