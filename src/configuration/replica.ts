import { createHash } from 'node:crypto';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import {
  type ConfigurationSnapshot,
  type RecordKind,
  type RecordOf,
  recordSchemas,
  type StoredRecord,
} from './records.js';

/** Copy of the configuration in one process. Its revision never decreases. */
export interface ConfigurationReplica {
  readonly revision: number;
  /** False until the first snapshot was applied. */
  readonly ready: boolean;
  /** Replaces the records if the snapshot is newer or the first; returns whether it did. */
  apply(snapshot: ConfigurationSnapshot): boolean;
  /**
   * Applies the records that changed after `base` up to and including `revision`; returns whether
   * they were applied. Changes that would leave a gap are not applied.
   */
  applyChanges(base: number, revision: number, records: readonly StoredRecord[]): boolean;
  snapshot(): ConfigurationSnapshot;
  get<K extends RecordKind>(kind: K, name: string): RecordOf<K> | undefined;
  list<K extends RecordKind>(kind: K): readonly RecordOf<K>[];
  /** Finds the team that owns a caller's key. */
  findTeamByKey(key: string): RecordOf<'team'> | undefined;
  /** Finds the operator that owns a token. */
  findOperatorByToken(token: string): RecordOf<'operator'> | undefined;
  onDidChange(listener: () => void): Disposable;
}

/** Hash under which keys and tokens are stored. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

type ParsedRecords = { readonly [K in RecordKind]: ReadonlyMap<string, RecordOf<K>> };

/**
 * Parses the records of known kinds. When this version can't parse a record, such as one of a newer
 * schema, the last contents that this process could parse, if any, stay in force.
 */
function parseRecords(
  records: readonly StoredRecord[],
  cache: WeakMap<StoredRecord, unknown>,
  previous?: ParsedRecords,
): ParsedRecords {
  const parseKind = (kind: RecordKind): ReadonlyMap<string, unknown> => {
    const parsed = new Map<string, unknown>();
    for (const record of records) {
      if (record.kind !== kind || record.deleted) continue;
      let value = cache.get(record);
      if (!value) {
        const result = recordSchemas[kind].safeParse(record.value);
        value = result.success ? result.data : previous?.[kind].get(record.name);
        if (value) cache.set(record, value);
      }
      if (value) parsed.set(record.name, value);
    }
    return parsed;
  };
  const kinds = Object.keys(recordSchemas) as RecordKind[];
  return Object.fromEntries(
    kinds.map((kind) => [kind, parseKind(kind)]),
  ) as unknown as ParsedRecords;
}

/** Merges in revision order, so that every process indexes the records in the same order. */
function mergeRecords(
  current: readonly StoredRecord[],
  changes: readonly StoredRecord[],
): readonly StoredRecord[] {
  const merged = new Map(current.map((record) => [`${record.kind}/${record.name}`, record]));
  for (const record of changes) {
    const key = `${record.kind}/${record.name}`;
    if (record.revision > (merged.get(key)?.revision ?? -1)) merged.set(key, record);
  }
  return [...merged.values()].sort((a, b) => a.revision - b.revision);
}

export function createConfigurationReplica(): ConfigurationReplica {
  const listeners = new Set<() => void>();
  let current: ConfigurationSnapshot = { revision: 0, records: [] };
  // A change keeps the objects of all other records, so that only changed ones are parsed again.
  const cache = new WeakMap<StoredRecord, unknown>();
  let parsed = parseRecords([], cache);
  let teamsByKey = new Map<string, RecordOf<'team'>>();
  let operatorsByToken = new Map<string, RecordOf<'operator'>>();
  let ready = false;

  const rebuild = (): void => {
    parsed = parseRecords(current.records, cache, parsed);
    teamsByKey = new Map();
    for (const team of parsed.team.values()) {
      for (const keyHash of team.keyHashes) {
        // The store allows one owner per key; if there are two, every process uses the same one.
        if (!teamsByKey.has(keyHash)) teamsByKey.set(keyHash, team);
      }
    }
    const operators = [...parsed.operator.values()];
    operatorsByToken = new Map(operators.map((operator) => [operator.tokenHash, operator]));
  };

  const apply = (snapshot: ConfigurationSnapshot): boolean => {
    if (ready && snapshot.revision <= current.revision) return false;
    current = snapshot;
    ready = true;
    rebuild();
    for (const listener of listeners) listener();
    return true;
  };

  return {
    get revision() {
      return current.revision;
    },
    get ready() {
      return ready;
    },
    apply,
    applyChanges(base, revision, records) {
      if (base > current.revision) return false;
      return apply({ revision, records: mergeRecords(current.records, records) });
    },
    snapshot: () => current,
    get: (kind, name) => parsed[kind].get(name),
    list: (kind) => [...parsed[kind].values()],
    findTeamByKey: (key) => teamsByKey.get(hashKey(key)),
    findOperatorByToken: (token) => operatorsByToken.get(hashKey(token)),
    onDidChange(listener) {
      listeners.add(listener);
      return toDisposable(() => listeners.delete(listener));
    },
  };
}
