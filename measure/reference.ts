import { writeFileSync } from 'node:fs';
import { renderOutcomesReference } from '../src/daemon/reference.js';
import { renderSettingsReference } from '../src/daemon/settings/reference.js';

writeFileSync('docs/operators/settings.md', renderSettingsReference());
writeFileSync('docs/operators/outcomes.md', renderOutcomesReference());
