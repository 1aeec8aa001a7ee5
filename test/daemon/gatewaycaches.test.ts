import { request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createLogger } from '../../src/base/logging.js';
import { createLineStream } from '../standins/lines.js';
import { model, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

function ask(callers: string, shared: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const req = request(`${callers}/fit/a`, {
      method: 'POST',
      agent: false,
      headers: {
        Host: 'site.test',
        'X-Request-Id': `request-${shared}`,
        'X-Deadline-Ms': '1500',
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '6100,40',
        'X-Prompt-Prefix': `${shared}:6000,own-${shared}:100`,
      },
    });
    req.on('error', reject);
    req.on('response', (res) => {
      res.resume();
      res.on('end', resolve);
    });
    req.end('{}');
  });
}

describe('a gateway that has just started', () => {
  it('sends prompts to the engine that keeps their parts, although nobody told it', async () => {
    const prompts = ['aa01', 'aa02', 'aa03', 'aa04', 'aa05', 'aa06'];
    const cacheEvents = prompts.map((id, index) => [index + 1, '+', 'v1', id, 5_984, model]);
    const keeper = await site.startTarget('llm', { id: 'keeper', model, cacheEvents });
    for (const id of ['other-1', 'other-2', 'other-3']) {
      await site.startTarget('llm', { id, model });
    }
    const { stream, lines } = createLineStream();
    const gateway = await site.startGateway('gw-1', createLogger('gw-1', 'info', stream));
    await until(() => lines.some((line) => line.includes('cache model was filled')));
    // Each prompt comes once, so that the gateway learns nothing of it from an earlier request.
    for (const shared of prompts) await ask(gateway.addresses.callers as string, shared);
    expect(keeper.runs.map(({ requestId }) => requestId)).toEqual(
      prompts.map((shared) => `request-${shared}`),
    );
  });
});
