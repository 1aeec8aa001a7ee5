import { expect, test } from 'vitest';
import { startEngine } from '../standins/engine.js';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
  waitUntil,
} from '../standins/site.js';

const model = 'test-model';
const streamCount = 50;

/** Longer than the drain limit, so that the test does not time out first on a busy machine. */
const testTimeoutMs = 120_000;

async function startSite() {
  const engine = await startEngine({ model, places: 64, decodeTokensPerSecond: 100 });
  const agent = await startSiteAgent({ name: 'engine-1', url: engine.url });
  const entry = await startSiteEntry({
    name: 'entry-1',
    agents: [agent.addresses.internal],
    configuration: siteRecords(['red'], [model], []),
  });
  const callers = entry.addresses.callers ?? '';
  await waitForRoute(callers, 'red', '/v1/completions', { model, prompt: 'x', max_tokens: 1 });
  return { engine, agent, entry, callers };
}

function openStream(callers: string, index: number): Promise<Response> {
  return fetch(`${callers}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${teamKey('red')}` },
    body: JSON.stringify({ model, prompt: `prompt ${index}`, max_tokens: 60, stream: true }),
  });
}

const roles = ['entry', 'agent'] as const;

// Guards against a planned shutdown that interrupts running streams or accepts new requests.
test.each(roles)(
  'draining the %s lets 50 running streams finish',
  async (role) => {
    const site = await startSite();
    const { engine, agent, entry, callers } = site;
    const responses = await Promise.all(
      Array.from({ length: streamCount }, (_, index) => openStream(callers, index)),
    );
    const drained = site[role].drain();
    const texts = responses.map((res) => res.text());
    await waitUntil(async () => {
      const res = await fetch(`${site[role].addresses.operators}/readyz`).catch(() => undefined);
      return res?.status !== 200;
    });
    const bodies = await Promise.all(texts);
    expect(bodies.filter((body) => body.endsWith('data: [DONE]\n\n'))).toHaveLength(streamCount);
    await drained;
    expect(agent.active).toBe(0);
    const late = await openStream(callers, streamCount).catch(() => undefined);
    expect(late?.status ?? 503).toBe(503);
    entry.stop();
    agent.stop();
    await engine.close();
  },
  testTimeoutMs,
);
