import { afterEach, expect, test } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { startEngine } from '../standins/engine.js';
import { type StandInProxy, startProxy } from '../standins/proxy.js';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
  waitUntil,
} from '../standins/site.js';

const model = 'test-model';
const tokens = 60;
const expected = Array.from({ length: tokens }, (_, at) => `w${at} `).join('');
let cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.reverse()) await cleanup();
  cleanups = [];
});

/** Starts engines with agents behind proxies, and entries that use them. */
async function startSite(engineCount: number, entryCount: number) {
  const configuration = siteRecords(['red', 'blue'], [model], []);
  const engines = [];
  const agents: DaemonProcess[] = [];
  const proxies: StandInProxy[] = [];
  for (let index = 1; index <= engineCount; index += 1) {
    const engine = await startEngine({ model, decodeTokensPerSecond: 20 });
    const agent = await startSiteAgent({ name: `engine-${index}`, url: engine.url });
    const proxy = await startProxy(agent.addresses.internal);
    engines.push(engine);
    agents.push(agent);
    proxies.push(proxy);
    cleanups.push(
      () => engine.close(),
      () => agent.stop(),
      () => proxy.close(),
    );
  }
  const entries: DaemonProcess[] = [];
  for (let index = 1; index <= entryCount; index += 1) {
    const urls = proxies.map(({ url }) => url);
    const entry = await startSiteEntry({ name: `entry-${index}`, agents: urls, configuration });
    entries.push(entry);
    cleanups.push(() => entry.stop());
    const body = { model, prompt: 'x', max_tokens: 1 };
    await waitForRoute(entry.addresses.callers ?? '', 'red', '/v1/completions', body);
  }
  return { engines, agents, proxies, entries };
}

interface Event {
  readonly id: number;
  readonly data: string;
}

async function* readEvents(res: Response): AsyncGenerator<Event> {
  const decoder = new TextDecoder();
  let text = '';
  for await (const part of res.body as unknown as AsyncIterable<Uint8Array>) {
    text += decoder.decode(part, { stream: true });
    for (let end = text.indexOf('\n\n'); end >= 0; end = text.indexOf('\n\n')) {
      const [, id, data] = /^id: (\d+)\ndata: (.*)$/.exec(text.slice(0, end)) ?? [];
      yield { id: Number(id), data: data ?? text.slice(0, end) };
      text = text.slice(end + 2);
    }
  }
}

function openStream(
  entry: DaemonProcess | undefined,
  id: string,
  signal?: AbortSignal,
  maxTokens = tokens,
) {
  return fetch(`${entry?.addresses.callers}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${teamKey('red')}`, 'x-request-id': id },
    body: JSON.stringify({ model, prompt: 'hello', max_tokens: maxTokens, stream: true }),
    signal: signal ?? null,
  });
}

/**
 * Reads events until the stream ends or fails, or `isEnough` returns true. The connection stays
 * open, so the entry does not treat this as a caller disconnect.
 */
async function collectEvents(
  res: Response,
  isEnough: (events: readonly Event[]) => boolean = () => false,
) {
  const events: Event[] = [];
  const iterator = readEvents(res);
  while (!isEnough(events)) {
    const next = await iterator.next().catch(() => undefined);
    if (!next || next.done) break;
    events.push(next.value);
  }
  return events;
}

function textOf(events: readonly Event[]): string {
  const deltas = events.filter(({ data }) => data.startsWith('{"id"'));
  return deltas
    .map(({ data }) => (JSON.parse(data) as { choices: [{ text: string }] }).choices[0].text)
    .join('');
}

function expectIncreasing(events: readonly Event[]): void {
  const ids = events.filter(({ data }) => data !== '[DONE]').map(({ id }) => id);
  expect(ids).toEqual([...new Set(ids)].sort((a, b) => a - b));
}

// Guards against a stream that hangs or loses text when a connection stops delivering data.
test('a stream continues on a new connection when the one from entry to agent stalls', async () => {
  const { proxies, entries } = await startSite(1, 1);
  const res = await openStream(entries[0], 'request-silent');
  const openedBefore = proxies[0]?.opened ?? 0;
  const events = await collectEvents(res, ({ length }) => {
    if (length === 5) proxies[0]?.silence();
    return false;
  });
  expect(textOf(events)).toBe(expected);
  expect(events.at(-1)?.data).toBe('[DONE]');
  expectIncreasing(events);
  expect(proxies[0]?.opened).toBeGreaterThan(openedBefore);
});

// Guards against a lost response when the entry stops, and against reading another team's request.
test('a caller resumes through another entry; other teams get the 404 of unknown ids', async () => {
  const { entries } = await startSite(2, 2);
  const res = await openStream(entries[0], 'request-resumed');
  const target = res.headers.get('x-cicadatide-target') ?? '';
  const before = await collectEvents(res, (events) => events.length === 5);
  entries[0]?.stop();
  const after = before.at(-1)?.id ?? 0;
  const callers = entries[1]?.addresses.callers;
  const requestStream = (
    id: string,
    team: string,
    headers: Record<string, string> = {},
    query = '',
  ) =>
    fetch(`${callers}/v1/requests/${id}/stream${query}`, {
      headers: { authorization: `Bearer ${teamKey(team)}`, ...headers },
    });
  const foreign = await requestStream('request-resumed', 'blue');
  const unknown = await requestStream('request-unknown', 'blue');
  const bodies = [await foreign.text(), await unknown.text()];
  const [first, second] = bodies.map((body) => body.replaceAll(/"request_id":"[^"]*"/g, ''));
  expect([foreign.status, first]).toEqual([unknown.status, second]);
  expect(foreign.status).toBe(404);
  const hinted = { 'x-cicadatide-target': target, 'last-event-id': String(after) };
  const remaining = await collectEvents(await requestStream('request-resumed', 'red', hinted));
  expect(textOf(before) + textOf(remaining)).toBe(expected);
  expect(remaining.at(-1)?.data).toBe('[DONE]');
  expectIncreasing([...before, ...remaining]);
  // The chunks are stored for a while after the end, so a caller can also read them from the start.
  const replay = await collectEvents(await requestStream('request-resumed', 'red', {}, '?after=0'));
  expect(textOf(replay)).toBe(expected);
  expect((await requestStream('request-resumed', 'red', {}, '?after=9999')).status).toBe(410);
});

// Guards against restarted event ids and lost text when the engine crashes during a stream.
test('a stream keeps text and event ids after an engine crash, also when resumed', async () => {
  const { engines, entries } = await startSite(2, 2);
  const res = await openStream(entries[0], 'request-continued');
  const index = Number(res.headers.get('x-cicadatide-target')?.replace('engine-', '')) - 1;
  const events = await collectEvents(res, ({ length }) => {
    if (length === 5) engines[index]?.close().catch(() => undefined);
    return false;
  });
  expect(textOf(events)).toBe(expected);
  expectIncreasing(events);
  const early = events[2]?.id ?? 0;
  const url = `${entries[1]?.addresses.callers}/v1/requests/request-continued/stream?after=${early}`;
  const headers = { authorization: `Bearer ${teamKey('red')}` };
  const resumed = await collectEvents(await fetch(url, { headers }));
  expect(textOf(resumed)).toBe(textOf(events.slice(3)));
});

// Guards against work that continues after its caller disconnected, and against a resumed stream
// that is cancelled by the first entry.
test('a caller disconnect cancels the request unless it was resumed elsewhere', async () => {
  const { agents, entries } = await startSite(1, 2);
  const disconnecting = new AbortController();
  const unfinished = await openStream(entries[0], 'request-left', disconnecting.signal, 2_000);
  await collectEvents(unfinished, (all) => all.length === 3);
  disconnecting.abort();
  // Shorter than the resume window of 5 s, after which the agent cancels an unread attempt by itself.
  await waitUntil(() => agents[0]?.active === 0, 4_000);

  const superseded = new AbortController();
  const original = await openStream(entries[0], 'request-moved', superseded.signal);
  const before = await collectEvents(original, (all) => all.length === 3);
  const url = `${entries[1]?.addresses.callers}/v1/requests/request-moved/stream`;
  const headers = { authorization: `Bearer ${teamKey('red')}` };
  const res = await fetch(`${url}?after=${before.at(-1)?.id}`, { headers });
  superseded.abort();
  expect(textOf(before) + textOf(await collectEvents(res))).toBe(expected);
});
