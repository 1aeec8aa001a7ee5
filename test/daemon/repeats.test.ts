import { request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { gatewayNames, sendPrompt } from '../standins/platform/caller.js';
import { model, type PlatformSite, startPlatformSite } from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

const ratio = 0.1;
const windowMs = 2_000;

interface Sent {
  readonly requestId: string;
  readonly at: number;
}

let site: PlatformSite;
let desks: readonly TargetStandin[];
let sent: Sent[];

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

function startGateways(slack: number): Promise<readonly DaemonProcess[]> {
  const settings = [
    '[repeats]',
    `share = ${ratio}`,
    `slack = ${slack}`,
    `window = ${windowMs / 1_000}s`,
  ];
  return Promise.all(gatewayNames.map((name) => site.startGateway(name, undefined, settings)));
}

/** Sends a call that may be repeated to the plain service. */
function sendCall(gateway: DaemonProcess, requestId: string): Promise<void> {
  sent.push({ requestId, at: performance.now() });
  const headers = {
    Host: 'site.test',
    'X-Request-Id': requestId,
    'X-Deadline-Ms': '1500',
    'X-Api-Key': 'key-a',
  };
  return new Promise((resolve) => {
    const req = request(`${gateway.addresses.callers}/look/x`, { agent: false, headers });
    req.on('error', () => resolve());
    req.on('response', (res) => res.on('close', resolve).resume());
    req.end();
  });
}

/** Sends calls and prompts to the gateways in turn at the given rates a second. */
async function play(
  gateways: readonly DaemonProcess[],
  playMs: number,
  rates: { readonly calls: number; readonly prompts: number },
): Promise<void> {
  const answers: Promise<unknown>[] = [];
  const startedAt = performance.now();
  const playOne = async (rate: number, send: (gateway: DaemonProcess, id: string) => unknown) => {
    for (let index = 0; performance.now() - startedAt < playMs; index += 1) {
      const turn = index % gateways.length;
      const id = `${gatewayNames[turn]}.${rate}.${Math.round(startedAt)}.${index}`;
      answers.push(Promise.resolve(send(gateways[turn] as DaemonProcess, id)));
      await pause(startedAt + ((index + 1) * 1_000) / rate - performance.now());
    }
  };
  await Promise.all([playOne(rates.calls, sendCall), playOne(rates.prompts, sendPrompt)]);
  await Promise.all(answers);
}

/** Most arrivals beyond what the rule allows in a window, over all targets of the plain service. */
function worstExcess(slack: number): { readonly repeats: number; readonly excess: number } {
  const arrivals = desks.flatMap((desk) => desk.arrivals).sort((a, b) => a.at - b.at);
  const seen = new Set<string>();
  const repeats: number[] = [];
  for (const { requestId, at } of arrivals) {
    if (seen.has(requestId)) repeats.push(at);
    seen.add(requestId);
  }
  const within = (times: readonly number[], from: number): number =>
    times.filter((at) => at >= from && at < from + windowMs).length;
  const requestTimes = sent.map(({ at }) => at);
  const excess = repeats.map((from) => {
    const requests = [0, windowMs / 2, windowMs].map((ms) => within(requestTimes, from - ms));
    return within(repeats, from) - ratio * Math.max(...requests) - slack;
  });
  return { repeats: repeats.length, excess: Math.max(-Infinity, ...excess) };
}

beforeEach(async () => {
  site = await startPlatformSite();
  desks = await Promise.all(
    ['desk-1', 'desk-2', 'desk-3'].map((id) => site.startTarget('desk', { id })),
  );
  await site.startTarget('llm', { id: 'llm-1', model });
  for (const desk of desks) desk.behaviour = { ...desk.behaviour, fault: 'full' };
  sent = [];
});

afterEach(() => site.close());

describe('gateways before a service that turns requests away', () => {
  it('keep its repeats within its own budget beside a busy service', async () => {
    const slack = 10;
    const gateways = await startGateways(slack);
    await play(gateways, 6_000, { calls: 15, prompts: 120 });
    const { repeats, excess } = worstExcess(slack);
    expect(repeats).toBeGreaterThan(0);
    expect(excess).toBeLessThanOrEqual(0);
  }, 20_000);

  it('do not use the fixed part of the budget again after each restart', async () => {
    const slack = 30;
    const rates = { calls: 15, prompts: 1 };
    let gateways = await startGateways(slack);
    await play(gateways, windowMs + 800, rates);
    for (let restart = 0; restart < 2; restart += 1) {
      for (const gateway of gateways) gateway.stop();
      gateways = await startGateways(slack);
      await play(gateways, 500, rates);
    }
    const { repeats, excess } = worstExcess(slack);
    expect(repeats).toBeGreaterThan(0);
    expect(excess).toBeLessThanOrEqual(0);
  }, 20_000);

  it('do not each use the whole fixed part while the store has none of their addresses', async () => {
    const slack = 30;
    site.store.fault = 'read-only';
    const gateways = await startGateways(slack);
    await pause(windowMs);
    await play(gateways, windowMs, { calls: 60, prompts: 1 });
    expect(worstExcess(slack).excess).toBeLessThanOrEqual(0);
    site.store.fault = 'none';
    await play(gateways, 2 * windowMs, { calls: 60, prompts: 1 });
    expect(worstExcess(slack).repeats).toBeGreaterThan(0);
  }, 20_000);
});
