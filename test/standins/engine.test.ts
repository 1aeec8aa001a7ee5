import { afterEach, expect, test } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createOpenaiEngine } from '../../src/adapters/openai/engine.js';
import { type EngineRequest, type EnginePort } from '../../src/ports/engine.js';
import { hashBlocks } from '../../src/routing/blocks.js';
import { createCompletion } from './engine/completion.js';
import { createBatch } from './engine/batch.js';
import { createBlockCache } from './engine/blockcache.js';
import { createEventPublisher } from './engine/events.js';
import { createDelayedLoadReport } from './engine/loadreport.js';
import { createOrderHandler } from './engine/orders.js';
import { type EngineOptions, startEngine } from './engine.js';

const model = 'model';
const prompt = 'a shared prompt '.repeat(100);
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function start(options: Partial<EngineOptions> = {}) {
  const engine = await startEngine({
    model,
    answers: 'hashed',
    prefillTokensPerSecond: 1e6,
    decodeTokensPerSecond: 5_000,
    ...options,
  });
  const port = createOpenaiEngine(engine.url);
  closers.push(() => port.dispose(), engine.close);
  return { engine, port };
}

const requestFor = (fields: Partial<EngineRequest> = {}): EngineRequest => ({
  requestId: 'team1.request-1/1',
  kind: 'text',
  body: Buffer.from(JSON.stringify({ model, prompt, max_tokens: 6 })),
  salt: 'team:team1',
  weightsVersion: 'v1',
  priority: 0,
  deliveredText: '',
  deliveredTokens: 0,
  ...fields,
});

async function collect(port: EnginePort, req: EngineRequest) {
  let text = '';
  let cached = -1;
  for await (const event of port.complete(req, noCancellation)) {
    if (event.kind === 'text') text += event.text;
    else cached = event.cachedTokens;
  }
  return { text, cached };
}

// Guards against checks that compare with a text that an uninterrupted run would not generate.
test('a continued completion is the rest of the full one; a wrong prefix is refused', async () => {
  const { port } = await start();
  const completion = createCompletion(prompt);
  expect((await collect(port, requestFor())).text).toBe(completion.text(0, 6));
  const continued = { deliveredText: completion.text(0, 2), deliveredTokens: 2 };
  expect((await collect(port, requestFor(continued))).text).toBe(completion.text(2, 6));
  const wrong = requestFor({ deliveredText: 'other text ', deliveredTokens: 2 });
  await expect(collect(port, wrong)).rejects.toThrow('continue_text');
  await expect(collect(port, requestFor({ weightsVersion: 'v2' }))).rejects.toThrow('409');
});

// Guards against cache hits across teams, and hits that remain after a crash or new weights.
test('cache hits are limited to one team, one incarnation and one weights version', async () => {
  const { engine, port } = await start({ loadMs: 1 });
  const before = engine.incarnation;
  expect((await collect(port, requestFor())).cached).toBe(0);
  expect((await collect(port, requestFor())).cached).toBe(384);
  expect((await collect(port, requestFor({ salt: 'team:team2' }))).cached).toBe(0);
  const chain = { salt: 'team:team1', model, weightsVersion: 'v1', adapter: '' };
  const exported = await port.exportCache(hashBlocks(chain, prompt), noCancellation);
  await engine.crash(1);
  expect(engine.incarnation).not.toBe(before);
  expect((await collect(port, requestFor())).cached).toBe(0);
  await engine.crash(1);
  expect(await port.importCache(exported, noCancellation)).toBe(3);
  expect((await collect(port, requestFor())).cached).toBe(384);
  const order = { orderId: '1', action: 'load-weights', adapter: '', role: '' } as const;
  await port.order({ ...order, fencingNumber: 1n, model, version: 'v2' }, noCancellation);
  expect((await collect(port, requestFor({ weightsVersion: 'v2' }))).cached).toBe(0);
  expect(engine.runs.every(({ foreignBlocks }) => foreignBlocks === 0)).toBe(true);
});

// Guards against eviction of pinned blocks, and of the start of a chain before its end.
test('eviction removes the least recently used unpinned block, the end of a chain first', () => {
  const cache = createBlockCache(3);
  for (const hash of [1n, 2n, 3n]) expect(cache.store(hash, 'team1')).toBe(true);
  expect(cache.store(4n, 'team1')).toBe(false);
  cache.release([1n, 2n, 3n]);
  cache.pin(2n);
  expect(cache.store(4n, 'team1')).toBe(true);
  expect([1n, 2n, 3n, 4n].map((hash) => cache.has(hash))).toEqual([true, true, false, true]);
  expect(cache.takeChanges()).toEqual({ stored: [1n, 2n, 4n], evicted: [3n] });
});

// Guards against blocks that are cached before they are computed, and more running jobs than slots.
test('a batch shares prefill, stores computed blocks and queues by priority', () => {
  const cache = createBlockCache(10);
  const options = { places: 2, prefillTokensPerSecond: 1_000, decodeTokensPerSecond: 100 };
  const batch = createBatch({ ...options, blockTokens: 100 }, cache);
  const log: string[] = [];
  const add = (name: string, priority: number, hashes: readonly bigint[]) =>
    batch.add({
      priority,
      hashes,
      owner: 'team1',
      promptTokens: 200,
      firstToken: 0,
      maxTokens: 2,
      onStart: (cached) => log.push(`${name} starts with ${cached}`),
      onTokens: (from, to) => log.push(`${name} ${from}-${to}`),
      onEnd: () => log.push(`${name} ends`),
      onRemove: (prefilled) => log.push(`${name} computed ${prefilled}`),
    });
  add('a', 0, [1n, 2n]);
  batch.advance(150);
  expect([cache.has(1n), cache.has(2n)]).toEqual([true, false]);
  const cancelB = add('b', 0, [1n, 2n]);
  add('low', 0, [1n]);
  add('high', 5, [1n]);
  expect([batch.running, batch.waiting]).toEqual([2, 2]);
  cancelB();
  batch.advance(50);
  batch.advance(20);
  expect(log).toEqual([
    'a starts with 0',
    'b starts with 1',
    'b computed 0',
    'high starts with 1',
    'a 0-1',
    'a 1-2',
    'a ends',
    'a computed 200',
    'low starts with 1',
  ]);
});

// Guards against stand-ins whose reports are more reliable than those of real engines.
test('lost events leave sequence gaps, load reports are late and old orders fenced', async () => {
  const sent: number[] = [];
  const subscriber = {
    setHeader: () => undefined,
    flushHeaders: () => undefined,
    once: () => undefined,
    write: (text: string) =>
      sent.push((JSON.parse(text.slice('data: '.length)) as { seq: number }).seq),
  };
  const events = createEventPublisher({
    delayMs: 0,
    lossRate: 0.5,
    random: createSeededRandom(1),
  });
  const stored = Array.from({ length: 2_500 }, (_, index) => BigInt(index));
  events.addSubscriber(subscriber as never, { incarnation: 'i', weightsVersion: 'v1', stored });
  const change = { incarnation: 'i', weightsVersion: 'v1', stored: [], evicted: [] };
  for (let index = 0; index < 20; index += 1) events.publish({ ...change, cleared: false });
  // The snapshot is sent in parts of at most 1,024 blocks.
  expect(sent.slice(0, 4)).toEqual([0, 0, 0, expect.any(Number)]);
  expect(sent[3]).toBeGreaterThan(0);
  expect(sent.length).toBeLessThan(3 + 20);
  expect(sent.at(-1)).toBeGreaterThan(sent.length - 3);

  const load = createDelayedLoadReport(2_000);
  load.record(0, { running: 1, waiting: 0 });
  load.record(1_500, { running: 4, waiting: 2 });
  expect([1_000, 2_500, 3_600].map((now) => load.read(now).running)).toEqual([0, 1, 4]);

  const base = { orderId: '1', action: 'change-role', model, version: '', adapter: '', role: 'x' };
  const outcomes = async (checksFencing: boolean) => {
    const apply = (): void => undefined;
    const run = createOrderHandler({ checksFencing, loadMs: 1, loadCounter: { active: 0 }, apply });
    const first = await run({ ...base, fencingNumber: '7' });
    const second = await run({ ...base, fencingNumber: '6' });
    return [first.outcome, second.outcome];
  };
  expect(await outcomes(true)).toEqual(['done', 'fenced']);
  expect(await outcomes(false)).toEqual(['done', 'done']);
});
