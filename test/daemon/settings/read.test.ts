import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { errMessage } from '../../../src/base/errors.js';
import { parseSettings, readSettings } from '../../../src/daemon/settings/read.js';

const valid = `
[process]
role = entry
instance = entry-1
data_centre = dc1
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
internal = 127.0.0.1:8082
[internal]
credential = 0123456789abcdef
`;

function errorMessageOf(run: () => unknown): string {
  try {
    run();
  } catch (err) {
    return errMessage(err);
  }
  return 'accepted';
}

test('valid settings are converted from their units', () => {
  const settings = parseSettings(`${valid}[shutdown]\ndrain = 1.5min\n`, 'entry.ini');
  expect(settings.shutdown.drain).toBe(90_000);
  expect(settings.requests.max_body).toBe(8 * 1_024 ** 2);
  expect(settings.listen.callers).toEqual({ host: '127.0.0.1', port: 8080 });
});

const invalidSettings: readonly (readonly [string, string])[] = [
  ['unknown section', `${valid}[colour]\nred = 1\n`],
  ['unknown key', `${valid}[shutdown]\ndrian = 5s\n`],
  ['wrong unit', `${valid}[shutdown]\ndrain = 5 parsecs\n`],
  ['missing unit', `${valid}[shutdown]\ndrain = 5\n`],
  ['port out of range', valid.replace('8082', '70000')],
  ['address without port', valid.replace('127.0.0.1:8080', '127.0.0.1')],
  ['host name instead of IP', valid.replace('127.0.0.1:8080', 'localhost:8080')],
  ['same port twice', valid.replace('8082', '8081')],
  ['wildcard over the same port', valid.replace('127.0.0.1:8082', '0.0.0.0:8081')],
  ['repeated key', `${valid}[shutdown]\ndrain = 5s\ndrain = 6s\n`],
  ['unknown role', valid.replace('= entry\n', '= boss\n')],
  ['missing role', valid.replace('role = entry\n', '')],
  ['short credential', valid.replace('0123456789abcdef', 'short')],
  ['key outside sections', `volume = 11\n${valid}`],
  ['agent without target', valid.replace('= entry\n', '= agent\n')],
  ['entry without caller listener', valid.replace('callers = 127.0.0.1:8080\n', '')],
  ['peer list with an incomplete address', `${valid}[peers]\nagents = 127.0.0.1:1, 127.0.0\n`],
  ['key twice as a list', `${valid}[shutdown]\ndrain[] = 5s\ndrain[] = 6s\n`],
  ['prototype key', `${valid}[__proto__]\nrole = entry\n`],
  ['constructor section', `${valid}[constructor]\nrole = entry\n`],
];

// Guards against messages that omit the file, section, key, found value or remedy.
test.each(invalidSettings)('refuses %s', (_name, text) => {
  expect(errorMessageOf(() => parseSettings(text, 'entry.ini'))).toMatchSnapshot();
});

test('refuses unreadable, binary and missing files with a remedy', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const binary = join(folder, 'binary.ini');
  writeFileSync(binary, Buffer.from([0x5b, 0xff, 0xfe, 0x00, 0x01]));
  expect(errorMessageOf(() => readSettings(binary))).toContain('write INI settings in UTF-8');
  expect(errorMessageOf(() => readSettings(join(folder, 'none.ini')))).toContain('ENOENT');
  expect(errorMessageOf(() => readSettings(folder))).toContain('name a readable settings file');
});

// Guards against secrets in error messages, which are logged.
test('the error message does not contain an invalid credential', () => {
  const text = valid.replace('0123456789abcdef', 'tiny-secret');
  expect(errorMessageOf(() => parseSettings(text, 'entry.ini'))).not.toContain('tiny-secret');
});
