import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect, test } from 'vitest';

// Guards against a failing quickstart, for example when stream events have an id line.
test('the quickstart prints responses of an engine and the service and exits after one round', async () => {
  const args = ['--import', 'tsx', 'measure/quickstart.ts', '--once'];
  const { stdout } = await promisify(execFile)(process.execPath, args, { timeout: 25_000 });
  expect(stdout).toMatch(/^engine-\d: first token /m);
  expect(stdout).toMatch(/^booking: 200 from booking-1/m);
});
