import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { systemClock } from '../../src/base/clock.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createConfigurationReplica } from '../../src/configuration/replica.js';
import { createConfigurationStore } from '../../src/configuration/store.js';
import { type Submission } from '../../src/configuration/validation.js';
import { type TablePort } from '../../src/ports/table.js';
import { createFaultyTable, type FaultyTable, type TableFault } from '../standins/faultytable.js';

const clock = { ...systemClock, setTimer: (_ms: number, run: () => void) => runImmediately(run) };

/** Runs a timer at once, so that retries need no real time. */
function runImmediately(run: () => void) {
  queueMicrotask(run);
  return { dispose: () => undefined };
}

function createStore(table: TablePort, seed = 1) {
  const replica = createConfigurationReplica();
  const random = createSeededRandom(seed);
  return createConfigurationStore({ clock, random, log: createNullLogger(), table, replica });
}

function team(id: string, baseRevision: number, name = 'red', extra: object = {}): Submission {
  const value = { name, weight: 2, ...extra };
  return { submissionId: id, kind: 'team', name, schemaVersion: 1, baseRevision, value };
}

// Steps of an undisturbed submission: read own row, head and record, then the transaction.
const faultRows: readonly (readonly [string, TableFault[], TableFault, string])[] = [
  ['down at own row', ['down'], 'none', 'unavailable'],
  ['down at head', ['none', 'down'], 'none', 'unavailable'],
  ['down at record', ['none', 'none', 'down'], 'none', 'unavailable'],
  ['down at transaction', ['none', 'none', 'none', 'down'], 'none', 'unavailable'],
  ['reply lost, took effect', ['none', 'none', 'none', 'loseReplyAfterWrite'], 'none', 'accepted'],
  ['reply lost, no effect', ['none', 'none', 'none', 'loseReplyBeforeWrite'], 'none', 'accepted'],
  [
    'lost with effect, then down',
    ['none', 'none', 'none', 'loseReplyAfterWrite'],
    'down',
    'unknown',
  ],
  ['lost, no effect, down', ['none', 'none', 'none', 'loseReplyBeforeWrite'], 'down', 'unknown'],
  ['every reply lost, no effect', [], 'loseReplyBeforeWrite', 'unknown'],
  ['every reply lost, took effect', [], 'loseReplyAfterWrite', 'accepted'],
];

// Guards against an outcome that claims more than is certain, and against a second effect.
test.each(faultRows)(
  'a submission reports what is certain and takes effect once: %s',
  async (_name, plan, fault, expected) => {
    const table = createFaultyTable(createMemoryTable());
    const store = createStore(table);
    table.plan = [...plan];
    table.fault = fault;
    const outcome = await store.submit(team('submission-1', 0), 'ada', noCancellation);
    expect(outcome.state).toBe(expected);
    table.fault = 'none';
    const stored = await store.read('team', 'red', noCancellation);
    if (expected === 'accepted') expect(stored?.revision).toBe(outcome.revision);
    if (expected === 'unavailable') expect(stored).toBeUndefined();
    const repeated = await store.submit(team('submission-1', 0), 'ada', noCancellation);
    expect(repeated).toMatchObject({ state: 'accepted', revision: 1 });
    expect(await store.outcome('submission-1', noCancellation)).toEqual(repeated);
    const audit = await store.audit.list('', 100, noCancellation);
    expect(audit.filter(({ state }) => state === 'accepted')).toHaveLength(1);
  },
);

// Guards against a refusal without a remedy, without an audit entry, or with an effect.
test('mistakes and conflicts are refused with a remedy and audited', async () => {
  const store = createStore(createMemoryTable());
  const submit = (submission: Submission) => store.submit(submission, 'ada', noCancellation);
  await submit(team('submission-1', 0));
  const outcomes = [
    await submit(team('submission-2', 0)),
    await submit(team('submission-1', 1)),
    await submit({ ...team('submission-3', 1), kind: 'taem' }),
    await submit({ ...team('submission-4', 1), value: { name: 'red', weight: -1 } }),
    await submit({ ...team('submission-4', 1), value: { name: 'red', weight: -1 } }),
    await submit({ ...team('submission-5', 1), schemaVersion: 2 }),
    await submit({ ...team('submission-6', 0, 'blue'), remove: true }),
  ];
  expect(outcomes.map(({ state, problems }) => [state, ...problems])).toMatchSnapshot();
  const audit = await store.audit.list('', 100, noCancellation);
  expect(audit.filter(({ state }) => state === 'refused')).toHaveLength(outcomes.length);
  expect((await store.read('team', 'red', noCancellation))?.revision).toBe(1);
});

// Guards against loss of fields that are unknown to this version, and against a lost deletion.
test('unknown fields are kept, and a deletion can be followed by a new record', async () => {
  const store = createStore(createMemoryTable());
  const submit = (submission: Submission) => store.submit(submission, 'ada', noCancellation);
  await submit(team('submission-1', 0, 'red', { colour: { deep: [1] } }));
  const stored = await store.read('team', 'red', noCancellation);
  expect(stored?.value).toEqual({ name: 'red', weight: 2, colour: { deep: [1] } });
  await submit({ ...team('submission-2', 1), remove: true });
  expect(await store.read('team', 'red', noCancellation)).toMatchObject({ deleted: true });
  expect(await submit(team('submission-3', 0))).toMatchObject({ state: 'accepted', revision: 3 });
  const first = await store.read('team', 'red', noCancellation, 1);
  expect(first?.revision).toBe(1);
});

// Guards against a refusal that becomes another outcome because its audit entry can't be written.
test('a conflict stays a conflict when the audit entry can not be written', async () => {
  const table = createFaultyTable(createMemoryTable());
  const store = createStore(table);
  await store.submit(team('submission-1', 0), 'ada', noCancellation);
  table.plan = ['none', 'none', 'none', 'none', 'down'];
  const outcome = await store.submit(team('submission-2', 0), 'ada', noCancellation);
  expect(outcome).toMatchObject({ state: 'conflict', revision: 1 });
});

// Guards against a key with two owners, and against a key that can't be assigned to another team.
test('a key has one owner, also when submitted for several teams at once', async () => {
  const inner = createFaultyTable(createMemoryTable());
  const store = createStore(inner);
  const keyHashes = ['a'.repeat(64)];
  const submit = (submission: Submission) => store.submit(submission, 'ada', noCancellation);
  const submissions = ['red', 'blue', 'green'].map((name) =>
    submit(team(`${name}-submission`, 0, name, { keyHashes })),
  );
  const outcomes = await Promise.all(submissions);
  const winner = outcomes.find(({ state }) => state === 'accepted');
  expect(outcomes.filter(({ state }) => state === 'refused')).toHaveLength(2);
  const [name = ''] = (winner?.submissionId ?? '').split('-');
  const loser = ['red', 'blue', 'green'].find((other) => other !== name) ?? '';
  await submit({ ...team('submission-2', winner?.revision ?? 0, name), remove: true });
  const reassigned = await submit(team('submission-3', 0, loser, { keyHashes }));
  expect(reassigned.state).toBe('accepted');
  const many = Array.from({ length: 21 }, (_value, index) => String(index).padStart(64, '0'));
  const tooMany = await submit(team('submission-4', 0, 'grey', { keyHashes: many }));
  expect(tooMany.problems.join()).toContain('at most 20 in one submission');
});

/** Yields between calls as often as the seed determines, so that submissions interleave. */
function interleave(inner: FaultyTable, seed: number): TablePort {
  const random = createSeededRandom(seed);
  const pause = async () => {
    for (let count = random.integer(6); count > 0; count -= 1) await Promise.resolve();
  };
  return {
    async get(key, token) {
      await pause();
      return inner.get(key, token);
    },
    async query(partition, after, limit, token) {
      await pause();
      return inner.query(partition, after, limit, token);
    },
    async transact(writes, token) {
      await pause();
      const faults = ['none', 'none', 'loseReplyAfterWrite', 'loseReplyBeforeWrite'] as const;
      inner.plan = [faults[random.integer(faults.length)] as TableFault];
      return inner.transact(writes, token);
    },
  };
}

// Guards against two accepted changes of one base revision and against a lost accepted write.
test('concurrent submissions: at most one is accepted per base revision, and it is durable', async () => {
  const property = fc.asyncProperty(
    fc.array(fc.constantFrom('red', 'blue'), { minLength: 2, maxLength: 6 }),
    fc.integer(),
    async (names, seed) => {
      const inner = createFaultyTable(createMemoryTable());
      const table = interleave(inner, seed);
      for (const base of [0, 1]) {
        const before = new Map<string, number>();
        for (const name of names) {
          const record = await createStore(inner).read('team', name, noCancellation);
          before.set(name, base === 0 ? 0 : (record?.revision ?? 0));
        }
        const outcomes = await Promise.all(
          names.map((name, index) =>
            createStore(table, seed + index).submit(
              team(`round-${base}-${index}`, before.get(name) ?? 0, name, { by: index }),
              `operator-${index}`,
              noCancellation,
            ),
          ),
        );
        inner.plan = [];
        for (const name of new Set(names)) {
          const own = outcomes.filter((_outcome, index) => names[index] === name);
          const accepted = own.filter(({ state }) => state === 'accepted');
          const open = own.filter(({ state }) => state === 'unknown' || state === 'unavailable');
          expect(accepted.length).toBeLessThanOrEqual(1);
          if (open.length === 0) expect(accepted).toHaveLength(1);
          const stored = await createStore(inner).read('team', name, noCancellation);
          if (accepted[0]) expect(stored?.revision).toBe(accepted[0].revision);
        }
      }
      const changes = await inner.query('config.change', '', 100, noCancellation);
      const revisions = changes.map(({ sort }) => Number(sort));
      expect(revisions).toEqual(revisions.map((_revision, index) => index + 1));
    },
  );
  await fc.assert(property, { seed: 20_261_204, numRuns: 150 });
});
