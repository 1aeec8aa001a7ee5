import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect, test } from 'vitest';

// Guards against a quickstart that fails, as it did when events of a stream got an id line.
test('the quickstart ends after one round with answers of an engine and the service', async () => {
  const args = ['--import', 'tsx', 'measure/quickstart.ts', '--once'];
  const { stdout } = await promisify(execFile)(process.execPath, args, { timeout: 25_000 });
  expect(stdout).toMatch(/^engine-\d: first token /m);
  expect(stdout).toMatch(/^booking: 200 from booking-1/m);
});
