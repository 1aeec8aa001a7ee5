import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { settingsReference } from '../../../src/daemon/settings/reference.js';

// Guards against a reference page that lags behind the schema; `npm run reference` writes it.
test('the settings page matches the schema', () => {
  expect(readFileSync('docs/operators/settings.md', 'utf8')).toBe(settingsReference());
});
