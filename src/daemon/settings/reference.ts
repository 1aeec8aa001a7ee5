import { type KeySpec, settingsSchema } from './schema.js';

function describeDefault(spec: KeySpec): string {
  if (spec.required) return 'required';
  if (spec.fallback === undefined) return 'not set';
  return spec.fallback === '' ? 'empty' : `\`${spec.fallback}\``;
}

function describeKey(name: string, spec: KeySpec): string {
  const roles = spec.roles?.join(', ') ?? 'entry, agent';
  return `| \`${name}\` | ${spec.type.description} | ${describeDefault(spec)} | ${roles} | ${spec.doc} |`;
}

/** Returns the settings reference in Markdown, made from the schema. */
export function settingsReference(): string {
  const lines = [
    '# Settings',
    '',
    'A settings file is INI text in UTF-8, one file per process. Check it with',
    '`cicadatided --config FILE --check-config`. This page is made from the schema in',
    '`src/daemon/settings/schema.ts` by `npm run reference`; CI compares the two.',
  ];
  for (const [section, keys] of Object.entries(settingsSchema)) {
    lines.push('', `## [${section}]`, '');
    lines.push('| key | value | default | roles | meaning |', '|---|---|---|---|---|');
    for (const [name, spec] of Object.entries(keys) as [string, KeySpec][]) {
      lines.push(describeKey(name, spec));
    }
  }
  return `${lines.join('\n')}\n`;
}
