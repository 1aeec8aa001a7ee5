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
  for (let at = 1; at <= engineCount; at += 1) {
    const engine = await startEngine({ model, decodeTokensPerSecond: 20 });
    const agent = await startSiteAgent({ name: `engine-${at}`, url: engine.url });
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
  for (let at = 1; at <= entryCount; at += 1) {
    const urls = proxies.map(({ url }) => url);
    const entry = await startSiteEntry({ name: `entry-${at}`, agents: urls, configuration });
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
 * Reads events until the stream ends, breaks, or `enough` says so. The connection stays open, so
 * the entry does not take this for a caller that leaves.
 */
async function collect(res: Response, enough: (events: readonly Event[]) => boolean = () => false) {
  const events: Event[] = [];
  const iterator = readEvents(res);
  while (!enough(events)) {
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

// Guards against a stream that hangs or loses text on a connection that went silent.
test('a silent connection between entry and agent: the stream goes on on a new one', async () => {
  const { proxies, entries } = await startSite(1, 1);
  const res = await openStream(entries[0], 'request-silent');
  const openedBefore = proxies[0]?.opened ?? 0;
  const events = await collect(res, ({ length }) => {
    if (length === 5) proxies[0]?.silence();
    return false;
  });
  expect(textOf(events)).toBe(expected);
  expect(events.at(-1)?.data).toBe('[DONE]');
  expectIncreasing(events);
  expect(proxies[0]?.opened).toBeGreaterThan(openedBefore);
});

// Guards against a lost answer when the entry dies, and against reading another team's request.
test('a caller resumes by request id through another entry; others get the same 404', async () => {
  const { entries } = await startSite(2, 2);
  const res = await openStream(entries[0], 'request-resumed');
  const target = res.headers.get('x-cicadatide-target') ?? '';
  const before = await collect(res, (events) => events.length === 5);
  entries[0]?.stop();
  const after = before.at(-1)?.id ?? 0;
  const callers = entries[1]?.addresses.callers;
  const ask = (id: string, team: string, headers: Record<string, string> = {}, query = '') =>
    fetch(`${callers}/v1/requests/${id}/stream${query}`, {
      headers: { authorization: `Bearer ${teamKey(team)}`, ...headers },
    });
  const foreign = await ask('request-resumed', 'blue');
  const unknown = await ask('request-unknown', 'blue');
  const bodies = [await foreign.text(), await unknown.text()];
  const [first, second] = bodies.map((body) => body.replaceAll(/"request_id":"[^"]*"/g, ''));
  expect([foreign.status, first]).toEqual([unknown.status, second]);
  expect(foreign.status).toBe(404);
  const hinted = { 'x-cicadatide-target': target, 'last-event-id': String(after) };
  const rest = await collect(await ask('request-resumed', 'red', hinted));
  expect(textOf(before) + textOf(rest)).toBe(expected);
  expect(rest.at(-1)?.data).toBe('[DONE]');
  expectIncreasing([...before, ...rest]);
  // The run is kept for a while after its end, so a caller can also read it from the start.
  const again = await collect(await ask('request-resumed', 'red', {}, '?after=0'));
  expect(textOf(again)).toBe(expected);
  expect((await ask('request-resumed', 'red', {}, '?after=9999')).status).toBe(410);
});

// Guards against restarted numbers and lost text when the engine crashes under a stream.
test('a continuation after an engine crash keeps text and numbers, also for a resume', async () => {
  const { engines, entries } = await startSite(2, 2);
  const res = await openStream(entries[0], 'request-continued');
  const at = Number(res.headers.get('x-cicadatide-target')?.replace('engine-', '')) - 1;
  const events = await collect(res, ({ length }) => {
    if (length === 5) engines[at]?.close().catch(() => undefined);
    return false;
  });
  expect(textOf(events)).toBe(expected);
  expectIncreasing(events);
  const early = events[2]?.id ?? 0;
  const url = `${entries[1]?.addresses.callers}/v1/requests/request-continued/stream?after=${early}`;
  const headers = { authorization: `Bearer ${teamKey('red')}` };
  const resumed = await collect(await fetch(url, { headers }));
  expect(textOf(resumed)).toBe(textOf(events.slice(3)));
});

// Guards against work that goes on for a caller who left, and a resume that its first entry ends.
test('a caller that leaves ends the work, unless it has resumed elsewhere', async () => {
  const { agents, entries } = await startSite(1, 2);
  const leaving = new AbortController();
  const long = await openStream(entries[0], 'request-left', leaving.signal, 2_000);
  await collect(long, (all) => all.length === 3);
  leaving.abort();
  // Less than the resume window of 5 s, after which the agent ends an unread run by itself.
  await waitUntil(() => agents[0]?.active === 0, 4_000);

  const moving = new AbortController();
  const first = await openStream(entries[0], 'request-moved', moving.signal);
  const before = await collect(first, (all) => all.length === 3);
  const url = `${entries[1]?.addresses.callers}/v1/requests/request-moved/stream`;
  const headers = { authorization: `Bearer ${teamKey('red')}` };
  const res = await fetch(`${url}?after=${before.at(-1)?.id}`, { headers });
  moving.abort();
  expect(textOf(before) + textOf(await collect(res))).toBe(expected);
});
