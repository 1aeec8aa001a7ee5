import { afterEach, beforeEach, expect, it } from 'vitest';
import {
  configuration,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

it('a configuration is in force although the feed of the store has left it out', async () => {
  const { addresses } = await site.startGateway('gw-1');
  const versionOf = async (): Promise<number> => {
    const res = await fetch(`${addresses.operators}/metrics`);
    const text = await res.text();
    return Number(/^cicadatide_configuration_version (\d+)$/m.exec(text)?.[1]);
  };
  site.store.losesChanges = true;
  site.store.put('op', 'config', configuration(2));
  await until(async () => (await versionOf()) === 2);
  expect(await versionOf()).toBe(2);
});
