import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { runCli } from '../../src/cli/run.js';
import { hashKey } from '../../src/configuration/replica.js';
import { type UnknownCalls } from '../../src/daemon/operators/context.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { startDynamodb } from '../standins/dynamodb.js';
import { type StandInEngine, startEngine } from '../standins/engine.js';
import { type FaultyHttpServer } from '../standins/httpfaults.js';
import {
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
  waitUntil,
} from '../standins/site.js';

const model = 'test-model';
const bootstrapToken = 'bootstrap-token-of-the-site';
let table: FaultyHttpServer;
let engine: StandInEngine;
let entries: DaemonProcess[];
let agent: DaemonProcess;
let folder: string;

const openCalls = new Map([['call-1', { id: 'call-1', team: 'red' }]]);

const unknownCalls: UnknownCalls = {
  listUnknown: async () => [...openCalls.values()],
  settle: async (id) => openCalls.delete(id),
};

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

async function runTool(
  args: readonly string[],
  token = bootstrapToken,
  input = '',
): Promise<CommandResult> {
  const text = { out: '', err: '' };
  const env = { CICADATIDE_URL: entries[0]?.addresses.operators, CICADATIDE_TOKEN: token };
  const code = await runCli(args, env, {
    out: (part) => {
      text.out += part;
    },
    err: (part) => {
      text.err += part;
    },
    readStdin: () => input,
  });
  return { code, ...text };
}

const submit = (record: object, args: readonly string[] = [], token = bootstrapToken) =>
  runTool(['submit', '-', ...args], token, JSON.stringify(record));

function team(name: string, extra: object = {}) {
  return { kind: 'team', name, value: { name, keyHashes: [hashKey(teamKey(name))], ...extra } };
}

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), 'cicadatide-cli-'));
  table = await startDynamodb();
  engine = await startEngine({ model, decodeTokensPerSecond: 2_000 });
  const sections = {
    table: { endpoint: table.url },
    operators: { bootstrap_token_hash: hashKey(bootstrapToken) },
  };
  const secondEntry = await startSiteEntry({ name: 'entry-2', agents: [], sections });
  agent = await startSiteAgent({
    name: 'engine-1',
    url: engine.url,
    entries: [secondEntry.addresses.internal],
  });
  const firstEntry = await startSiteEntry({
    name: 'entry-1',
    agents: [agent.addresses.internal],
    entries: [secondEntry.addresses.internal],
    sections,
    adapters: { unknownCalls },
  });
  entries = [firstEntry, secondEntry];
  await waitUntil(async () => {
    const states = await Promise.all(
      entries.map(({ addresses }) => fetch(`${addresses.operators}/readyz`)),
    );
    return states.every(({ ok }) => ok);
  });
});

afterAll(async () => {
  for (const daemon of [...entries, agent]) daemon.stop();
  await Promise.all([engine.close(), table.stop()]);
  rmSync(folder, { recursive: true });
});

// Guards against a change that needs a restart, isn't audited, or doesn't reach other nodes.
test('a submitted team and route are served without a restart and are audited', async () => {
  const route = { kind: 'route', name: model, value: { name: model, kind: 'model' } };
  expect(await submit(route)).toMatchObject({ code: 0, err: '' });
  const accepted = await submit(team('red'), ['--submission-id', 'first-team-red']);
  expect(accepted.out).toBe('accepted at revision 2 (submission first-team-red)\n');
  const callers = entries[0]?.addresses.callers ?? '';
  const body = { model, prompt: 'x', max_tokens: 1 };
  await waitForRoute(callers, 'red', '/v1/completions', body);
  const audit = await runTool(['audit', '--json']);
  const { entries: lines } = JSON.parse(audit.out) as { readonly entries: readonly object[] };
  expect(lines.at(-1)).toMatchObject({
    operator: 'bootstrap',
    submissionId: 'first-team-red',
    action: 'write',
    kind: 'team',
    name: 'red',
    state: 'accepted',
    fromRevision: 0,
    toRevision: 2,
  });
  await waitUntil(async () => {
    const { out } = await runTool(['status', '--json']);
    const { configuration } = JSON.parse(out) as {
      configuration: { revision: number; inForce: number };
    };
    return configuration.revision === 2 && configuration.inForce === 3;
  });
  const status = await runTool(['status']);
  expect(status.out).toContain('configuration revision 2: in force on 3 of 3 nodes');
  expect(status.out).toMatch(/engine-1 +engine +dc1 +serving/);
});

// Guards against changes by the wrong role and refusals without an audit entry.
test('roles are enforced and refused submissions are audited', async () => {
  const operator = (name: string, role: string) => ({
    kind: 'operator',
    name,
    value: { name, role, tokenHash: hashKey(`token-${name}`) },
  });
  for (const role of ['viewer', 'operator']) await submit(operator(`an-${role}`, role));
  const rows: readonly (readonly [string, object, number])[] = [
    ['token-an-viewer', team('green'), 1],
    ['token-an-operator', team('green'), 0],
    ['token-an-operator', operator('mallory', 'admin'), 1],
    [teamKey('red'), team('blue'), 1],
  ];
  for (const [token, record, code] of rows) {
    expect((await submit(record, [], token)).code).toBe(code);
  }
  const settle = ['settle', 'call-1', '--outcome', 'not-run'];
  expect((await runTool(['unknown'], 'token-an-viewer')).out).toMatch(/call-1 +red/);
  expect((await runTool(settle, 'token-an-viewer')).code).toBe(1);
  expect((await runTool(settle, 'token-an-operator')).out).toBe('settled call-1 as not-run\n');
  const { out } = await runTool(['audit'], 'token-an-viewer');
  expect(out).toMatch(/an-viewer +settle +unknown-call\/call-1 +refused .*needs the role operator/);
  expect(out).toMatch(/an-operator +settle +unknown-call\/call-1 +accepted .*not-run/);
  expect(out).toMatch(/an-viewer +write +team\/green +refused .*needs the role operator/);
  expect(out).toMatch(/an-operator +write +team\/green +accepted/);
  expect(out).toMatch(/an-operator +write +operator\/mallory +refused .*needs the role admin/);
});

// Guards against a lost update, and against show output that submit doesn't accept.
test('show output can be edited and submitted, and a stale submission is a conflict', async () => {
  expect((await submit(team('grey'))).code).toBe(0);
  const shown = await runTool(['show', 'team', 'grey', '--json']);
  const record = JSON.parse(shown.out) as { revision: number; value: object };
  const file = join(folder, 'grey.json');
  writeFileSync(file, JSON.stringify({ ...record, value: { ...record.value, weight: 3 } }));
  expect((await runTool(['diff', file])).out).toMatch(/weight +- +3/);
  expect((await runTool(['submit', file])).code).toBe(0);
  const conflict = await runTool(['submit', file, '--submission-id', 'second-grey']);
  expect(conflict.code).toBe(3);
  expect(conflict.out).toContain('read it with `cicadatide show`');
  expect((await runTool(['outcome', 'second-grey'])).code).toBe(3);
  const since = ['--revision', String(record.revision)];
  expect((await runTool(['diff', 'team', 'grey', ...since])).out).toMatch(/weight +- +3/);
  expect((await runTool(['list', 'team'])).out).toMatch(/team +grey/);
  expect((await runTool(['delete', 'team', 'grey'])).code).toBe(0);
  expect((await runTool(['list', 'team'])).out).not.toContain('grey');
  expect((await runTool(['outcome', 'never-submitted'])).err).toContain(
    'submit it again with the same',
  );
});

// Guards against reporting a change as refused when its effect is unknown.
test('a store outage is reported as unreachable, and a lost reply as unknown', async () => {
  table.fault = 'reject';
  expect((await submit(team('early'))).code).toBe(5);
  table.appliesTo = (req) => String(req.headers['x-amz-target']).includes('TransactWrite');
  table.fault = 'dropAfter';
  expect((await submit(team('kept'))).code).toBe(0);
  table.fault = 'dropBefore';
  const late = ['--submission-id', 'late-change'];
  expect(await submit(team('late'), late)).toMatchObject({ code: 4, err: '' });
  table.appliesTo = undefined;
  table.fault = 'none';
  expect((await runTool(['outcome', 'late-change'])).err).toContain(
    'submit it again with the same',
  );
  expect((await submit(team('late'), late)).code).toBe(0);
  expect((await runTool(['outcome', 'late-change'])).code).toBe(0);
  const unreachableUrl = ['list', '--url', 'http://127.0.0.1:9'];
  expect(await runTool(unreachableUrl)).toMatchObject({ code: 5, out: '' });
});

// Guards against stack traces and missing remedies for usage errors.
test('usage errors print one message and return the documented exit code', async () => {
  const mistakes: readonly (readonly [readonly string[], number])[] = [
    [[], 2],
    [['sumbit', 'x.json'], 2],
    [['submit'], 2],
    [['submit', 'missing.json'], 2],
    [['list', '--revision', '3'], 2],
    [['list', '--nonsense'], 2],
    [['show', 'team', 'red', '--revision', 'x'], 2],
    [['list', '--url', 'nowhere'], 2],
    [['diff', 'team', 'red'], 2],
    [['settle', 'some-call'], 2],
    [['show', 'team', 'nobody'], 1],
    [['settle', 'no-such-call', '--outcome', 'completed'], 1],
    [['hash-key', 'two words'], 2],
    [['check-config', 'missing.ini'], 1],
  ];
  const results = [];
  for (const [args, code] of mistakes) {
    const result = await runTool(args);
    expect({ args, code: result.code }).toEqual({ args, code });
    expect(result.err).not.toMatch(/\n\s+at /);
    results.push([args.join(' '), result.err.trim()]);
  }
  expect(results).toMatchSnapshot();
  expect((await runTool(['hash-key'], '', `${teamKey('red')}\n`)).out).toBe(
    `${hashKey(teamKey('red'))}\n`,
  );
  expect((await runTool(['settle', '--help'])).out).toContain('--outcome NAME');
});
