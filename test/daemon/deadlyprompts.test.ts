import { request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { model, type PlatformSite, startPlatformSite } from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

const engineCount = 6;
const deadlyPart = 'dead';

/** Time after the fifth crash from which gateways may send three more deadly requests in all. */
const contactMs = 3_000;

/** Time for which deadly and sound requests are sent. */
const playMs = 7_000;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

interface Result {
  readonly sentAt: number;
  readonly status: number;
  readonly isComplete: boolean;
}

function send(gateway: DaemonProcess, requestId: string, parts: string): Promise<Result> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number, isComplete: boolean): void =>
      resolve({ sentAt, status, isComplete });
    const req = request(`${gateway.addresses.callers}/fit/x`, {
      agent: false,
      method: 'POST',
      headers: {
        Host: 'site.test',
        'X-Request-Id': requestId,
        'X-Deadline-Ms': '1500',
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '900,40',
        'X-Prompt-Prefix': parts,
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

describe('gateways before engines that crash under one part of a prompt', () => {
  it('stop sending that part before it crashes the whole service, and serve the sound prompts', async () => {
    const engines: TargetStandin[] = [];
    for (let index = 0; index < engineCount; index += 1) {
      const engine = await site.startTarget('llm', { id: `llm-${index}`, model, restartMs: 900 });
      engine.behaviour = { firstByteMs: 40, events: 6, gapMs: 20, fault: 'none', deadlyPart };
      engines.push(engine);
    }
    const gateways = await Promise.all(['gw-1', 'gw-2', 'gw-3'].map((id) => site.startGateway(id)));
    const gatewayOf = (index: number): DaemonProcess =>
      gateways[index % gateways.length] as DaemonProcess;
    const sound: Promise<Result>[] = [];
    const deadly: Promise<Result>[] = [];
    const startedAt = performance.now();
    for (let index = 0; performance.now() - startedAt < playMs; index += 1) {
      sound.push(send(gatewayOf(index), `s${index}`, `aa:500,b${index % 40}:300,s${index}:100`));
      if (index % 6 === 0)
        deadly.push(
          send(gatewayOf(index / 6), `d${index}`, `aa:500,${deadlyPart}:300,d${index}:100`),
        );
      await pause(30);
    }
    const soundResults = await Promise.all(sound);
    const deadlyResults = await Promise.all(deadly);
    const crashes = engines.flatMap((engine) => engine.crashes).sort((a, b) => a - b);
    // With fewer than five crashes no deadly request may count.
    const boundAt = (crashes[4] ?? Infinity) + contactMs;
    const deadlyRuns = engines
      .flatMap(({ runs }) => runs)
      .filter(({ requestId }) => requestId.startsWith('d'));
    expect(deadlyRuns.filter(({ startedAt: at }) => at > boundAt).length).toBeLessThanOrEqual(3);
    // The first trial is due by then, the second one is not; each is sent to one engine.
    const afterQuarantine = deadlyRuns.filter(({ startedAt: at }) => at > startedAt + playMs / 2);
    expect(afterQuarantine.length).toBeLessThanOrEqual(1);
    const late = soundResults.filter(({ sentAt }) => sentAt - startedAt > playMs / 2);
    const served = late.filter(({ status, isComplete }) => status === 200 && isComplete);
    expect(served.length / late.length).toBeGreaterThan(0.5);
    // Callers of a prompt that ran must not learn that it has not run.
    const ids = new Set(engines.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
    const untrue = deadlyResults.filter(
      ({ status }, index) => status === 503 && ids.has(`d${index * 6}`),
    );
    expect(untrue).toEqual([]);
  }, 20_000);
});
