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
