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

beforeEach(async () => {
  site = await startPlatformSite();
  const { routes } = configuration(1);
  const patient = routes.map((route) => ({ ...route, timeoutMs: 8_000 }));
  site.store.put('op', 'config', configuration(2, { routes: patient }));
});

afterEach(() => site.close());

function send(gateway: DaemonProcess, route: string, deadlineMs = 6_000): Promise<Result> {
  const startedAt = performance.now();
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
        'X-Request-Id': `request-${route}`,
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
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
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
