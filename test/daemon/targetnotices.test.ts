import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { gatewayNames, gatewayOf, play, sendPrompt } from '../standins/platform/caller.js';
import { model, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

let site: PlatformSite;
let engine: TargetStandin;
let gateways: readonly DaemonProcess[];

beforeEach(async () => {
  site = await startPlatformSite();
  engine = await site.startTarget('llm', { id: 'llm-1', model });
});

afterEach(() => site.close());

const listedTargets = async ({ addresses }: DaemonProcess): Promise<number> => {
  const text = await fetch(`${addresses.operators}/metrics`).then((res) => res.text());
  return Number(/^cicadatide_targets (\d+)$/m.exec(text)?.[1]);
};

/**
 * Starts gateways that each get one response of the engine, and then a second engine for the requests
 * that the first one does not want.
 */
async function startGateways(): Promise<void> {
  gateways = await Promise.all(gatewayNames.map((name) => site.startGateway(name)));
  await Promise.all(
    gateways.map((gateway, index) => sendPrompt(gateway, `${gatewayNames[index]}.first`)),
  );
  await site.startTarget('llm', { id: 'llm-2', model });
  for (const gateway of gateways) await until(async () => (await listedTargets(gateway)) === 2);
}

describe('gateways before an engine that says it is leaving', () => {
  /** Time after which a gateway that was told may send the engine nothing more. */
  const drainMs = 2_000;

  it('send it nothing more although its registration says that it is ready', async () => {
    engine.behaviour = { ...engine.behaviour, headers: { 'Server-Leaving': '1' } };
    await startGateways();
    const results = await play(gateways, 4_000);
    const toldAt = new Map<string, number>();
    for (const { requestId, startedAt } of engine.runs)
      if (!toldAt.has(gatewayOf(requestId))) toldAt.set(gatewayOf(requestId), startedAt + 50);
    expect(toldAt.size).toBe(gateways.length);
    const late = engine.arrivals.filter(
      ({ requestId, at }) => at > (toldAt.get(gatewayOf(requestId)) ?? Infinity) + drainMs,
    );
    expect(late).toEqual([]);
    expect(results.filter(({ status }) => status !== 200)).toEqual([]);
  }, 15_000);
});

describe('gateways before an engine that asks for a pause', () => {
  const retryAfterMs = 1_500;

  /** Time after the refusal within which requests may still arrive. */
  const graceMs = 500;

  /** Requests that may arrive between then and the end of the pause, by the stated rule. */
  const maxDuringPause = 2;

  beforeEach(() => {
    const headers = { 'Retry-After': String(retryAfterMs / 1_000) };
    engine.behaviour = { ...engine.behaviour, fault: 'full', headers };
  });

  it('send it nothing for that time, and serve callers elsewhere', async () => {
    await startGateways();
    const results = await play(gateways, 4_000);
    const during = engine.arrivals.map((refused) =>
      engine.arrivals.filter(
        ({ requestId, at }) =>
          gatewayOf(requestId) === gatewayOf(refused.requestId) &&
          at > refused.at + graceMs &&
          at < refused.at + retryAfterMs,
      ),
    );
    expect(Math.max(...during.map(({ length }) => length))).toBeLessThanOrEqual(maxDuringPause);
    expect(results.filter(({ status }) => status !== 200)).toEqual([]);
  }, 15_000);

  it('refuse what no other engine can serve, and say when to come back', async () => {
    const gateway = await site.startGateway('gw-1');
    await sendPrompt(gateway, 'first');
    const { length } = engine.arrivals;
    const refused = await sendPrompt(gateway, 'second');
    expect(engine.arrivals.length).toBe(length);
    expect(refused.status).toBe(503);
    expect(refused.retryAfter).toBeGreaterThan(0.2);
    engine.behaviour = { ...engine.behaviour, fault: 'none' };
    await until(async () => (await sendPrompt(gateway, 'later')).status === 200);
  });
});
