import { afterEach, beforeEach, expect, it } from 'vitest';
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
  site.store.era = 1;
});

afterEach(() => site.close());

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

// Guards against gateways that keep what the store took back, or forget what it lacks, after a restore.
it('goes on with what is in force when the store comes back from an older copy', async () => {
  const engine = await site.startTarget('llm', { id: 'e1', model });
  const gateway = await site.startGateway('gw-1');
  let requests = 0;
  const isServed = async (key: string): Promise<boolean> => {
    requests += 1;
    return (await sendPrompt(gateway, `r${requests}`, 'fit', 1_500, key)).status === 200;
  };
  site.store.put('op', `version/${model}`, { model, version: 1 });
  await until(() => site.store.rows('cicadatide').has('entry.gw-1'));
  const restore = site.store.copy();
  const withoutKey = [{ name: 'team-a', apiKeys: ['key-a'], isolated: false }];
  site.store.put('op', 'config', configuration(2));
  await until(() => isServed('key-b'));
  restore();
  // As many versions are given out as before, so that the feed seems to have missed nothing.
  site.store.put('op', 'config', configuration(3, { tenants: withoutKey }));
  await until(async () => !(await isServed('key-b')));
  await pause(500);
  site.store.put('op', `version/${model}`, { model, version: 2 });
  await until(() => engine.orders.length === 1);
  const fence = Number(engine.orders[0]?.['fence']);
  expect(Math.floor(fence / 2 ** 40)).toBe(2);
});
