import { z } from 'zod';

const limits = z.looseObject({
  /** Requests per second over all entries. */
  requestsPerSecond: z.number().positive().optional(),
  /** Prompt and output tokens per second over all entries. */
  tokensPerSecond: z.number().positive().optional(),
  /** Streams at the same time over all entries. */
  streams: z.int().positive().optional(),
});

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'use letters, digits, . _ -');

const sha256 = z.string().regex(/^[0-9a-f]{64}$/, 'use the SHA-256 hash in lower-case hex');

const team = z.looseObject({
  name,
  /** Weight relative to other teams when their requests compete for a target. */
  weight: z.number().positive().default(1),
  /** SHA-256 hashes of the keys that callers of this team send. */
  keyHashes: z.array(sha256).default([]),
  /** Separates this team's cache entries; derived from the name when absent. */
  cacheSalt: z.string().min(1).optional(),
  limits: limits.default({}),
  /** Name of the `priority` record used when a request specifies none. */
  priority: name.optional(),
});

const route = z.looseObject({
  name,
  kind: z.enum(['model', 'service']),
  /** Model that engines serve; the route's own name when absent. */
  model: z.string().optional(),
  adapter: z.string().default(''),
  /** Weights version that requests must run on; any when absent. */
  weightsVersion: z.string().optional(),
  /** Targets that may serve the route; all when absent. */
  targets: z.array(name).optional(),
  /** Teams that may use the route; all when absent. */
  teams: z.array(name).optional(),
  /** Methods of a service whose calls may be repeated. */
  idempotentMethods: z.array(z.string()).default(['GET', 'HEAD', 'OPTIONS']),
  /** Time allowed for a request that specifies no deadline, in milliseconds. */
  deadlineMs: z.int().positive().default(60_000),
});

const target = z.looseObject({
  name,
  kind: z.enum(['engine', 'service']),
  /**
   * Requests that an engine runs at once; the engine's own number when absent. Not used for targets
   * of the kind `service`.
   */
  places: z.int().positive().optional(),
  /**
   * True when the engine itself refuses orders with an old fencing number. No code uses this field.
   */
  checksFencing: z.boolean().default(false),
});

const priority = z.looseObject({
  name,
  /** Requests with a higher level are scheduled first. */
  level: z.int().min(-10).max(10),
});

const operator = z.looseObject({
  name,
  role: z.enum(['viewer', 'operator', 'admin']),
  tokenHash: sha256,
});

const rollout = z.looseObject({
  name,
  model: z.string(),
  version: z.string(),
  /** Adapter to load, or an empty string for the weights themselves. */
  adapter: z.string().default(''),
  /** Targets that take part; all that serve the model when absent. */
  targets: z.array(name).optional(),
  /** Participating targets that keep serving while others load; at most all but one. */
  minServing: z.int().nonnegative().default(1),
});

/** Schema of each known record kind at its newest schema version. */
export const recordSchemas = { team, route, target, priority, operator, rollout } as const;

/**
 * Newest schema version of each kind. Records of older and newer versions can coexist; a newer
 * record is read with the fields that this version supports and stored unchanged.
 */
export const schemaVersions: Readonly<Record<keyof typeof recordSchemas, number>> = {
  team: 1,
  route: 1,
  target: 1,
  priority: 1,
  operator: 1,
  rollout: 1,
};

/** Kind of a record that this version supports. */
export type RecordKind = keyof typeof recordSchemas;

/** Validated contents of a record of one kind. */
export type RecordOf<K extends RecordKind> = Readonly<z.infer<(typeof recordSchemas)[K]>>;

/** One record as it is stored. Unknown kinds and fields are kept unchanged. */
export interface StoredRecord {
  readonly kind: string;
  readonly name: string;
  readonly schemaVersion: number;
  /** Revision of the change that wrote this record. */
  readonly revision: number;
  readonly value: unknown;
  readonly deleted: boolean;
}

/** All records at one revision, with the tombstones of deleted ones. */
export interface ConfigurationSnapshot {
  readonly revision: number;
  readonly records: readonly StoredRecord[];
}

export function isKnownKind(kind: string): kind is RecordKind {
  return Object.hasOwn(recordSchemas, kind);
}
