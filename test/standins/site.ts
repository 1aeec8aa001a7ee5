import { createMemoryObjects } from '../../src/adapters/memory/objects.js';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { createNullLogger, type Logger } from '../../src/base/logging.js';
import { type ConfigurationSnapshot, type StoredRecord } from '../../src/configuration/records.js';
import { createConfigurationReplica, hashKey } from '../../src/configuration/replica.js';
import { type AgentAdapters, startAgent } from '../../src/daemon/agent.js';
import { type EntryAdapters, startEntry } from '../../src/daemon/entry.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { parseSettings } from '../../src/daemon/settings/read.js';

/** Internal credential of test sites. */
export const siteCredential = 'site-internal-credential';

/** API key of a team of a test site. */
export function teamKey(team: string): string {
  return `key-of-${team}`;
}

/** Creates a record in the form that the table stores. */
export function record(kind: string, value: { readonly name: string }): StoredRecord {
  return { kind, name: value.name, schemaVersion: 1, revision: 1, value, deleted: false };
}

/** Configuration with teams and their keys, model routes, service routes and priorities. */
export function siteRecords(
  teams: readonly string[],
  models: readonly string[],
  services: readonly string[],
): ConfigurationSnapshot {
  return {
    revision: 1,
    records: [
      ...teams.map((name) =>
        record('team', { name, keyHashes: [hashKey(teamKey(name))] } as never),
      ),
      ...models.map((name) => record('route', { name, kind: 'model' } as never)),
      ...services.map((name) => record('route', { name, kind: 'service' } as never)),
      record('priority', { name: 'high', level: 5 } as never),
      record('priority', { name: 'low', level: -5 } as never),
    ],
  };
}

function joinAddresses(urls: readonly string[]): string {
  return urls.map((url) => url.replace('http://', '')).join(', ');
}

/** Formats sections as INI text. */
export function iniText(sections: Readonly<Record<string, Readonly<Record<string, string>>>>) {
  return Object.entries(sections)
    .map(([name, keys]) => {
      const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
      return [`[${name}]`, ...lines].join('\n');
    })
    .join('\n');
}

export interface AgentSpec {
  readonly name: string;
  readonly url: string;
  readonly kind?: 'engine' | 'service';
  readonly service?: string;
  readonly dataCentre?: string;
  /** Internal address to listen on; a free port when absent. */
  readonly internal?: string;
  /** Internal addresses of entries. */
  readonly entries?: readonly string[];
  readonly adapters?: AgentAdapters;
}

/** Starts an agent in the current process. */
export function startSiteAgent(
  spec: AgentSpec,
  log: Logger = createNullLogger(),
): Promise<DaemonProcess> {
  const text = iniText({
    process: {
      role: 'agent',
      instance: `agent-${spec.name}`,
      data_centre: spec.dataCentre ?? 'dc1',
    },
    listen: { operators: '127.0.0.1:0', internal: spec.internal ?? '127.0.0.1:0' },
    internal: { credential: siteCredential },
    peers: { entries: joinAddresses(spec.entries ?? []) },
    target: {
      name: spec.name,
      kind: spec.kind ?? 'engine',
      url: spec.url,
      ...(spec.service && { service: spec.service }),
    },
    shutdown: { balancer_wait: '100ms', drain: '60s' },
  });
  return startAgent(parseSettings(text, `agent-${spec.name}`), log, spec.adapters);
}

export interface EntrySpec {
  readonly name: string;
  readonly agents: readonly string[];
  /** Configuration in force at start; when absent, the entry loads it from the table or peers. */
  readonly configuration?: ConfigurationSnapshot;
  /** Internal addresses of other entries. */
  readonly entries?: readonly string[];
  /** Additional sections of the settings. */
  readonly sections?: Readonly<Record<string, Readonly<Record<string, string>>>>;
  readonly policy?: string;
  readonly adapters?: EntryAdapters;
  /** Address to listen on for callers; a free port when absent. */
  readonly callers?: string;
}

/** Table and object store shared by all entries of a test file. */
const sharedStores = { table: createMemoryTable(), objects: createMemoryObjects() };

/** Starts an entry in the current process. */
export function startSiteEntry(
  spec: EntrySpec,
  log: Logger = createNullLogger(),
): Promise<DaemonProcess> {
  const text = iniText({
    process: { role: 'entry', instance: spec.name, data_centre: 'dc1' },
    listen: {
      callers: spec.callers ?? '127.0.0.1:0',
      operators: '127.0.0.1:0',
      internal: '127.0.0.1:0',
    },
    internal: { credential: siteCredential },
    peers: { agents: joinAddresses(spec.agents), entries: joinAddresses(spec.entries ?? []) },
    requests: { policy: spec.policy ?? 'cicadatide' },
    shutdown: { balancer_wait: '100ms', drain: '60s' },
    ...spec.sections,
  });
  const replica = createConfigurationReplica();
  if (spec.configuration) replica.apply(spec.configuration);
  return startEntry(parseSettings(text, spec.name), log, {
    replica,
    ...(spec.sections?.['table'] ? {} : sharedStores),
    ...spec.adapters,
  });
}

/** Polls until the check passes; throws after `timeoutMs`. */
export async function waitUntil(check: () => boolean | Promise<boolean>, timeoutMs = 10_000) {
  const deadline = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > deadline) throw new Error('condition was not met in time');
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

/** Waits until the entry can reach a target of the model or service. */
export async function waitForRoute(entryUrl: string, team: string, path: string, body: unknown) {
  await waitUntil(async () => {
    const res = await fetch(`${entryUrl}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${teamKey(team)}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await res.arrayBuffer();
    return res.status === 200;
  });
}
