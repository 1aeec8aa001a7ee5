import { request } from 'node:http';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { createRequestContent } from '../../src/quarantine/content.js';
import { type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

const path = '/look/x';

/** Time until the first trial of a quarantine, and some more. */
const trialDueMs = 5_500;

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

function send(gateway: DaemonProcess, requestId: string): Promise<number> {
  const headers = {
    Host: 'site.test',
    'X-Request-Id': requestId,
    'X-Deadline-Ms': '1500',
    'X-Api-Key': 'key-a',
  };
  return new Promise((resolve) => {
    const req = request(`${gateway.addresses.callers}${path}`, { agent: false, headers });
    req.on('error', () => resolve(0));
    req.on('response', (res) => {
      res.resume();
      res.on('close', () => resolve(res.statusCode ?? 0));
    });
    req.end();
  });
}

// Guards against a sound request that stays quarantined because its trials were claimed and not sent.
it('claims no trial of a quarantined request while no target is usable', async () => {
  const source = { service: 'desk', method: 'GET', path, parts: [], body: undefined };
  const { id } = createRequestContent(source);
  site.store.put('cicadatide', `quarantine.${id}`, { partIds: [id], crashes: 2, trials: 0 });
  const gateway = await site.startGateway('gw-1');
  await pause(trialDueMs);
  expect(await send(gateway, 'without-target')).toBe(503);
  await site.startTarget('desk', { id: 'desk-1' });
  await until(async () => (await send(gateway, `r${performance.now()}`)) === 200);
}, 20_000);
