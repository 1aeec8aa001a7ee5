import { afterEach, beforeEach, expect, it } from 'vitest';
import { createLogger } from '../../src/base/logging.js';
import { createLineStream } from '../standins/lines.js';
import { sendPrompt } from '../standins/platform/caller.js';
import {
  configuration,
  model,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

// Guards against a stop whose log can't tell which requests it cut, when and why.
it('the log of a planned stop names its steps and the requests that it cuts', async () => {
  const routes = configuration(2).routes.map((route) => ({ ...route, timeoutMs: 30_000 }));
  site.store.put('op', 'config', configuration(2, { routes }));
  const target = await site.startTarget('llm', { id: 'llm-1', model });
  target.behaviour = { ...target.behaviour, events: 1_000, gapMs: 10 };
  const { stream, lines } = createLineStream();
  const gateway = await site.startGateway('gw-1', createLogger('gw-1', 'info', stream));
  const answer = sendPrompt(gateway, 'r1', 'reply', 30_000);
  await until(() => target.runs.length === 1);
  const stopped = gateway.drain();
  await answer;
  await stopped;
  const records = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  const steps = records
    .filter(({ graceLeftMs }) => graceLeftMs !== undefined)
    .map(({ msg, ...fields }) => ({ msg, ...fields }));
  expect(steps.map(({ msg }) => msg)).toMatchInlineSnapshot(`
    [
      "stop began; responses announce that their connections close",
      "refusing new requests",
      "no requests are waited for any longer",
      "gateway stopped",
    ]
  `);
  expect(steps[2]).toMatchObject({ cut: 1, requests: [{ requestId: 'r1' }] });
  for (const fields of steps) {
    expect(fields).toMatchObject({
      active: expect.any(Number),
      flushing: expect.any(Number),
      loopDelayMs: expect.any(Number),
    });
  }
  const ended = records.find(({ msg }) => msg === 'request ended');
  expect(ended).toMatchObject({ requestId: 'r1', stopping: true });
  expect(ended?.['sentBytes']).toBeGreaterThan(1_000);
});
