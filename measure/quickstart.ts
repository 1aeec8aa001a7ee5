import { createParser } from 'eventsource-parser';
import { createLogger } from '../src/base/logging.js';
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

const write = (line = ''): void => {
  process.stdout.write(`${line}\n`);
};

interface Answer {
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

async function ask(callers: string, prefix: string, question: string): Promise<Answer> {
  const started = performance.now();
  const res = await fetch(`${callers}/v1/chat/completions`, {
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
  const parser = createParser({
    onEvent({ data }) {
      if (data === '[DONE]') {
        done = true;
        return;
      }
      const chunk = JSON.parse(data) as StreamChunk;
      if (chunk.error) throw new Error(chunk.error.message);
      text += chunk.choices[0]?.delta.content ?? '';
      usage = chunk.usage ?? usage;
    },
  });
  for await (const part of res.body.pipeThrough(new TextDecoderStream())) {
    if (firstTokenMs === 0) firstTokenMs = performance.now() - started;
    parser.feed(part);
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

async function main(): Promise<void> {
  const log = createLogger('quickstart', 'warn', process.stderr);
  const engines = await Promise.all(
    ['engine-1', 'engine-2', 'engine-3'].map(async (name) => ({
      name,
      standIn: await startEngine({ model }),
    })),
  );
  const booking = await startService();
  const agents = await Promise.all([
    ...engines.map(({ name, standIn }) => startSiteAgent({ name, url: standIn.url }, log)),
    startSiteAgent(
      { name: 'booking-1', kind: 'service', url: booking.url, service: 'booking' },
      log,
    ),
  ]);
  const entry = await startSiteEntry(
    {
      name: 'entry-1',
      agents: agents.map(({ addresses }) => addresses.internal),
      configuration: siteRecords([team], [model], ['booking']),
    },
    log,
  );
  const callers = entry.addresses.callers ?? '';
  const isReady = async (): Promise<boolean> => {
    const res = await fetch(`${callers}/services/booking/ready`, {
      headers: { authorization: `Bearer ${teamKey(team)}` },
    });
    await res.arrayBuffer();
    return res.ok;
  };
  await waitUntil(isReady);
  await waitForRoute(callers, team, '/v1/completions', { model, prompt: 'ready?', max_tokens: 1 });
  write(`ready after ${Math.round(performance.now())} ms`);

  const prefix = 'You answer for a lighting rental company. '.repeat(200);
  const questions = ['Which reels fit a garden?', 'How long are the cables?', 'Is May free?'];
  for (const question of questions) {
    const answer = await ask(callers, prefix, question);
    write(
      `${answer.target}: first token ${answer.firstTokenMs.toFixed(1)} ms, ` +
        `${answer.cachedTokens} of ${answer.promptTokens} prompt tokens from cache: ${answer.text}`,
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
  write(
    `booking: ${res.status} from ${res.headers.get('x-cicadatide-target')}: ${await res.text()}`,
  );
  if (!res.ok) throw new Error('the booking failed');

  if (!once) {
    write();
    write('Try:');
    write(
      `  curl -N ${callers}/v1/chat/completions -H 'Authorization: Bearer ${teamKey(team)}' ` +
        `-d '{"model":"${model}","stream":true,"messages":[{"role":"user","content":"hello"}]}'`,
    );
    write(`  curl ${callers}/v1/models -H 'Authorization: Bearer ${teamKey(team)}'`);
    write('Stop with Ctrl+C.');
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
