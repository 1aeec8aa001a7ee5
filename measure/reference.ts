import { writeFileSync } from 'node:fs';
import { outcomesReference } from '../src/daemon/reference.js';
import { settingsReference } from '../src/daemon/settings/reference.js';

writeFileSync('docs/operators/settings.md', settingsReference());
writeFileSync('docs/operators/outcomes.md', outcomesReference());
