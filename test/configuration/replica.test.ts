import fc from 'fast-check';
import { expect, test } from 'vitest';
import { type StoredRecord } from '../../src/configuration/records.js';
import { createConfigurationReplica, hashKey } from '../../src/configuration/replica.js';

function teamAt(revision: number, name: string, deleted: boolean): StoredRecord {
  const value = deleted ? null : { name, weight: revision };
  return { kind: 'team', name, schemaVersion: 1, revision, value, deleted };
}

/** Records in force after the first changes of a history, by name. */
function stateAfter(
  history: readonly StoredRecord[],
  revision: number,
): ReadonlyMap<string, number> {
  const state = new Map<string, number>();
  for (const record of history.slice(0, revision)) {
    if (record.deleted) state.delete(record.name);
    else state.set(record.name, record.revision);
  }
  return state;
}

// Guards against a lower revision and against skipped changes, in any order of the messages.
test('late, repeated and overlapping messages never lower the revision of a replica', () => {
  const change = fc.record({ name: fc.constantFrom('a', 'b', 'c'), deleted: fc.boolean() });
  const message = fc.record({ from: fc.nat(12), to: fc.nat(12) });
  const property = fc.property(
    fc.array(change, { minLength: 1, maxLength: 12 }),
    fc.array(message, { maxLength: 20 }),
    (changes, messages) => {
      const history = changes.map(({ name, deleted }, index) => teamAt(index + 1, name, deleted));
      const replica = createConfigurationReplica();
      for (const { from, to } of messages) {
        const before = replica.revision;
        const revision = Math.min(to, history.length);
        const base = Math.min(from, revision);
        replica.applyChanges(base, revision, history.slice(base, revision));
        expect(replica.revision).toBeGreaterThanOrEqual(before);
        const actual = replica.list('team').map(({ name, weight }) => [name, weight] as const);
        expect(new Map(actual)).toEqual(stateAfter(history, replica.revision));
      }
    },
  );
  fc.assert(property, { seed: 61, numRuns: 500 });
});

// Guards against a team that loses its key because this version can't parse a newer schema.
test('a record that can not be parsed keeps its last contents, and a shared key has one owner', () => {
  const replica = createConfigurationReplica();
  const team = (name: string, revision: number, value: object): StoredRecord => {
    return { kind: 'team', name, schemaVersion: 1, revision, value, deleted: false };
  };
  const keyHashes = [hashKey('shared')];
  replica.applyChanges(0, 2, [
    team('second', 2, { name: 'second', keyHashes }),
    team('first', 1, { name: 'first', keyHashes }),
  ]);
  expect(replica.findTeamByKey('shared')?.name).toBe('first');
  replica.applyChanges(2, 3, [{ ...team('first', 3, { weight: 'heavy' }), schemaVersion: 2 }]);
  expect(replica.get('team', 'first')?.keyHashes).toEqual(keyHashes);
  expect(replica.snapshot().records.at(-1)?.value).toEqual({ weight: 'heavy' });
});
