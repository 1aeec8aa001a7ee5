import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { type HostPort } from '../../base/address.js';
import { errMessage, SettingsError } from '../../base/errors.js';
import { gatewaySchema } from './gateway.js';
import {
  type KeySpec,
  type Role,
  type Settings,
  type SettingsOf,
  type SettingsSchema,
  settingsSchema,
} from './schema.js';

/** One error in a settings file. */
export interface SettingsProblem {
  readonly section: string;
  readonly key: string;
  readonly found: string;
  readonly remedy: string;
}

type RawSection = Readonly<Record<string, unknown>>;

const requiredForRole: Readonly<Record<Role, readonly (readonly [string, string])[]>> = {
  entry: [['listen', 'callers']],
  agent: [
    ['target', 'name'],
    ['target', 'kind'],
    ['target', 'url'],
  ],
};

function describeProblem(file: string, problem: SettingsProblem): string {
  const location = problem.key ? `[${problem.section}] ${problem.key}` : `[${problem.section}]`;
  return `${file}: ${location}: found ${problem.found}; ${problem.remedy}`;
}

function readText(file: string): string {
  let bytes: Buffer;
  try {
    bytes = readFileSync(file);
  } catch (err) {
    const reason = errMessage(err).replace(/, open .*$/, '');
    throw new SettingsError(`${file}: can't be read (${reason}); name a readable settings file`);
  }
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(bytes);
    if (!text.includes('\0')) return text;
  } catch {
    // Reported below, like a file that contains NUL bytes.
  }
  throw new SettingsError(`${file}: is not a text file; write INI settings in UTF-8`);
}

function checkKey(
  section: string,
  name: string,
  spec: KeySpec,
  raw: unknown,
  problems: SettingsProblem[],
): unknown {
  if (raw === undefined && spec.fallback === undefined) {
    if (!spec.required) return undefined;
    const remedy = `write ${name} = ${spec.type.description}`;
    problems.push({ section, key: name, found: 'nothing', remedy });
    return undefined;
  }
  const text = String(raw ?? spec.fallback).trim();
  if (text === '' && spec.fallback === '') return spec.type.parse(text).ok ? [] : undefined;
  const result = spec.type.parse(text);
  if (result.ok) return result.value;
  const found = name.includes('secret') || name === 'credential' ? 'an invalid value' : `"${text}"`;
  problems.push({ section, key: name, found, remedy: `write ${result.expected}` });
  return undefined;
}

function checkUnknownKeys(
  schema: SettingsSchema,
  ini: RawSection,
  problems: SettingsProblem[],
): void {
  for (const [section, value] of Object.entries(ini)) {
    const keySpecs = Object.hasOwn(schema, section) ? schema[section] : undefined;
    if (typeof value !== 'object' || value === null) {
      const remedy = 'write the key below a [section] line';
      problems.push({ section: '', key: section, found: 'a key outside sections', remedy });
      continue;
    }
    if (!keySpecs) {
      const remedy = `use one of ${Object.keys(schema).join(', ')}`;
      problems.push({ section, key: '', found: 'an unknown section', remedy });
      continue;
    }
    for (const name of Object.keys(value)) {
      if (Object.hasOwn(keySpecs, name)) continue;
      const remedy = `use one of ${Object.keys(keySpecs).join(', ')}`;
      problems.push({ section, key: name, found: 'an unknown key', remedy });
    }
  }
}

/** Reports mistakes that the INI parser accepts silently: repeated keys and names that it drops. */
function checkLines(text: string, problems: SettingsProblem[]): void {
  const seen = new Set<string>();
  let section = '';
  for (const line of text.split(/\r?\n/)) {
    const header = /^\s*\[([^\]]*)\]\s*$/.exec(line);
    if (header) section = header[1] as string;
    const name = /^\s*([^;#=[\s]+)\s*=/.exec(line)?.[1];
    if (header?.[1] === '__proto__' || name === '__proto__') {
      const remedy = 'remove the line';
      problems.push({ section, key: name ?? '', found: 'a reserved name', remedy });
    }
    if (!name) continue;
    const qualifiedKey = `${section}\n${name}`;
    if (seen.has(qualifiedKey)) {
      problems.push({
        section,
        key: name,
        found: 'the key twice',
        remedy: 'keep one of the lines',
      });
    }
    seen.add(qualifiedKey);
  }
}

const wildcardHosts = new Set(['0.0.0.0', '::']);

function overlaps(a: HostPort, b: HostPort): boolean {
  if (a.port !== b.port || a.port === 0) return false;
  return a.host === b.host || wildcardHosts.has(a.host) || wildcardHosts.has(b.host);
}

function checkPorts(
  listen: Readonly<Record<string, HostPort | undefined>>,
  problems: SettingsProblem[],
): void {
  const seen: { readonly name: string; readonly address: HostPort }[] = [];
  for (const [name, address] of Object.entries(listen)) {
    if (!address) continue;
    const other = seen.find((item) => overlaps(item.address, address));
    if (other) {
      const found = `"${address.host}:${address.port}", which overlaps with ${other.name}`;
      problems.push({ section: 'listen', key: name, found, remedy: 'use another port' });
    }
    seen.push({ name, address });
  }
}

function checkRequiredKeys(settings: Settings, problems: SettingsProblem[]): void {
  const { role } = settings.process;
  for (const [section, name] of requiredForRole[role] ?? []) {
    const values = settings[section as keyof Settings] as RawSection;
    if (values[name] !== undefined) continue;
    if (problems.some((problem) => problem.section === section && problem.key === name)) continue;
    const remedy = `write ${name}, which the role ${role} needs`;
    problems.push({ section, key: name, found: 'nothing', remedy });
  }
  if (role === 'agent' && settings.target.kind === 'service' && !settings.target.service) {
    const remedy = 'write service = the name of the route';
    problems.push({ section: 'target', key: 'service', found: 'nothing', remedy });
  }
}

/** Validates settings text; throws a SettingsError that lists every problem. */
function parseSections<S extends SettingsSchema>(
  schema: S,
  text: string,
  file: string,
  checkSettings: (settings: SettingsOf<S>, problems: SettingsProblem[]) => void,
): SettingsOf<S> {
  const ini = parse(text) as RawSection;
  const problems: SettingsProblem[] = [];
  checkLines(text, problems);
  checkUnknownKeys(schema, ini, problems);
  const settings: Record<string, Record<string, unknown>> = {};
  for (const [section, keys] of Object.entries(schema)) {
    const rawSection = ini[section];
    const values = (
      typeof rawSection === 'object' && rawSection !== null ? rawSection : {}
    ) as RawSection;
    const checked: Record<string, unknown> = {};
    for (const [name, spec] of Object.entries(keys)) {
      checked[name] = checkKey(section, name, spec, values[name], problems);
    }
    settings[section] = checked;
  }
  const result = settings as unknown as SettingsOf<S>;
  checkSettings(result, problems);
  if (problems.length === 0) return result;
  throw new SettingsError(problems.map((problem) => describeProblem(file, problem)).join('\n'));
}

/** Parses and validates the settings of an entry or an agent. */
export function parseSettings(text: string, file: string): Settings {
  return parseSections(settingsSchema, text, file, (settings, problems) => {
    checkPorts(settings.listen, problems);
    checkRequiredKeys(settings, problems);
  });
}

/** Reads and validates a settings file of an entry or an agent. */
export function readSettings(file: string): Settings {
  return parseSettings(readText(file), file);
}

/** Validated settings of a gateway. */
export type GatewaySettings = SettingsOf<typeof gatewaySchema>;

/** Parses and validates the settings of a gateway. */
export function parseGatewaySettings(text: string, file: string): GatewaySettings {
  return parseSections(gatewaySchema, text, file, ({ listen }, problems) => {
    checkPorts({ callers: listen.callers, operators: listen.operators }, problems);
  });
}

/** Reads and validates a settings file of a gateway. */
export function readGatewaySettings(file: string): GatewaySettings {
  return parseGatewaySettings(readText(file), file);
}
