import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { renderSettingsReference } from '../../../src/daemon/settings/reference.js';

// Guards against a reference page that differs from the schema; `npm run reference` generates it.
test('the settings page matches the schema', () => {
  expect(readFileSync('docs/operators/settings.md', 'utf8')).toBe(renderSettingsReference());
});
