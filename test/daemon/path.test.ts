import OpenAI from 'openai';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { type StandInEngine, startEngine } from '../standins/engine.js';
import { type StandInService, startService } from '../standins/service.js';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
} from '../standins/site.js';

const model = 'test-model';
let engine: StandInEngine;
let service: StandInService;
let agents: DaemonProcess[];
let entry: DaemonProcess;
let client: OpenAI;

beforeAll(async () => {
  engine = await startEngine({ model, decodeTokensPerSecond: 2_000 });
  service = await startService();
  agents = await Promise.all([
    startSiteAgent({ name: 'engine-1', url: engine.url }),
    startSiteAgent({ name: 'desk-1', kind: 'service', url: service.url, service: 'desk' }),
  ]);
  const configuration = siteRecords(['red'], [model], ['desk']);
  const internal = agents.map(({ addresses }) => addresses.internal);
  entry = await startSiteEntry({ name: 'entry-1', agents: internal, configuration });
  const callers = entry.addresses.callers ?? '';
  client = new OpenAI({ apiKey: teamKey('red'), baseURL: `${callers}/v1`, maxRetries: 0 });
  await waitForRoute(callers, 'red', '/v1/completions', { model, prompt: 'x', max_tokens: 1 });
  await waitForRoute(callers, 'red', '/services/desk/ready', {});
});

afterAll(async () => {
  entry.stop();
  for (const agent of agents) agent.stop();
  await Promise.all([engine.close(), service.close()]);
});

// Guards against a response shape that the OpenAI client library can't read.
test('the OpenAI client library reads complete and streamed responses and errors', async () => {
  const messages = [{ role: 'user' as const, content: 'hello' }];
  const whole = await client.chat.completions.create({ model, messages, max_tokens: 3 });
  expect(whole.choices[0]?.message.content).toBe('w0 w1 w2 ');
  expect(whole.usage?.completion_tokens).toBe(3);
  const stream = await client.chat.completions.create({
    model,
    messages,
    max_tokens: 3,
    stream: true,
  });
  let text = '';
  let finish: string | null = null;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
    finish = chunk.choices[0]?.finish_reason ?? finish;
  }
  expect({ text, finish }).toEqual({ text: 'w0 w1 w2 ', finish: 'stop' });
  const legacy = await client.completions.create({ model, prompt: 'hello', max_tokens: 2 });
  expect(legacy.choices[0]?.text).toBe('w0 w1 ');
  const models = await client.models.list();
  expect(models.data.map(({ id }) => id)).toEqual([model]);
  const unknown = client.chat.completions.create({ model: 'missing', messages });
  await expect(unknown).rejects.toMatchObject({ status: 404, code: 'unknownModel' });
});

// Guards against a service call that loses its body, path or status in transit, or runs again.
test('a service call keeps method, path and body, and runs once', async () => {
  const res = await fetch(`${entry.addresses.callers}/services/desk/orders/7?x=1`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${teamKey('red')}`, 'idempotency-key': 'order-7' },
    body: 'four reels',
  });
  expect(res.status).toBe(200);
  const body: unknown = await res.json();
  expect(body).toEqual({ method: 'PUT', path: '/orders/7?x=1', received: 'four reels', run: 1 });
  expect(service.runs.get('order-7')).toBe(1);
  const repeat = await fetch(`${entry.addresses.callers}/services/desk/orders/7?x=1`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${teamKey('red')}`, 'idempotency-key': 'order-7' },
    body: 'four reels',
  });
  expect(repeat.headers.get('x-cicadatide-replayed')).toBe('true');
  expect(await repeat.json()).toEqual(body);
  expect(service.runs.get('order-7')).toBe(1);
});
