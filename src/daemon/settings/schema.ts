import { type ValueType, valueTypes as types } from './types.js';

/** Role of a daemon process. */
export type Role = 'entry' | 'agent';

/** Specification of one key of a section. */
export interface KeySpec<T = unknown> {
  readonly type: ValueType<T>;
  /** Default as text; a key without one is either required or undefined when absent. */
  readonly fallback?: string;
  readonly required?: boolean;
  /** Roles that use the key; both when absent. */
  readonly roles?: readonly Role[];
  readonly doc: string;
}

function key<T, const O extends Omit<KeySpec<T>, 'type'>>(type: ValueType<T>, options: O) {
  return { type, ...options };
}

const entryOnly = { roles: ['entry'] } as const;

const agentOnly = { roles: ['agent'] } as const;

/** All sections and keys of entries and agents. The settings reference is generated from it. */
export const settingsSchema = {
  process: {
    role: key(types.role, { required: true, doc: 'Role of this process.' }),
    instance: key(types.name, { required: true, doc: 'Unique name of this instance.' }),
    data_centre: key(types.name, { required: true, doc: 'Data centre of this instance.' }),
    log_level: key(types.logLevel, { fallback: 'info', doc: 'Least severe level that is logged.' }),
  },
  listen: {
    callers: key(types.address, { ...entryOnly, doc: 'Listener for callers.' }),
    operators: key(types.address, {
      required: true,
      doc: 'Listener for operators, health, metrics.',
    }),
    internal: key(types.address, { required: true, doc: 'Listener for other processes.' }),
  },
  internal: {
    credential: key(types.secret, {
      required: true,
      doc: 'Credential that all processes of the system share.',
    }),
  },
  peers: {
    entries: key(types.addresses, { fallback: '', doc: 'Internal addresses of entries.' }),
    agents: key(types.addresses, {
      ...entryOnly,
      fallback: '',
      doc: 'Internal addresses of agents.',
    }),
  },
  table: {
    endpoint: key(types.url, { doc: 'DynamoDB-compatible table service.' }),
    name: key(types.name, { fallback: 'cicadatide', doc: 'Name of the table.' }),
    region: key(types.name, { fallback: 'local', doc: 'Region that requests are signed for.' }),
    access_key: key(types.text, { fallback: 'cicadatide', doc: 'Access key id.' }),
    secret_key: key(types.text, { fallback: 'cicadatide', doc: 'Secret access key.' }),
  },
  objects: {
    endpoint: key(types.url, { doc: 'S3-compatible object store.' }),
    bucket: key(types.name, { fallback: 'cicadatide', doc: 'Bucket for stored results.' }),
    region: key(types.name, { fallback: 'local', doc: 'Region that requests are signed for.' }),
    access_key: key(types.text, { fallback: 'cicadatide', doc: 'Access key id.' }),
    secret_key: key(types.text, { fallback: 'cicadatide', doc: 'Secret access key.' }),
  },
  instances: {
    url: key(types.url, { doc: 'EndpointSlice list of live and leaving instances.' }),
  },
  operators: {
    bootstrap_token_hash: key(types.hash, {
      ...entryOnly,
      doc: 'SHA-256 hash of a token with the role admin, for the first set-up.',
    }),
  },
  requests: {
    policy: key(types.policy, { ...entryOnly, fallback: 'cicadatide', doc: 'Placement policy.' }),
    max_body: key(types.size, { ...entryOnly, fallback: '8MiB', doc: 'Largest request body.' }),
    max_header: key(types.size, {
      ...entryOnly,
      fallback: '16KiB',
      doc: 'Largest request header.',
    }),
    body_timeout: key(types.duration, {
      ...entryOnly,
      fallback: '10s',
      doc: 'Time limit for reading a JSON body.',
    }),
  },
  target: {
    name: key(types.name, { ...agentOnly, doc: 'Name of the target of this agent.' }),
    kind: key(types.targetKind, { ...agentOnly, doc: 'Kind of the target.' }),
    url: key(types.url, { ...agentOnly, doc: 'Base URL of the target.' }),
    service: key(types.name, { ...agentOnly, doc: 'Route that a service target serves.' }),
    places: key(types.count, {
      ...agentOnly,
      fallback: '16',
      doc: 'Maximum number of concurrent calls to a service.',
    }),
  },
  shutdown: {
    balancer_wait: key(types.duration, {
      fallback: '2s',
      doc: 'Time to report not ready while still accepting requests.',
    }),
    drain: key(types.duration, {
      fallback: '60s',
      doc: 'Time limit for in-flight requests to finish.',
    }),
  },
} as const satisfies Readonly<Record<string, Readonly<Record<string, KeySpec>>>>;

/** Sections and keys of one kind of settings file. */
export type SettingsSchema = Readonly<Record<string, Readonly<Record<string, KeySpec>>>>;

type ValueOf<S> = S extends { readonly type: ValueType<infer T> }
  ? S extends { readonly required: true } | { readonly fallback: string }
    ? T
    : T | undefined
  : never;

/** Validated settings of one schema. */
export type SettingsOf<S extends SettingsSchema> = {
  readonly [Name in keyof S]: { readonly [K in keyof S[Name]]: ValueOf<S[Name][K]> };
};

/** Validated settings of an entry or an agent. */
export type Settings = SettingsOf<typeof settingsSchema>;
