import { randomUUID } from 'node:crypto';
import { EventSourceParserStream } from 'eventsource-parser/stream';
import { createMemoryObjects } from '../src/adapters/memory/objects.js';
import { createMemoryTable } from '../src/adapters/memory/table.js';
import { createLogger } from '../src/base/logging.js';
import { hashKey } from '../src/configuration/replica.js';
import { type ListedInstance } from '../src/ports/instances.js';
import { startEngine } from '../test/standins/engine.js';
import { startService } from '../test/standins/service.js';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
  waitUntil,
} from '../test/standins/site.js';

const once = process.argv.includes('--once');
const team = 'demo';
const model = 'demo-model';
const operatorToken = 'demo-operator-token';

const writeLine = (line = ''): void => {
  process.stdout.write(`${line}\n`);
};

interface ChatResponse {
  readonly text: string;
  readonly target: string;
  readonly cachedTokens: number;
  readonly promptTokens: number;
  readonly firstTokenMs: number;
}

interface StreamChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number };
  };
  readonly error?: { readonly message: string };
}

async function requestChat(
  callersUrl: string,
  prefix: string,
  question: string,
): Promise<ChatResponse> {
  const started = performance.now();
  const res = await fetch(`${callersUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${teamKey(team)}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model,
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: 12,
      messages: [
        { role: 'system', content: prefix },
        { role: 'user', content: question },
      ],
    }),
  });
  if (!res.ok || !res.body) throw new Error(`request failed: ${res.status} ${await res.text()}`);
  let firstTokenMs = 0;
  let text = '';
  let usage: StreamChunk['usage'];
  let done = false;
  const events = res.body
    .pipeThrough(new TextDecoderStream())
    .pipeThrough(new EventSourceParserStream());
  for await (const { data } of events) {
    if (firstTokenMs === 0) firstTokenMs = performance.now() - started;
    if (data === '[DONE]') {
      done = true;
      continue;
    }
    const chunk = JSON.parse(data) as StreamChunk;
    if (chunk.error) throw new Error(chunk.error.message);
    text += chunk.choices[0]?.delta.content ?? '';
    usage = chunk.usage ?? usage;
  }
  if (!done || !usage) throw new Error('the stream ended without its terminal event');
  return {
    text,
    firstTokenMs,
    target: res.headers.get('x-cicadatide-target') ?? '',
    promptTokens: usage.prompt_tokens,
    cachedTokens: usage.prompt_tokens_details.cached_tokens,
  };
}

/** Submits the configuration records of the demonstration through the operator API. */
async function submitRecords(operatorsUrl: string): Promise<void> {
  for (const { kind, name, value } of siteRecords([team], [model], ['booking']).records) {
    const res = await fetch(`${operatorsUrl}/v1/records`, {
      method: 'POST',
      headers: { authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json' },
      body: JSON.stringify({ kind, name, value, baseRevision: 0, submissionId: randomUUID() }),
    });
    if (!res.ok) throw new Error(`${kind} ${name} was rejected: ${await res.text()}`);
  }
}

function printCommands(callers: string, operators: string): void {
  const authorization = `-H 'Authorization: Bearer ${teamKey(team)}'`;
  const prompt = `{"model":"${model}","stream":true,"messages":[{"role":"user","content":"hello"}]}`;
  const record = '{"kind":"priority","name":"urgent","value":{"name":"urgent","level":9}}';
  const cli = 'npx tsx src/cli/main.ts';
  const lines = [
    '',
    'Send requests:',
    `  curl -N ${callers}/v1/chat/completions ${authorization} -d '${prompt}'`,
    `  curl ${callers}/v1/models ${authorization}`,
    `  curl ${callers}/services/booking/reservations ${authorization} -H 'Idempotency-Key: mine-1' -d '{"reels":4}'`,
    `  curl ${operators}/metrics`,
    '',
    'Operate it from this folder (`cicadatide` when the package is installed):',
    `  export CICADATIDE_URL=${operators} CICADATIDE_TOKEN=${operatorToken}`,
    `  ${cli} list`,
    `  ${cli} status`,
    `  echo '${record}' | ${cli} submit -`,
    `  ${cli} show priority urgent --json`,
    `  ${cli} audit`,
    '',
    'Stop with Ctrl+C.',
  ];
  for (const line of lines) writeLine(line);
}

async function main(): Promise<void> {
  const log = createLogger('quickstart', 'warn', process.stderr);
  const engines = await Promise.all(
    ['engine-1', 'engine-2', 'engine-3'].map(async (name) => ({
      name,
      standIn: await startEngine({ model }),
    })),
  );
  const booking = await startService();
  // The entry starts before the agents, which need its address, so the list of instances resolves
  // only after the agents have started.
  let resolveAgents: (listed: readonly ListedInstance[]) => void = () => undefined;
  const listed = new Promise<readonly ListedInstance[]>((resolve) => {
    resolveAgents = resolve;
  });
  const entry = await startSiteEntry(
    {
      name: 'entry-1',
      agents: [],
      sections: { operators: { bootstrap_token_hash: hashKey(operatorToken) } },
      adapters: {
        table: createMemoryTable(),
        objects: createMemoryObjects(),
        instances: { list: () => listed },
      },
    },
    log,
  );
  const callers = entry.addresses.callers ?? '';
  await submitRecords(entry.addresses.operators);
  const entries = [entry.addresses.internal];
  const agents = await Promise.all([
    ...engines.map(({ name, standIn }) => startSiteAgent({ name, url: standIn.url, entries }, log)),
    startSiteAgent(
      { name: 'booking-1', kind: 'service', url: booking.url, service: 'booking', entries },
      log,
    ),
  ]);
  const names = [...engines.map(({ name }) => name), 'booking-1'];
  resolveAgents(
    agents.map(({ addresses }, index) => ({
      instance: `agent-${names[index]}`,
      role: 'agent',
      address: addresses.internal,
      dataCentre: 'dc1',
      leaving: false,
    })),
  );
  const isReady = async (): Promise<boolean> => {
    const res = await fetch(`${callers}/services/booking/ready`, {
      headers: { authorization: `Bearer ${teamKey(team)}` },
    });
    await res.arrayBuffer();
    return res.ok;
  };
  await waitUntil(isReady);
  await waitForRoute(callers, team, '/v1/completions', { model, prompt: 'ready?', max_tokens: 1 });
  writeLine(`ready after ${Math.round(performance.now())} ms`);

  const prefix = 'You answer for a lighting rental company. '.repeat(200);
  const questions = ['Which reels fit a garden?', 'How long are the cables?', 'Is May free?'];
  for (const question of questions) {
    const response = await requestChat(callers, prefix, question);
    writeLine(
      `${response.target}: first token ${response.firstTokenMs.toFixed(1)} ms, ` +
        `${response.cachedTokens} of ${response.promptTokens} prompt tokens from cache: ${response.text}`,
    );
  }
  const res = await fetch(`${callers}/services/booking/reservations`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${teamKey(team)}`,
      'idempotency-key': 'quickstart-reservation-1',
    },
    body: JSON.stringify({ reels: 4, cables: 12 }),
  });
  writeLine(
    `booking: ${res.status} from ${res.headers.get('x-cicadatide-target')}: ${await res.text()}`,
  );
  if (!res.ok) throw new Error('the booking failed');

  if (!once) {
    printCommands(callers, entry.addresses.operators);
    await new Promise<void>((resolve) => {
      process.once('SIGINT', () => resolve());
      process.once('SIGTERM', () => resolve());
    });
  }
  entry.stop();
  for (const agent of agents) agent.stop();
  await Promise.all([...engines.map(({ standIn }) => standIn.close()), booking.close()]);
}

try {
  await main();
  process.exit(0);
} catch (err) {
  process.stderr.write(`quickstart failed: ${err instanceof Error ? err.message : String(err)}\n`);
  process.exit(1);
}
