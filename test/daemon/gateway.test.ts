import { Agent, type IncomingHttpHeaders, request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  configuration,
  isReady,
  model,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';

interface CallerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection closed before the end of the response. */
  readonly isComplete: boolean;
}

interface RequestOptions {
  readonly url: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Keeps the connection open for the next request. */
  readonly agent?: Agent;
  /** Closes the connection this long after the response headers. */
  readonly disconnectAfterMs?: number;
}

let nextId = 0;

function sendRequest({
  url,
  method,
  headers,
  body,
  agent,
  disconnectAfterMs,
}: RequestOptions): Promise<CallerResponse> {
  nextId += 1;
  return new Promise((resolve, reject) => {
    const req = request(url, {
      agent: agent ?? false,
      method: method ?? (body === undefined ? 'GET' : 'POST'),
      headers: {
        Host: 'site.test',
        'X-Request-Id': `request-${nextId}`,
        'X-Deadline-Ms': '1500',
        'X-Api-Key': 'key-a',
        ...headers,
      },
    });
    req.on('error', reject);
    req.on('response', (res) => {
      let text = '';
      const finish = (isComplete: boolean): void =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: text,
          isComplete,
        });
      res.on('data', (chunk: Buffer) => {
        text += chunk.toString('utf8');
      });
      res.on('end', () => finish(res.complete));
      res.on('error', () => finish(false));
      if (disconnectAfterMs !== undefined) setTimeout(() => req.destroy(), disconnectAfterMs);
    });
    req.end(body);
  });
}

const promptHeaders = {
  'X-Model': model,
  'X-Token-Count': '900,40',
  'X-Prompt-Prefix': 'aa01:500,bb02:300,cc03:100',
};

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

describe('a gateway', () => {
  it('forwards a request unchanged except for the headers that the system sets', async () => {
    const desk = await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const res = await sendRequest({
      url: `${addresses.callers}/order/reels?count=2`,
      body: '{"reels":2}',
      headers: {
        'X-Tenant': 'forged',
        'X-Cache-Salt': 'forged',
        'X-Hold': 'h1',
        'X-Other': 'kept',
      },
    });
    expect([res.status, res.body]).toEqual([200, 'answer of desk-1']);
    expect(res.headers['x-server-stamp']).toBe('stamp.desk-1');
    const [run] = desk.runs;
    const { headers } = run as NonNullable<typeof run>;
    expect([run?.method, run?.path, run?.body]).toEqual([
      'POST',
      '/order/reels?count=2',
      '{"reels":2}',
    ]);
    expect(headers['x-tenant']).toBe('team-a');
    expect(headers['x-expect-instance']).toBe('desk-1');
    expect(headers['x-other']).toBe('kept');
    expect([headers['x-api-key'], headers['x-cache-salt'], headers['x-hold']]).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
    expect(Number(headers['x-deadline-ms'])).toBeLessThanOrEqual(1_500);
  });

  it('refuses only requests that the configuration does not allow', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const base = addresses.callers as string;
    const statuses = [
      await sendRequest({ url: `${base}/look/x`, headers: { 'X-Api-Key': 'wrong' } }),
      await sendRequest({ url: `${base}/nowhere/x` }),
      await sendRequest({ url: `${base}/look/x`, headers: { Host: 'other.test' } }),
      await sendRequest({ url: `${base}/open/x`, headers: { 'X-Api-Key': 'wrong' } }),
      await sendRequest({ url: `${base}/order/x`, body: 'x'.repeat(70_000) }),
    ].map(({ status }) => status);
    expect(statuses).toEqual([401, 404, 404, 200, 413]);
  });

  it('becomes ready when the first configuration arrives after its start', async () => {
    site.store.remove('op', 'config');
    const started = site.startGateway('gw-1');
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    site.store.put('op', 'config', configuration(2));
    expect(await isReady(await started)).toBe(true);
  });

  it('applies a new configuration and ignores an older one', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/look/x`;
    const tenants = [{ name: 'team-a', apiKeys: ['key-new'], isolated: false }];
    site.store.put('op', 'config', configuration(3, { tenants }));
    await until(async () => (await sendRequest({ url })).status === 401);
    site.store.put('op', 'config', configuration(2));
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect((await sendRequest({ url })).status).toBe(401);
    expect((await sendRequest({ url, headers: { 'X-Api-Key': 'key-new' } })).status).toBe(200);
  });

  it('keeps its configuration when the operator row can not be decoded', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    site.store.putRaw('op', 'config', Buffer.from([0xff, 0x00, 0x7b]));
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect((await sendRequest({ url: `${addresses.callers}/look/x` })).status).toBe(200);
  });

  it('detects unresponsive connections to the store', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    site.store.silenceConnections();
    site.store.put('op', 'config', configuration(2, { tenants: [] }));
    await until(
      async () => (await sendRequest({ url: `${addresses.callers}/look/x` })).status === 401,
    );
  });

  it('keeps serving while the store is busy and applies its changes afterwards', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/look/x`;
    site.store.fault = 'busy';
    site.store.put('op', 'config', configuration(2, { tenants: [] }));
    expect((await sendRequest({ url })).status).toBe(200);
    site.store.fault = 'none';
    await until(async () => (await sendRequest({ url })).status === 401);
  });
});

describe('calls to plain services', () => {
  it('never retries an unsafe call whose response is lost', async () => {
    const targets = [
      await site.startTarget('desk', { id: 'desk-1' }),
      await site.startTarget('desk', { id: 'desk-2' }),
    ];
    for (const target of targets) target.behaviour = { ...target.behaviour, fault: 'cut' };
    const { addresses } = await site.startGateway('gw-1');
    const res = await sendRequest({ url: `${addresses.callers}/order/x`, body: 'one' });
    expect(res.status).toBe(502);
    expect(targets.flatMap(({ runs }) => runs)).toHaveLength(1);
  });

  it('retries an unsafe call at another target when the first one reports that it did not run it', async () => {
    const fullTarget = await site.startTarget('desk', { id: 'desk-1' });
    fullTarget.behaviour = { ...fullTarget.behaviour, fault: 'full' };
    await site.startTarget('desk', { id: 'desk-2' });
    const { addresses } = await site.startSettledGateway('gw-1');
    for (let count = 0; count < 6; count += 1) {
      const res = await sendRequest({ url: `${addresses.callers}/order/x`, body: 'one' });
      expect([res.status, res.body]).toEqual([200, 'answer of desk-2']);
    }
    expect(fullTarget.runs).toHaveLength(0);
  });

  it('retries a safe call at another target and never forwards an invalid response', async () => {
    const faulty = await site.startTarget('desk', { id: 'desk-1' });
    await site.startTarget('desk', { id: 'desk-2' });
    const { addresses } = await site.startSettledGateway('gw-1');
    for (const fault of ['cut', 'unsigned', 'foreign', 'error'] as const) {
      faulty.behaviour = { ...faulty.behaviour, fault };
      for (let count = 0; count < 2; count += 1) {
        const res = await sendRequest({ url: `${addresses.callers}/look/x` });
        expect([fault, res.status, res.body]).toEqual([fault, 200, 'answer of desk-2']);
      }
    }
  });

  it('forwards the error response of a target unchanged when there is no other target', async () => {
    const only = await site.startTarget('desk', { id: 'desk-1' });
    only.behaviour = { ...only.behaviour, fault: 'error' };
    const { addresses } = await site.startGateway('gw-1');
    const res = await sendRequest({ url: `${addresses.callers}/order/x`, body: 'one' });
    expect([res.status, res.body, res.headers['x-server-stamp']]).toEqual([
      500,
      'failed',
      'stamp.desk-1',
    ]);
  });

  it('refuses a call with Retry-After when its service has no target', async () => {
    const { addresses } = await site.startGateway('gw-1');
    const res = await sendRequest({ url: `${addresses.callers}/order/x`, body: 'one' });
    expect(res.status).toBe(503);
    expect(Number(res.headers['retry-after'])).toBeGreaterThan(0);
  });

  it('sends no call to another target that reuses the address of a stopped one', async () => {
    const old = await site.startTarget('desk', { id: 'desk-old' });
    const { port } = old;
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/order/x`;
    expect((await sendRequest({ url, body: 'one' })).status).toBe(200);
    await old.close();
    const replacement = await site.startTarget('llm', { id: 'other', model, port });
    expect((await sendRequest({ url, body: 'two' })).status).toBe(503);
    expect(replacement.runs).toHaveLength(0);
  });
});

describe('streams', () => {
  const completeStream = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');

  it('are forwarded completely, with the team and the weights version in the request headers', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/fit/x`;
    const res = await sendRequest({ url, body: 'prompt', headers: promptHeaders });
    expect([res.status, res.body, res.isComplete]).toEqual([200, completeStream, true]);
    await sendRequest({ url, body: 'prompt', headers: { ...promptHeaders, 'X-Api-Key': 'key-b' } });
    const sent = engine.runs.map(({ headers }) => [
      headers['x-tenant'],
      headers['x-expect-version'],
      headers['x-cache-salt'],
    ]);
    expect(sent).toEqual([
      ['team-a', '1', 'v1.without.62c19688f9df'],
      ['team-b', '1', 'v1.team.team-b'],
    ]);
  });

  it('resume at another engine after the last event that the caller received', async () => {
    const first = await site.startTarget('llm', { id: 'llm-1', model });
    first.behaviour = { ...first.behaviour, fault: 'cut' };
    const { addresses } = await site.startSettledGateway('gw-1');
    const second = await site.startTarget('llm', { id: 'llm-2', model });
    const url = `${addresses.callers}/fit/x`;
    let prompts = 0;
    await until(async () => {
      prompts += 1;
      // A prompt that no engine has prefilled yet may go to either of them.
      const headers = { ...promptHeaders, 'X-Prompt-Prefix': `${prompts}a:500,${prompts}b:400` };
      const res = await sendRequest({ url, body: 'prompt', headers });
      expect([res.status, res.body, res.isComplete]).toEqual([200, completeStream, true]);
      return second.runs.some(({ headers }) => headers['last-event-id'] === '2');
    });
  });

  it('resume at another engine from the KV cache backup when they may not run twice', async () => {
    const first = await site.startTarget('llm', { id: 'llm-1', model });
    const second = await site.startTarget('llm', { id: 'llm-2', model });
    const { addresses } = await site.startSettledGateway('gw-1');
    const url = `${addresses.callers}/reply/x`;
    const engines = [first, second];
    for (const engine of engines) engine.behaviour = { ...engine.behaviour, gapMs: 30 };
    const running = sendRequest({ url, body: 'prompt', headers: promptHeaders });
    await until(() => engines.some(({ runs }) => runs.length > 0));
    const source = first.runs.length > 0 ? first : second;
    const copy = source === first ? second : first;
    const [run] = source.runs;
    expect(run?.headers['x-kv-backup']).toBe(`127.0.0.1:${copy.port}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    await source.close();
    const res = await running;
    expect([res.status, res.body, res.isComplete]).toEqual([200, completeStream, true]);
    const [continued] = copy.runs;
    expect(continued?.headers['kv-from']).toBe(`127.0.0.1:${copy.port}/${run?.requestId}`);
  });

  // Guards against a stream that two engines work on: a closed connection does not end every run.
  it.each([
    ['its engine stops it', { ignoresStops: false }],
    ['its engine no longer lists it', { ignoresStops: true }],
  ])('go on elsewhere only when the run before has ended (%s)', async (_name, { ignoresStops }) => {
    const engines = [
      await site.startTarget('llm', { id: 'llm-1', model }),
      await site.startTarget('llm', { id: 'llm-2', model }),
    ];
    const { addresses } = await site.startSettledGateway('gw-1');
    const behaviour = { firstByteMs: 5, events: 14, gapMs: 40, keepsWorking: true, ignoresStops };
    for (const engine of engines) engine.behaviour = { ...behaviour, fault: 'garble' };
    const url = `${addresses.callers}/reply/x`;
    const headers = { ...promptHeaders, 'X-Deadline-Ms': '2000' };
    const running = sendRequest({ url, body: 'prompt', headers });
    await until(() => engines.some(({ runs }) => runs.length > 0));
    const copy = engines.find(({ runs }) => runs.length === 0);
    if (copy) copy.behaviour = { ...behaviour, fault: 'none' };
    const { status, body, isComplete } = await running;
    expect({ status, isComplete, events: body.match(/^id: /gm)?.length }).toEqual({
      status: 200,
      isComplete: true,
      events: 14,
    });
    const [before] = engines.flatMap(({ runs }) => runs.filter((run) => !run.headers['kv-from']));
    const [after] = engines.flatMap(({ runs }) => runs.filter((run) => run.headers['kv-from']));
    // The stand-in learns at its next event that it was told to stop.
    expect((after?.startedAt ?? 0) + 60).toBeGreaterThan(before?.endedAt ?? Infinity);
  });

  it('never appear complete when they are interrupted and can not resume', async () => {
    const only = await site.startTarget('llm', { id: 'llm-1', model });
    only.behaviour = { ...only.behaviour, fault: 'cut' };
    const { addresses } = await site.startGateway('gw-1');
    const res = await sendRequest({
      url: `${addresses.callers}/reply/x`,
      body: 'prompt',
      headers: promptHeaders,
    });
    expect(res.isComplete).toBe(false);
    expect(res.body).not.toContain('to\n');
    expect(only.runs).toHaveLength(1);
  });

  it('are aborted at the engine when the caller disconnects', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, events: 200, gapMs: 10 };
    const { addresses } = await site.startGateway('gw-1');
    await sendRequest({
      url: `${addresses.callers}/fit/x`,
      body: 'prompt',
      headers: promptHeaders,
      disconnectAfterMs: 50,
    }).catch(() => undefined);
    await until(() => engine.runs[0]?.isInterrupted === true);
  });

  it('time out with 504 at the deadline of the request', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, fault: 'mute' };
    const { addresses } = await site.startGateway('gw-1');
    const res = await sendRequest({
      url: `${addresses.callers}/reply/x`,
      body: 'prompt',
      headers: { ...promptHeaders, 'X-Deadline-Ms': '300' },
    });
    expect(res.status).toBe(504);
  });
});

describe('a planned shutdown', () => {
  it('lets running requests finish and reports not ready meanwhile', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, events: 40, gapMs: 20 };
    const gateway = await site.startGateway('gw-1');
    const running = sendRequest({
      url: `${gateway.addresses.callers}/fit/x`,
      body: 'prompt',
      headers: promptHeaders,
    });
    await until(() => engine.runs.length === 1);
    const stopped = gateway.drain();
    expect(await isReady(gateway)).toBe(false);
    expect((await running).isComplete).toBe(true);
    await stopped;
  });
});

describe('a connection that is open during a planned shutdown', () => {
  it('still gets a response to the request that follows a running one', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, events: 20, gapMs: 20 };
    const gateway = await site.startGateway('gw-1');
    const url = `${gateway.addresses.callers}/fit/x`;
    const concurrent = sendRequest({ url, body: 'prompt', headers: promptHeaders });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const first = sendRequest({ url, body: 'prompt', headers: promptHeaders, agent });
    // Waits for the connection of the first request, so it is sent right after that response.
    const second = sendRequest({ url, body: 'prompt', headers: promptHeaders, agent });
    await until(() => engine.runs.length === 2);
    engine.behaviour = { ...engine.behaviour, events: 40 };
    const stopped = gateway.drain();
    expect((await first).isComplete).toBe(true);
    expect((await second).status).toBe(503);
    expect((await concurrent).isComplete).toBe(true);
    await stopped;
    agent.destroy();
  });

  // The caller can't know of the shutdown: the head of its first response was sent before.
  it('gets a refusal, not a reset, for a request sent just after the last response', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, events: 40, gapMs: 20 };
    const gateway = await site.startGateway('gw-1');
    const url = `${gateway.addresses.callers}/fit/x`;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const first = sendRequest({ url, body: 'prompt', headers: promptHeaders, agent });
    await until(() => engine.runs.length === 1);
    const stopped = gateway.drain();
    expect((await first).isComplete).toBe(true);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    const second = await sendRequest({ url, body: 'prompt', headers: promptHeaders, agent });
    expect(second.status).toBe(503);
    await stopped;
    agent.destroy();
  });
});

describe('new weights', () => {
  it('are loaded into every engine by one holder of the order lease, and requests use them', async () => {
    const engines = [
      await site.startTarget('llm', { id: 'llm-1', model }),
      await site.startTarget('llm', { id: 'llm-2', model }),
      await site.startTarget('llm', { id: 'llm-3', model }),
    ];
    const first = await site.startGateway('gw-1');
    await site.startGateway('gw-2');
    site.store.put('op', `version/${model}`, { model, version: 4 });
    await until(() => engines.every(({ weights }) => weights === 4));
    const holders = engines.flatMap(({ orders }) => orders.map(({ holder }) => holder));
    expect(new Set(holders).size).toBe(1);
    expect(holders).toHaveLength(3);
    const url = `${first.addresses.callers}/fit/x`;
    const res = await sendRequest({ url, body: 'prompt', headers: promptHeaders });
    expect(res.isComplete).toBe(true);
    const salts = engines.flatMap(({ runs }) => runs.map(({ headers }) => headers['x-cache-salt']));
    expect(salts).toEqual(['v4.without.62c19688f9df']);
  });
});
