import { spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { iniText } from '../standins/site.js';

const settingsFolder = mkdtempSync(join(tmpdir(), 'daemon-'));

function settingsFile(
  name: string,
  port: string,
  listen: Readonly<Record<string, string>> = {},
): string {
  const file = join(settingsFolder, name);
  const text = iniText({
    process: { role: 'entry', instance: 'entry-1', data_centre: 'dc1' },
    listen: {
      callers: `127.0.0.1:${port}`,
      operators: '127.0.0.1:0',
      internal: '127.0.0.1:0',
      ...listen,
    },
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

// Guards against a process that neither serves nor exits when one of its ports is in use.
test.each(['callers', 'operators', 'internal'])(
  'a %s port in use exits with code 1',
  async (listener) => {
    const other = createServer();
    await new Promise<void>((resolve) => {
      other.listen(0, '127.0.0.1', resolve);
    });
    const { port } = other.address() as AddressInfo;
    const file = settingsFile(`${listener}.ini`, '0', { [listener]: `127.0.0.1:${port}` });
    const args = ['--import', 'tsx', 'src/daemon/main.ts', '--config', file];
    const result = spawnSync(process.execPath, args, {
      encoding: 'utf8',
      timeout: 8_000,
      killSignal: 'SIGKILL',
    });
    other.close();
    const found = result.stderr.includes(`127.0.0.1:${port}`);
    expect({ code: result.status, found }).toEqual({ code: 1, found: true });
  },
);
