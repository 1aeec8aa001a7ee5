import { rmSync } from 'node:fs';
import { request } from 'node:http';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { bundleGateway, type GatewayChild, spawnGateway } from '../standins/platform/process.js';
import { model, type PlatformSite, startPlatformSite } from '../standins/platform/site.js';

let bundle: string;
let site: PlatformSite;
let gateways: GatewayChild[];

beforeAll(() => {
  bundle = bundleGateway();
});

afterAll(() => rmSync(bundle));

beforeEach(async () => {
  site = await startPlatformSite();
  gateways = [];
});

afterEach(async () => {
  for (const gateway of gateways) await gateway.close();
  await site.close();
});

function start(): GatewayChild {
  const gateway = spawnGateway({ bundle, storePort: site.store.port });
  gateways.push(gateway);
  return gateway;
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

interface Answer {
  readonly status: number;
  readonly events: number;
  readonly isComplete: boolean;
}

/** Starts a stream and resolves once its first bytes have come. */
function openStream(port: number, id: string): Promise<{ readonly answer: Promise<Answer> }> {
  return new Promise((resolveStart, reject) => {
    const req = request({
      port,
      path: '/reply/x',
      method: 'POST',
      agent: false,
      headers: {
        Host: 'site.test',
        'X-Request-Id': id,
        'X-Deadline-Ms': '10000',
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '900,40',
        'X-Prompt-Prefix': `aa:500,${id}:400`,
      },
    });
    req.on('error', reject);
    req.on('response', (res) => {
      let text = '';
      const answer = new Promise<Answer>((resolve) => {
        res.on('data', (chunk: Buffer) => {
          text += chunk.toString();
          resolveStart({ answer });
        });
        res.on('error', () => undefined);
        res.on('close', () => {
          const events = text.match(/^id: /gm)?.length ?? 0;
          resolve({ status: res.statusCode ?? 0, events, isComplete: res.complete });
        });
      });
    });
    req.end('{}');
  });
}

const events = 80;

async function startWithStreams(): Promise<{ gateway: GatewayChild; answers: Promise<Answer>[] }> {
  const target = await site.startTarget('llm', { id: 'llm-1', model });
  target.behaviour = { ...target.behaviour, events, gapMs: 15 };
  const gateway = start();
  await gateway.logged('target added');
  await gateway.logged('gateway started');
  const answers: Promise<Answer>[] = [];
  for (const id of ['s1', 's2', 's3'])
    answers.push((await openStream(gateway.callersPort(), id)).answer);
  return { gateway, answers };
}

const whole: Answer = { status: 200, events, isComplete: true };

describe('signals during a planned stop', () => {
  it.each<[string, readonly NodeJS.Signals[]]>([
    ['a repeated SIGTERM', ['SIGTERM', 'SIGTERM', 'SIGTERM']],
    ['a SIGINT after a SIGTERM', ['SIGTERM', 'SIGINT']],
    ['a SIGTERM after a SIGINT', ['SIGINT', 'SIGTERM']],
    ['a SIGHUP after a SIGTERM', ['SIGTERM', 'SIGHUP']],
  ])('%s cuts no running stream', async (_name, signals) => {
    const { gateway, answers } = await startWithStreams();
    for (const signal of signals) {
      gateway.signal(signal);
      await pause(150);
    }
    expect(await Promise.all(answers)).toEqual([whole, whole, whole]);
    expect(await gateway.exited()).toMatchObject({ code: 0, signal: null });
  });

  it('a second SIGINT ends the process at once, and the log names the requests that it cut', async () => {
    const { gateway, answers } = await startWithStreams();
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGINT'] as const) {
      gateway.signal(signal);
      await pause(150);
    }
    expect(await gateway.exited()).toMatchObject({ code: 4, signal: null });
    expect((await Promise.all(answers)).map(({ isComplete }) => isComplete)).toEqual([
      false,
      false,
      false,
    ]);
    const ended = gateway.log.filter(({ msg }) => msg === 'request ended');
    expect(ended.map(({ requestId }) => requestId).sort()).toEqual(['s1', 's2', 's3']);
    expect(ended.map(({ stopping }) => stopping)).toEqual([true, true, true]);
  });
});
