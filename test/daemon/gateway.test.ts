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

interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection broke before the end of the answer. */
  readonly isWhole: boolean;
}

interface CallerCall {
  readonly url: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Keeps its connection for the next call. */
  readonly agent?: Agent;
  /** Leaves this long after the head of the answer. */
  readonly leaveAfterMs?: number;
}

let nextId = 0;

function call({
  url,
  method,
  headers,
  body,
  agent,
  leaveAfterMs,
}: CallerCall): Promise<CallerAnswer> {
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
      const finish = (isWhole: boolean): void =>
        resolve({ status: res.statusCode ?? 0, headers: res.headers, body: text, isWhole });
      res.on('data', (chunk: Buffer) => {
        text += chunk.toString('utf8');
      });
      res.on('end', () => finish(res.complete));
      res.on('error', () => finish(false));
      if (leaveAfterMs !== undefined) setTimeout(() => req.destroy(), leaveAfterMs);
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
  it('forwards a call unchanged and sets only what the system may set', async () => {
    const desk = await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const answer = await call({
      url: `${addresses.callers}/order/reels?count=2`,
      body: '{"reels":2}',
      headers: {
        'X-Tenant': 'forged',
        'X-Cache-Salt': 'forged',
        'X-Hold': 'h1',
        'X-Other': 'kept',
      },
    });
    expect([answer.status, answer.body]).toEqual([200, 'answer of desk-1']);
    expect(answer.headers['x-server-stamp']).toBe('stamp.desk-1');
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

  it('refuses what the configuration does not allow, and only that', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const base = addresses.callers as string;
    const statuses = [
      await call({ url: `${base}/look/x`, headers: { 'X-Api-Key': 'wrong' } }),
      await call({ url: `${base}/nowhere/x` }),
      await call({ url: `${base}/look/x`, headers: { Host: 'other.test' } }),
      await call({ url: `${base}/open/x`, headers: { 'X-Api-Key': 'wrong' } }),
      await call({ url: `${base}/order/x`, body: 'x'.repeat(70_000) }),
    ].map(({ status }) => status);
    expect(statuses).toEqual([401, 404, 404, 200, 413]);
  });

  it('answers 503 before it knows a configuration, and is not ready', async () => {
    site.store.remove('op', 'config');
    const started = site.startGateway('gw-1');
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    site.store.put('op', 'config', configuration(2));
    expect(await isReady(await started)).toBe(true);
  });

  it('applies a new configuration and never goes back to an older one', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/look/x`;
    const tenants = [{ name: 'team-a', apiKeys: ['key-new'], isolated: false }];
    site.store.put('op', 'config', configuration(3, { tenants }));
    await until(async () => (await call({ url })).status === 401);
    site.store.put('op', 'config', configuration(2));
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect((await call({ url })).status).toBe(401);
    expect((await call({ url, headers: { 'X-Api-Key': 'key-new' } })).status).toBe(200);
  });

  it('keeps its configuration over foreign bytes in the row of the operator', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    site.store.putRaw('op', 'config', Buffer.from([0xff, 0x00, 0x7b]));
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect((await call({ url: `${addresses.callers}/look/x` })).status).toBe(200);
  });

  it('notices that its connections to the store went silent', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    site.store.silenceConnections();
    site.store.put('op', 'config', configuration(2, { tenants: [] }));
    await until(async () => (await call({ url: `${addresses.callers}/look/x` })).status === 401);
  });

  it('serves on while the store is down and catches up after it', async () => {
    await site.startTarget('desk', { id: 'desk-1' });
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/look/x`;
    site.store.fault = 'busy';
    site.store.put('op', 'config', configuration(2, { tenants: [] }));
    expect((await call({ url })).status).toBe(200);
    site.store.fault = 'none';
    await until(async () => (await call({ url })).status === 401);
  });
});

describe('calls of plain services', () => {
  it('never sends an unsafe call a second time when its answer is lost', async () => {
    const targets = [
      await site.startTarget('desk', { id: 'desk-1' }),
      await site.startTarget('desk', { id: 'desk-2' }),
    ];
    for (const target of targets) target.behaviour = { ...target.behaviour, fault: 'cut' };
    const { addresses } = await site.startGateway('gw-1');
    const answer = await call({ url: `${addresses.callers}/order/x`, body: 'one' });
    expect(answer.status).toBe(502);
    expect(targets.flatMap(({ runs }) => runs)).toHaveLength(1);
  });

  it('sends an unsafe call elsewhere when a target says that it did not run it', async () => {
    const full = await site.startTarget('desk', { id: 'desk-1' });
    full.behaviour = { ...full.behaviour, fault: 'full' };
    await site.startTarget('desk', { id: 'desk-2' });
    const { addresses } = await site.startGateway('gw-1');
    for (let count = 0; count < 6; count += 1) {
      const answer = await call({ url: `${addresses.callers}/order/x`, body: 'one' });
      expect([answer.status, answer.body]).toEqual([200, 'answer of desk-2']);
    }
    expect(full.runs).toHaveLength(0);
  });

  it('repeats a safe call at another target and never passes on a spoilt answer', async () => {
    const bad = await site.startTarget('desk', { id: 'desk-1' });
    await site.startTarget('desk', { id: 'desk-2' });
    const { addresses } = await site.startGateway('gw-1');
    for (const fault of ['cut', 'unsigned', 'foreign', 'error'] as const) {
      bad.behaviour = { ...bad.behaviour, fault };
      for (let count = 0; count < 2; count += 1) {
        const answer = await call({ url: `${addresses.callers}/look/x` });
        expect([fault, answer.status, answer.body]).toEqual([fault, 200, 'answer of desk-2']);
      }
    }
  });

  it('passes on the failure of a target as it is when no other target does better', async () => {
    const only = await site.startTarget('desk', { id: 'desk-1' });
    only.behaviour = { ...only.behaviour, fault: 'error' };
    const { addresses } = await site.startGateway('gw-1');
    const answer = await call({ url: `${addresses.callers}/order/x`, body: 'one' });
    expect([answer.status, answer.body, answer.headers['x-server-stamp']]).toEqual([
      500,
      'failed',
      'stamp.desk-1',
    ]);
  });

  it('refuses with a time to come back when a service has no target', async () => {
    const { addresses } = await site.startGateway('gw-1');
    const answer = await call({ url: `${addresses.callers}/order/x`, body: 'one' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });

  it('uses the run that took over an address only under its own id', async () => {
    const old = await site.startTarget('desk', { id: 'desk-old' });
    const { port } = old;
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/order/x`;
    expect((await call({ url, body: 'one' })).status).toBe(200);
    await old.close();
    const next = await site.startTarget('llm', { id: 'other', model, port });
    expect((await call({ url, body: 'two' })).status).toBe(503);
    expect(next.runs).toHaveLength(0);
  });
});

describe('streams', () => {
  const whole = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');

  it('are forwarded whole with the engine, the team and the version in force', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/fit/x`;
    const answer = await call({ url, body: 'prompt', headers: promptHeaders });
    expect([answer.status, answer.body, answer.isWhole]).toEqual([200, whole, true]);
    await call({ url, body: 'prompt', headers: { ...promptHeaders, 'X-Api-Key': 'key-b' } });
    const sent = engine.runs.map(({ headers }) => [
      headers['x-tenant'],
      headers['x-expect-version'],
      headers['x-cache-salt'],
    ]);
    expect(sent).toEqual([
      ['team-a', '1', 'v1'],
      ['team-b', '1', 'v1.team.team-b'],
    ]);
  });

  it('go on at another engine after the last event that the caller has', async () => {
    const first = await site.startTarget('llm', { id: 'llm-1', model });
    first.behaviour = { ...first.behaviour, fault: 'cut' };
    const { addresses } = await site.startGateway('gw-1');
    const second = await site.startTarget('llm', { id: 'llm-2', model });
    const url = `${addresses.callers}/fit/x`;
    let prompts = 0;
    await until(async () => {
      prompts += 1;
      // A prompt that no engine has read yet may go to either of them.
      const headers = { ...promptHeaders, 'X-Prompt-Prefix': `${prompts}a:500,${prompts}b:400` };
      const answer = await call({ url, body: 'prompt', headers });
      expect([answer.status, answer.body, answer.isWhole]).toEqual([200, whole, true]);
      return second.runs.some(({ headers }) => headers['last-event-id'] === '2');
    });
  });

  it('go on from the copy of a run where they may not run a second time', async () => {
    const first = await site.startTarget('llm', { id: 'llm-1', model });
    const second = await site.startTarget('llm', { id: 'llm-2', model });
    const { addresses } = await site.startGateway('gw-1');
    const url = `${addresses.callers}/reply/x`;
    const engines = [first, second];
    for (const engine of engines) engine.behaviour = { ...engine.behaviour, gapMs: 30 };
    const running = call({ url, body: 'prompt', headers: promptHeaders });
    await until(() => engines.some(({ runs }) => runs.length > 0));
    const source = first.runs.length > 0 ? first : second;
    const copy = source === first ? second : first;
    const [run] = source.runs;
    expect(run?.headers['x-kv-backup']).toBe(`127.0.0.1:${copy.port}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    await source.close();
    const answer = await running;
    expect([answer.status, answer.body, answer.isWhole]).toEqual([200, whole, true]);
    const [continued] = copy.runs;
    expect(continued?.headers['kv-from']).toBe(`127.0.0.1:${copy.port}/${run?.requestId}`);
  });

  it('never look complete when they break off and can not go on', async () => {
    const only = await site.startTarget('llm', { id: 'llm-1', model });
    only.behaviour = { ...only.behaviour, fault: 'cut' };
    const { addresses } = await site.startGateway('gw-1');
    const answer = await call({
      url: `${addresses.callers}/reply/x`,
      body: 'prompt',
      headers: promptHeaders,
    });
    expect(answer.isWhole).toBe(false);
    expect(answer.body).not.toContain('to\n');
    expect(only.runs).toHaveLength(1);
  });

  it('stop at the engine when the caller leaves', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, events: 200, gapMs: 10 };
    const { addresses } = await site.startGateway('gw-1');
    await call({
      url: `${addresses.callers}/fit/x`,
      body: 'prompt',
      headers: promptHeaders,
      leaveAfterMs: 50,
    }).catch(() => undefined);
    await until(() => engine.runs[0]?.isInterrupted === true);
  });

  it('end at the timeout of their route', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, fault: 'mute' };
    const { addresses } = await site.startGateway('gw-1');
    const answer = await call({
      url: `${addresses.callers}/reply/x`,
      body: 'prompt',
      headers: { ...promptHeaders, 'X-Deadline-Ms': '300' },
    });
    expect(answer.status).toBe(504);
  });
});

describe('a planned stop', () => {
  it('finishes what runs and answers not ready meanwhile', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, events: 40, gapMs: 20 };
    const gateway = await site.startGateway('gw-1');
    const running = call({
      url: `${gateway.addresses.callers}/fit/x`,
      body: 'prompt',
      headers: promptHeaders,
    });
    await until(() => engine.runs.length === 1);
    const stopped = gateway.drain();
    expect(await isReady(gateway)).toBe(false);
    expect((await running).isWhole).toBe(true);
    await stopped;
  });
});

describe('a connection that a planned stop meets', () => {
  it('still answers a request that follows on an answer from before', async () => {
    const engine = await site.startTarget('llm', { id: 'llm-1', model });
    engine.behaviour = { ...engine.behaviour, events: 20, gapMs: 20 };
    const gateway = await site.startGateway('gw-1');
    const url = `${gateway.addresses.callers}/fit/x`;
    const other = call({ url, body: 'prompt', headers: promptHeaders });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const first = call({ url, body: 'prompt', headers: promptHeaders, agent });
    // Waits for the connection of the first call, so it is sent right behind its answer.
    const second = call({ url, body: 'prompt', headers: promptHeaders, agent });
    await until(() => engine.runs.length === 2);
    engine.behaviour = { ...engine.behaviour, events: 40 };
    const stopped = gateway.drain();
    expect((await first).isWhole).toBe(true);
    expect((await second).status).toBe(503);
    expect((await other).isWhole).toBe(true);
    await stopped;
    agent.destroy();
  });
});

describe('new weights', () => {
  it('are brought to every engine by one holder, and requests follow', async () => {
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
    const answer = await call({ url, body: 'prompt', headers: promptHeaders });
    expect(answer.isWhole).toBe(true);
    const salts = engines.flatMap(({ runs }) => runs.map(({ headers }) => headers['x-cache-salt']));
    expect(salts).toEqual(['v4']);
  });
});
