import { request } from 'node:http';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { type TargetBehaviour } from '../standins/platform/target.js';
import { model, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

/** Returns the status, or 0 when the response was interrupted. */
function sendRequest(url: string): Promise<number> {
  return new Promise((resolve) => {
    const req = request(url, {
      agent: false,
      headers: {
        Host: 'site.test',
        'X-Request-Id': 'request-1',
        'X-Deadline-Ms': '20000',
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '900,40',
        'X-Prompt-Prefix': 'a:500,b:400',
      },
    });
    req.on('error', () => resolve(0));
    req.on('response', (res) => {
      res.on('error', () => resolve(0));
      res.on('end', () => resolve(res.statusCode ?? 0));
      res.resume();
    });
    req.end();
  });
}

// Guards against requests that never end because their target keeps sending bytes.
it.each<[TargetBehaviour['fault'], string]>([
  ['endlessHead', 'reply'],
  ['endlessEvent', 'reply'],
  ['endlessFailure', 'reply'],
  ['endlessHead', 'look'],
  ['endlessHeads', 'reply'],
  ['endlessHeads', 'look'],
  ['endlessFailure', 'look'],
])(
  'responds with 502 and aborts the call to a target that sends bytes without end (%s, %s)',
  async (fault, route) => {
    const target =
      route === 'reply'
        ? await site.startTarget('llm', { id: 'llm-1', model })
        : await site.startTarget('desk', { id: 'desk-1' });
    target.behaviour = { ...target.behaviour, fault };
    const { addresses } = await site.startGateway('gw-1');
    expect(await sendRequest(`${addresses.callers}/${route}/x`)).toBe(502);
    await until(() => target.runs.every(({ isInterrupted }) => isInterrupted));
  },
);
