import { gatewaySchema } from './gateway.js';
import { type KeySpec, type SettingsSchema, settingsSchema } from './schema.js';

function describeDefault(spec: KeySpec): string {
  if (spec.required) return 'required';
  if (spec.fallback === undefined) return 'not set';
  return spec.fallback === '' ? 'empty' : `\`${spec.fallback}\``;
}

function describeKey(name: string, spec: KeySpec, allRoles: string): string {
  const roles = spec.roles?.join(', ') ?? allRoles;
  return `| \`${name}\` | ${spec.type.description} | ${describeDefault(spec)} | ${roles} | ${spec.doc} |`;
}

function describeSections(schema: SettingsSchema, roles: string): readonly string[] {
  const lines: string[] = [];
  for (const [section, keys] of Object.entries(schema)) {
    lines.push('', `## [${section}]`, '');
    lines.push('| key | value | default | roles | meaning |', '|---|---|---|---|---|');
    for (const [name, spec] of Object.entries(keys)) lines.push(describeKey(name, spec, roles));
  }
  return lines;
}

/** Renders the settings reference in Markdown from the schemas. */
export function renderSettingsReference(): string {
  const lines = [
    '# Settings',
    '',
    'A settings file is INI text in UTF-8, one file per process. Check it with',
    '`cicadatided --config FILE --check-config`. This page is generated from the schema in',
    '`src/daemon/settings/schema.ts` by `npm run reference`; CI compares the two.',
  ];
  lines.push(...describeSections(settingsSchema, 'entry, agent'));
  lines.push('', '# Settings of a gateway', '');
  lines.push(
    "A gateway has a schema of its own, `src/daemon/settings/gateway.ts`. On the users' platform",
  );
  lines.push('the file is generated from `deploy/gateway.ini`.');
  lines.push(...describeSections(gatewaySchema, 'gateway'));
  return `${lines.join('\n')}\n`;
}
