import { spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { iniText } from '../standins/site.js';

const settingsFolder = mkdtempSync(join(tmpdir(), 'daemon-'));

function settingsFile(name: string, port: string): string {
  const file = join(settingsFolder, name);
  const text = iniText({
    process: { role: 'entry', instance: 'entry-1', data_centre: 'dc1' },
    listen: { callers: `127.0.0.1:${port}`, operators: '127.0.0.1:0', internal: '127.0.0.1:0' },
    internal: { credential: '0123456789abcdef' },
  });
  writeFileSync(file, text);
  return file;
}

const valid = settingsFile('valid.ini', '0');
const invalid = settingsFile('invalid.ini', '99999');

const cases: readonly (readonly [string, readonly string[], number, string])[] = [
  ['help', ['--help'], 0, 'usage: cicadatided'],
  ['version', ['--version'], 0, '0.1.0'],
  ['a valid file', ['--config', valid, '--check-config'], 0, 'settings are valid'],
  ['an invalid file', ['--config', invalid, '--check-config'], 3, '[listen] callers'],
  ['a missing file', ['--config', join(settingsFolder, 'none.ini')], 3, "can't be read"],
  ['no file', [], 2, '--config FILE is missing'],
  ['an unknown option', ['--colour'], 2, 'usage: cicadatided'],
];

// Guards against wrong exit codes, and against stack traces for wrong arguments or settings.
test.each(cases)('%s exits with the documented code', (_name, args, code, text) => {
  const result = spawnSync(process.execPath, ['--import', 'tsx', 'src/daemon/main.ts', ...args], {
    encoding: 'utf8',
  });
  const output = result.stdout + result.stderr;
  expect({ code: result.status, found: output.includes(text) }).toEqual({ code, found: true });
  expect(output).not.toMatch(/^\s+at /m);
});
