import { request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { model, type PlatformSite, startPlatformSite } from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

const targetCount = 6;

/** Time for which deadly and sound requests are sent; the first trial is due in it, the second is not. */
const playMs = 7_000;

/** Time after which sound requests have to be served although targets crashed before. */
const recoveredMs = 2_500;

interface Kind {
  readonly service: string;
  readonly engineModel?: string;
  readonly deadlyPath?: string;
  readonly firstByteMs: number;
  readonly path: (name: string) => string;
  readonly headers: (name: string) => Readonly<Record<string, string>>;
}

const call = (route: string): Kind => ({
  service: 'desk',
  deadlyPath: `/${route}/dead`,
  firstByteMs: 5,
  path: (name) => `/${route}/${name}`,
  headers: () => ({}),
});

const kinds: Readonly<Record<string, Kind>> = {
  'streams whose prompt shares all parts but its last': {
    service: 'llm',
    engineModel: model,
    firstByteMs: 40,
    path: () => '/fit/x',
    headers: (name) => ({
      'X-Model': model,
      'X-Token-Count': '900,40',
      'X-Prompt-Prefix': `aa:500,bb:300,${name}:100`,
    }),
  },
  'safe calls': call('look'),
  'unsafe calls': call('order'),
};

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

interface Result {
  readonly requestId: string;
  readonly sentAt: number;
  readonly status: number;
  readonly isComplete: boolean;
}

function send(
  gateway: DaemonProcess,
  requestId: string,
  path: string,
  headers: Readonly<Record<string, string>>,
): Promise<Result> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number, isComplete: boolean): void =>
      resolve({ requestId, sentAt, status, isComplete });
    const req = request(`${gateway.addresses.callers}${path}`, {
      agent: false,
      method: 'POST',
      headers: {
        Host: 'site.test',
        'X-Request-Id': requestId,
        'X-Deadline-Ms': '1500',
        'X-Api-Key': 'key-a',
        ...headers,
      },
    });
    req.on('error', () => finish(0, false));
    req.on('response', (res) => {
      res.on('error', () => finish(res.statusCode ?? 0, false));
      res.on('end', () => finish(res.statusCode ?? 0, res.complete));
      res.resume();
    });
    req.end('{}');
  });
}

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

describe('gateways before targets that crash under one request, which its callers repeat', () => {
  it.each(Object.keys(kinds))(
    'do not send it on after its third crash, and serve the others: %s',
    async (kindName) => {
      const kind = kinds[kindName] as Kind;
      const { firstByteMs, engineModel, deadlyPath } = kind;
      const targets: TargetStandin[] = [];
      for (let index = 0; index < targetCount; index += 1) {
        const target = await site.startTarget(kind.service, {
          id: `t-${index}`,
          restartMs: 900,
          ...(engineModel && { model: engineModel }),
        });
        target.behaviour = {
          firstByteMs,
          events: 6,
          gapMs: 20,
          fault: 'none',
          ...(deadlyPath ? { deadlyPath } : { deadlyPart: 'dead' }),
        };
        targets.push(target);
      }
      const gateways = await Promise.all(
        ['gw-1', 'gw-2', 'gw-3'].map((id) => site.startGateway(id)),
      );
      const sendNamed = (index: number, requestId: string, name: string): Promise<Result> =>
        send(
          gateways[index % gateways.length] as DaemonProcess,
          requestId,
          kind.path(name),
          kind.headers(name),
        );
      const sound: Promise<Result>[] = [];
      const deadly: Promise<Result>[] = [];
      const startedAt = performance.now();
      for (let index = 0; performance.now() - startedAt < playMs; index += 1) {
        sound.push(sendNamed(index, `s${index}`, `e${index}`));
        if (index % 8 === 4) deadly.push(sendNamed(index / 4, `d${index}`, 'dead'));
        await pause(30);
      }
      const soundResults = await Promise.all(sound);
      const deadlyResults = await Promise.all(deadly);
      const crashes = targets.flatMap((target) => target.crashes).sort((a, b) => a - b);
      const deadlyRuns = targets
        .flatMap(({ runs }) => runs)
        .filter(({ requestId }) => requestId.startsWith('d'));
      const thirdAt = crashes[2] ?? Infinity;
      const afterThird = deadlyRuns.filter((run) => run.startedAt > thirdAt);
      expect(afterThird.length).toBeLessThanOrEqual(1);
      const late = soundResults.filter(({ sentAt }) => sentAt - startedAt > recoveredMs);
      const served = late.filter(({ status, isComplete }) => status === 200 && isComplete);
      expect(served.length / late.length).toBeGreaterThan(0.9);
      // Callers of a request that ran must not learn that it has not run.
      const ids = new Set(deadlyRuns.map(({ requestId }) => requestId));
      const untrue = deadlyResults.filter(
        ({ status, requestId }) => status === 503 && ids.has(requestId),
      );
      expect(untrue).toEqual([]);
    },
    20_000,
  );
});
