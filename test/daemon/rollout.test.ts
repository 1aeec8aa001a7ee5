import { afterAll, beforeAll, expect, test } from 'vitest';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { runCli } from '../../src/cli/run.js';
import { hashKey } from '../../src/configuration/replica.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { type StandInEngine, startEngine } from '../standins/engine.js';
import { type LoadCounter } from '../standins/engine/orders.js';
import { startSiteAgent, startSiteEntry, teamKey, waitUntil } from '../standins/site.js';

const model = 'test-model';
const operatorToken = 'bootstrap-token-of-the-site';
const loadGate: LoadCounter = { active: 0 };
let engines: StandInEngine[];
let agents: DaemonProcess[];
let entries: DaemonProcess[];

interface RolloutReport {
  readonly name: string;
  readonly version: string;
  readonly phase: string;
  readonly message: string;
}

interface StatusReport {
  readonly targets: readonly { readonly state: string; readonly weightsVersion: string }[];
  readonly rollouts: readonly RolloutReport[];
}

async function runCommand(args: readonly string[], input = '', entry = 0) {
  let out = '';
  const write = (part: string): void => {
    out += part;
  };
  const env = {
    CICADATIDE_URL: entries[entry]?.addresses.operators,
    CICADATIDE_TOKEN: operatorToken,
  };
  const code = await runCli(args, env, { out: write, err: write, readStdin: () => input });
  return { code, out };
}

async function submit(kind: string, value: { readonly name: string }, ...args: string[]) {
  const record = JSON.stringify({ kind, name: value.name, value });
  const { code, out } = await runCommand(['submit', '-', ...args], record);
  expect({ code, out }).toMatchObject({ code: 0 });
  return Number(/revision (\d+)/.exec(out)?.[1]);
}

async function status(entry: number): Promise<StatusReport> {
  return JSON.parse((await runCommand(['status', '--json'], '', entry)).out) as StatusReport;
}

async function complete(entry: number): Promise<number> {
  const res = await fetch(`${entries[entry]?.addresses.callers}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${teamKey('red')}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, prompt: 'tide table', max_tokens: 5 }),
  });
  await res.arrayBuffer();
  return res.status;
}

/** Sends requests through both entries until the rollout reaches a phase; counts their statuses. */
async function serveUntil(version: string, phase: string) {
  const responseCounts: Record<number, number> = {};
  let finished = false;
  const serve = async (entry: number): Promise<void> => {
    while (!finished) {
      const code = await complete(entry);
      responseCounts[code] = (responseCounts[code] ?? 0) + 1;
    }
  };
  const callers = [0, 1, 0, 1].map(serve);
  try {
    await waitUntil(async () => {
      const { rollouts } = await status(1);
      return rollouts.some((each) => each.version === version && each.phase === phase);
    }, 25_000);
  } finally {
    finished = true;
    await Promise.all(callers);
  }
  return responseCounts;
}

beforeAll(async () => {
  const table = createMemoryTable();
  const names = ['engine-1', 'engine-2', 'engine-3'];
  engines = await Promise.all(
    names.map((name) =>
      startEngine({
        ...{ model, decodeTokensPerSecond: 2_000, loadMs: 1_200, loadCounter: loadGate },
        ...(name === 'engine-2' && { failingVersion: 'v3' }),
      }),
    ),
  );
  agents = await Promise.all(
    names.map((name, index) =>
      startSiteAgent({ name, url: engines[index]?.url ?? '', adapters: { table } }),
    ),
  );
  const sections = { operators: { bootstrap_token_hash: hashKey(operatorToken) } };
  const addresses = agents.map(({ addresses: { internal } }) => internal);
  const adapters = { table };
  const first = await startSiteEntry({ name: 'entry-1', agents: addresses, sections, adapters });
  const peers = { entries: [first.addresses.internal], sections, adapters };
  entries = [first, await startSiteEntry({ name: 'entry-2', agents: addresses, ...peers })];
  await submit('route', { name: model, kind: 'model' } as never);
  await submit('team', { name: 'red', keyHashes: [hashKey(teamKey('red'))] } as never);
  await waitUntil(async () => (await complete(0)) === 200 && (await complete(1)) === 200);
  await waitUntil(async () => (await status(1)).targets.every(({ state }) => state === 'serving'));
}, 20_000);

afterAll(async () => {
  for (const daemon of [...entries, ...agents]) daemon.stop();
  await Promise.all(engines.map((engine) => engine.close()));
});

// Guards against requests that fail while engines load, and against too many concurrent loads.
test('a rollout changes the weights of all engines while every request succeeds', async () => {
  await submit('rollout', { name: 'weights', model, version: 'v2' } as never);
  const responseCounts = await serveUntil('v2', 'completed');
  expect(Object.keys(responseCounts)).toEqual(['200']);
  expect(loadGate.peak).toBeLessThanOrEqual(2);
  await waitUntil(async () => {
    const { targets } = await status(0);
    return targets.every((each) => each.state === 'serving' && each.weightsVersion === 'v2');
  });
}, 40_000);

// Guards against a failed load that leaves engines on different versions or is not reported.
test('a failed load is rolled back and shown to operators', async () => {
  await submit('rollout', { name: 'weights', model, version: 'v3' } as never, '--based-on', '3');
  const responseCounts = await serveUntil('v3', 'rolled-back');
  expect(Object.keys(responseCounts)).toEqual(['200']);
  expect(loadGate.peak).toBeLessThanOrEqual(2);
  await waitUntil(async () => {
    const { targets } = await status(0);
    return targets.every((each) => each.state === 'serving' && each.weightsVersion === 'v2');
  });
  const { out } = await runCommand(['status']);
  expect(out).toMatch(/weights +v3 +rolled-back +- +target engine-2 failed to load v3: disk error/);
}, 40_000);
