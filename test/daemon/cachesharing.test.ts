import { request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { sendPrompt } from '../standins/platform/caller.js';
import {
  configuration,
  model,
  type PlatformSite,
  startPlatformSite,
  until,
} from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

let site: PlatformSite;
let engine: TargetStandin;
let gateway: DaemonProcess;

beforeEach(async () => {
  site = await startPlatformSite();
  engine = await site.startTarget('llm', { id: 'llm-1', model });
  gateway = await site.startGateway('gw-1');
});

afterEach(() => site.close());

const saltOf = (requestId: string): unknown =>
  engine.runs.find((run) => run.requestId === requestId)?.headers['x-cache-salt'];

async function waitForConfiguration(version: number): Promise<void> {
  await until(async () => {
    const res = await fetch(`${gateway.addresses.operators}/metrics`);
    return (await res.text()).includes(`cicadatide_configuration_version ${version}\n`);
  });
}

/** Starts a request of an isolated team; the result ends it and waits for its answer. */
function beginPrompt(requestId: string): () => Promise<number> {
  const req = request(`${gateway.addresses.callers}/fit/x`, {
    agent: false,
    method: 'POST',
    headers: {
      Host: 'site.test',
      'X-Request-Id': requestId,
      'X-Deadline-Ms': '1500',
      'X-Api-Key': 'key-b',
      'X-Model': model,
      'X-Token-Count': '900,40',
      'X-Prompt-Prefix': `aa:500,${requestId}:400`,
    },
  });
  const answered = new Promise<number>((resolve, reject) => {
    req.on('error', reject);
    req.on('response', (res) => {
      res.resume();
      res.on('end', () => resolve(res.statusCode ?? 0));
    });
  });
  req.write('{');
  return () => {
    req.end('}');
    return answered;
  };
}

// Guards against teams that use what an isolated team has cached (WALL).
describe('the cache salt of a request', () => {
  it('differs from the one under which a team cached parts before it was isolated', async () => {
    await sendPrompt(gateway, 'a-before');
    const tenants = [
      { name: 'team-a', apiKeys: ['key-a'], isolated: true },
      { name: 'team-b', apiKeys: ['key-b'], isolated: false },
    ];
    site.store.put('op', 'config', configuration(2, { tenants }));
    await waitForConfiguration(2);
    await sendPrompt(gateway, 'a-after');
    await sendPrompt(gateway, 'b-after', 'fit', 1_500, 'key-b');
    const salts = ['a-before', 'a-after', 'b-after'].map(saltOf);
    expect(salts).not.toContain(undefined);
    expect(new Set(salts).size).toBe(3);
  });

  it('is kept when a configuration drops the service while the body is on its way', async () => {
    const finish = beginPrompt('b-moved');
    await sendPrompt(gateway, 'a-before');
    const { routes, services } = configuration(2);
    const changes = {
      routes: routes.filter(({ service }) => service !== 'llm'),
      services: services.filter(({ name }) => name !== 'llm'),
    };
    site.store.put('op', 'config', configuration(2, changes));
    await waitForConfiguration(2);
    expect(await finish()).toBe(200);
    expect(saltOf('b-moved')).toBe('v1.team.team-b');
  });

  it('is its own when a configuration drops the team while the body is on its way', async () => {
    const finish = beginPrompt('b-dropped');
    await sendPrompt(gateway, 'a-before');
    const tenants = [{ name: 'team-a', apiKeys: ['key-a'], isolated: false }];
    site.store.put('op', 'config', configuration(2, { tenants }));
    await waitForConfiguration(2);
    expect(await finish()).toBe(200);
    expect(saltOf('b-dropped')).toBe('request.b-dropped');
  });
});
