import { request } from 'node:http';
import { PassThrough } from 'node:stream';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createLogger } from '../../src/base/logging.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import {
  configuration,
  model,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';
import { chunk, head, streamHead } from '../standins/platform/rawsite.js';
import { type RawRequest, startRawTarget } from '../standins/platform/rawtarget.js';
import { type TargetBehaviour } from '../standins/platform/target.js';

interface Result {
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
  readonly durationMs: number;
}

const eventsFrom = (first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, at) => first + at)
    .map((id) => `id: ${id}\ndata: token ${id}\n\n`)
    .join('');

const wholeStream = eventsFrom(1, 4);

let site: PlatformSite;

let requests = 0;

let version = 1;

beforeEach(async () => {
  site = await startPlatformSite();
  configureTimeout(8_000);
});

function configureTimeout(timeoutMs: number): void {
  const routes = configuration(1).routes.map((route) => ({ ...route, timeoutMs }));
  version += 1;
  site.store.put('op', 'config', configuration(version, { routes }));
}

afterEach(() => site.close());

function send(gateway: DaemonProcess, route: string, deadlineMs = 6_000): Promise<Result> {
  const startedAt = performance.now();
  requests += 1;
  const requestId = `request-${requests}`;
  return new Promise((resolve) => {
    let status = 0;
    let body = '';
    const finish = (isComplete: boolean): void =>
      resolve({ status, body, isComplete, durationMs: performance.now() - startedAt });
    const req = request(`${gateway.addresses.callers}/${route}/x`, {
      agent: false,
      method: 'POST',
      headers: {
        Host: 'site.test',
        'X-Request-Id': requestId,
        'X-Deadline-Ms': String(deadlineMs),
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '900,40',
        'X-Prompt-Prefix': 'aa:500,bb:400',
      },
    });
    req.on('error', () => finish(false));
    req.on('response', (res) => {
      status = res.statusCode ?? 0;
      res.on('data', (bytes: Buffer) => {
        body += bytes.toString();
      });
      res.on('error', () => finish(false));
      res.on('end', () => finish(res.complete));
    });
    req.end('{}');
  });
}

const delay = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Starts targets with the same behaviour. */
async function startTargets(service: string, count: number, behaviour: Partial<TargetBehaviour>) {
  const targets = [];
  for (let index = 1; index <= count; index += 1) {
    const isEngine = service === 'llm';
    const id = `${service}-${index}`;
    const target = await site.startTarget(service, { id, ...(isEngine ? { model } : {}) });
    target.behaviour = { ...target.behaviour, ...behaviour };
    targets.push(target);
  }
  return targets;
}

describe('the log line of a failed attempt', () => {
  it('says how silent its target was, what goes on and how far the caller had got', async () => {
    const engines = await startTargets('llm', 2, { gapMs: 60 });
    const lines: Record<string, unknown>[] = [];
    const stream = new PassThrough();
    stream.on('data', (line: Buffer) => {
      lines.push(JSON.parse(line.toString()) as Record<string, unknown>);
    });
    const gateway = await site.startGateway('gw-1', createLogger('gw-1', 'info', stream));
    const running = send(gateway, 'reply');
    await until(() => engines.some(({ runs }) => runs.length > 0));
    await delay(100);
    await engines.find(({ runs }) => runs.length > 0)?.close();
    expect(await running).toMatchObject({ status: 200, body: wholeStream, isComplete: true });
    const line = lines.find(({ msg }) => msg === 'attempt failed');
    expect(line).toMatchObject({
      end: 'broken',
      goesOn: 'backup',
      answersOthers: true,
      callerHasHead: true,
      callerHasEvents: true,
      silentMs: expect.any(Number) as number,
      sinceReachableMs: expect.any(Number) as number,
      lastEventId: expect.any(String) as string,
    });
    expect(line).not.toHaveProperty('remainingGraceMs');
  });
});

describe('a sound stream that pauses', () => {
  const pause = { beforeEvent: 3, durationMs: 1_900 };

  it('is not given up for a backup that has no copy', async () => {
    await startTargets('llm', 2, { pause, hasCopies: false });
    const gateway = await site.startGateway('gw-1');
    const res = await send(gateway, 'reply');
    expect(res).toMatchObject({ status: 200, body: wholeStream, isComplete: true });
  });

  it('is not given up when no other target can go on with it', async () => {
    const [engine] = await startTargets('llm', 1, { pause });
    const gateway = await site.startGateway('gw-1');
    const res = await send(gateway, 'fit');
    expect(res).toMatchObject({ status: 200, body: wholeStream, isComplete: true });
    expect(engine?.runs).toHaveLength(1);
  });

  it('is not given up for another engine that may run it a second time', async () => {
    const engines = await startTargets('llm', 2, { pause });
    const gateway = await site.startGateway('gw-1');
    const res = await send(gateway, 'fit');
    expect(res).toMatchObject({ status: 200, body: wholeStream, isComplete: true });
    expect(engines.flatMap(({ runs }) => runs)).toHaveLength(1);
  });

  it('is not given up during a planned stop', async () => {
    await startTargets('llm', 2, { pause, hasCopies: false });
    const gateway = await site.startGateway('gw-1');
    const running = send(gateway, 'reply');
    await delay(100);
    const drained = gateway.drain();
    expect(await running).toMatchObject({ status: 200, body: wholeStream, isComplete: true });
    await drained;
  });
});

describe('a sound call that is slow', () => {
  it('is not given up when no other target can run it', async () => {
    const [desk] = await startTargets('desk', 1, { firstByteMs: 1_500 });
    const gateway = await site.startGateway('gw-1');
    const running = send(gateway, 'look');
    await until(() => desk?.runs.length === 1);
    if (desk) desk.behaviour = { ...desk.behaviour, firstByteMs: 5 };
    await delay(400);
    expect(await send(gateway, 'look')).toMatchObject({ status: 200 });
    expect(await running).toMatchObject({ status: 200, isComplete: true });
    expect(desk?.runs).toHaveLength(2);
  });
});

describe('a stalled stream', () => {
  const deadlineMs = 1_200;

  it('ends at the deadline of its caller while its engine accepts connections', async () => {
    await startTargets('llm', 2, { pause: { beforeEvent: 3, durationMs: 30_000 } });
    const gateway = await site.startGateway('gw-1');
    const res = await send(gateway, 'reply', deadlineMs);
    expect(res).toMatchObject({ status: 200, body: eventsFrom(1, 2), isComplete: false });
    expect(res.durationMs).toBeLessThan(deadlineMs + 500);
  });

  it('goes on at an engine that turned it away once because of its weights, once its own is gone', async () => {
    const stalled = { pause: { beforeEvent: 3, durationMs: 30_000 } };
    const engines = await startTargets('llm', 2, stalled);
    const gateway = await site.startGateway('gw-1');
    const running = send(gateway, 'fit');
    await until(() => engines.some(({ runs }) => runs.length > 0));
    await delay(100);
    const other = engines.find(({ runs }) => runs.length === 0);
    if (!other) throw new Error('both engines run the request');
    other.weights = 2;
    other.behaviour = { ...other.behaviour, pause: { beforeEvent: 3, durationMs: 0 } };
    await engines.find((engine) => engine !== other)?.close();
    expect(await running).toMatchObject({ status: 200, body: wholeStream, isComplete: true });
  });

  const trickle = ':\n';

  it.each<[string, string, (req: RawRequest) => string]>([
    ['fit', 'comments', (req) => streamHead(req) + chunk(eventsFrom(1, 2))],
    ['reply', 'comments', (req) => streamHead(req) + chunk(eventsFrom(1, 2))],
    ['look', 'bytes of a body', (req) => head('200 OK', req, 'Transfer-Encoding: chunked')],
  ])('that sends a byte now and then ends in time (%s, %s)', async (route, _what, begin) => {
    const service = route === 'look' ? 'desk' : 'llm';
    const timers: NodeJS.Timeout[] = [];
    const target = await startRawTarget(
      service,
      (socket, req) => {
        socket.write(begin(req));
        timers.push(setInterval(() => socket.write(chunk(trickle)), 80));
      },
      service === 'llm' ? model : undefined,
    );
    site.store.put('servers', `${service}-1`, target.registration);
    const gateway = await site.startGateway('gw-1');
    const atDeadline = await send(gateway, route, deadlineMs);
    expect([atDeadline.status === 200 && atDeadline.isComplete]).toEqual([false]);
    expect(atDeadline.durationMs).toBeLessThan(deadlineMs + 500);
    configureTimeout(700);
    await delay(300);
    const atTimeout = await send(gateway, route);
    expect([atTimeout.status === 200 && atTimeout.isComplete]).toEqual([false]);
    expect(atTimeout.durationMs).toBeLessThan(deadlineMs);
    timers.forEach(clearInterval);
    await target.close();
  });
});
