import { type ValueType, valueTypes as t } from './types.js';

/** Role of a process. */
export type Role = 'entry' | 'agent';

/** One key of a section. */
export interface KeySpec<T = unknown> {
  readonly type: ValueType<T>;
  /** Text used when the key is absent; without it the key is required or stays undefined. */
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

/** All sections and keys. The settings reference is made from this table. */
export const settingsSchema = {
  process: {
    role: key(t.role, { required: true, doc: 'Role of this process.' }),
    instance: key(t.name, { required: true, doc: 'Unique name of this instance.' }),
    data_centre: key(t.name, { required: true, doc: 'Data centre of this instance.' }),
    log_level: key(t.logLevel, { fallback: 'info', doc: 'Least severe level that is logged.' }),
  },
  listen: {
    callers: key(t.address, { ...entryOnly, doc: 'Listener for callers.' }),
    operators: key(t.address, { required: true, doc: 'Listener for operators, health, metrics.' }),
    internal: key(t.address, { required: true, doc: 'Listener for other processes.' }),
  },
  internal: {
    credential: key(t.secret, { required: true, doc: 'Shared by all processes of the system.' }),
  },
  peers: {
    entries: key(t.addresses, { fallback: '', doc: 'Internal addresses of entries.' }),
    agents: key(t.addresses, { ...entryOnly, fallback: '', doc: 'Internal addresses of agents.' }),
  },
  table: {
    endpoint: key(t.url, { doc: 'DynamoDB-compatible table service.' }),
    name: key(t.name, { fallback: 'cicadatide', doc: 'Name of the table.' }),
    region: key(t.name, { fallback: 'local', doc: 'Region that requests are signed for.' }),
    access_key: key(t.text, { fallback: 'cicadatide', doc: 'Access key id.' }),
    secret_key: key(t.text, { fallback: 'cicadatide', doc: 'Secret access key.' }),
  },
  objects: {
    endpoint: key(t.url, { doc: 'S3-compatible object store.' }),
    bucket: key(t.name, { fallback: 'cicadatide', doc: 'Bucket for kept results.' }),
    region: key(t.name, { fallback: 'local', doc: 'Region that requests are signed for.' }),
    access_key: key(t.text, { fallback: 'cicadatide', doc: 'Access key id.' }),
    secret_key: key(t.text, { fallback: 'cicadatide', doc: 'Secret access key.' }),
  },
  instances: {
    url: key(t.url, { doc: 'EndpointSlice list of live and leaving instances.' }),
  },
  operators: {
    bootstrap_token_hash: key(t.hash, {
      ...entryOnly,
      doc: 'SHA-256 hash of a token with the role admin, for the first set-up.',
    }),
  },
  requests: {
    policy: key(t.policy, { ...entryOnly, fallback: 'cicadatide', doc: 'Placement policy.' }),
    max_body: key(t.size, { ...entryOnly, fallback: '8MiB', doc: 'Largest request body.' }),
    max_header: key(t.size, { ...entryOnly, fallback: '16KiB', doc: 'Largest request header.' }),
    body_timeout: key(t.duration, {
      ...entryOnly,
      fallback: '10s',
      doc: 'Longest time for reading a JSON body.',
    }),
  },
  target: {
    name: key(t.name, { ...agentOnly, doc: 'Name of the target beside this agent.' }),
    kind: key(t.targetKind, { ...agentOnly, doc: 'Kind of the target.' }),
    url: key(t.url, { ...agentOnly, doc: 'Base URL of the target.' }),
    service: key(t.name, { ...agentOnly, doc: 'Route that a service target serves.' }),
    places: key(t.count, { ...agentOnly, fallback: '16', doc: 'Calls a service runs at once.' }),
  },
  shutdown: {
    balancer_wait: key(t.duration, { fallback: '2s', doc: 'Not ready, but still accepting.' }),
    drain: key(t.duration, { fallback: '60s', doc: 'Time for running requests to finish.' }),
  },
} as const satisfies Readonly<Record<string, Readonly<Record<string, KeySpec>>>>;

/** Sections and keys of one kind of settings file. */
export type SettingsSchema = Readonly<Record<string, Readonly<Record<string, KeySpec>>>>;

type ValueOf<S> = S extends { readonly type: ValueType<infer T> }
  ? S extends { readonly required: true } | { readonly fallback: string }
    ? T
    : T | undefined
  : never;

/** Checked settings that follow a schema. */
export type SettingsOf<S extends SettingsSchema> = {
  readonly [Name in keyof S]: { readonly [K in keyof S[Name]]: ValueOf<S[Name][K]> };
};

/** Checked settings of one process. */
export type Settings = SettingsOf<typeof settingsSchema>;
