import { writeFileSync } from 'node:fs';
import { settingsReference } from '../src/daemon/settings/reference.js';

writeFileSync('docs/operators/settings.md', settingsReference());
