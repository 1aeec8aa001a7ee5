import { rmSync } from 'node:fs';
import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import {
  bundleGateway,
  type GatewayChild,
  type GatewayChildOptions,
  spawnGateway,
} from '../standins/platform/process.js';
import { type PlatformSite, startPlatformSite } from '../standins/platform/site.js';

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

function start(options: Partial<GatewayChildOptions>): GatewayChild {
  const gateway = spawnGateway({ bundle, storePort: site.store.port, ...options });
  gateways.push(gateway);
  return gateway;
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

describe('signals while a process reads its settings', () => {
  it('a SIGHUP does not end the process', async () => {
    const gateway = start({ holdsSettings: true });
    const complete = await gateway.holdSettings();
    gateway.signal('SIGHUP');
    await pause(100);
    expect(gateway.end).toBeUndefined();
    await complete();
    await gateway.logged('gateway started');
    await gateway.logged('settings were read again');
  });

  it('a SIGTERM ends the process in order', async () => {
    const gateway = start({ holdsSettings: true });
    const complete = await gateway.holdSettings();
    gateway.signal('SIGTERM');
    await pause(100);
    expect(gateway.end).toBeUndefined();
    await complete();
    expect(await gateway.exited()).toMatchObject({ code: 0, signal: null });
  });
});

describe('a port that is in use', () => {
  it.each(['callersPort', 'operatorsPort'])('ends the start with code 1 (%s)', async (name) => {
    const other = createServer();
    await new Promise<void>((resolve) => {
      other.listen(0, '127.0.0.1', resolve);
    });
    const { port } = other.address() as AddressInfo;
    const gateway = start({ [name]: port });
    const end = await gateway.exited().catch(() => undefined);
    other.close();
    expect(end).toMatchObject({ code: 1, signal: null });
    expect(gateway.stderr).toContain(`127.0.0.1:${port}`);
  });
});
