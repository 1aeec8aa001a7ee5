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

function sendRequest(callers: string, sharedPart: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const req = request(`${callers}/fit/a`, {
      method: 'POST',
      agent: false,
      headers: {
        Host: 'site.test',
        'X-Request-Id': `request-${sharedPart}`,
        'X-Deadline-Ms': '1500',
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '6100,40',
        'X-Prompt-Prefix': `${sharedPart}:6000,own-${sharedPart}:100`,
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

// Guards against a new gateway that doesn't import the contents of the engines' caches, and sends
// prompts to engines that have to prefill them.
describe('a gateway that has just started', () => {
  it('sends prompts to the engine that already caches their parts', async () => {
    const sharedParts = ['aa01', 'aa02', 'aa03', 'aa04', 'aa05', 'aa06'];
    const salt = 'v1.without.62c19688f9df';
    const cacheEvents = sharedParts.map((id, index) => [index + 1, '+', salt, id, 5_984, model]);
    const cachingEngine = await site.startTarget('llm', { id: 'keeper', model, cacheEvents });
    for (const id of ['other-1', 'other-2', 'other-3']) {
      await site.startTarget('llm', { id, model });
    }
    const { stream, lines } = createLineStream();
    const gateway = await site.startGateway('gw-1', createLogger('gw-1', 'info', stream));
    await until(() => lines.some((line) => line.includes('cache model was filled')));
    // Each prompt is sent once, so that no earlier request has recorded it in the cache model.
    for (const sharedPart of sharedParts)
      await sendRequest(gateway.addresses.callers as string, sharedPart);
    expect(cachingEngine.runs.map(({ requestId }) => requestId)).toEqual(
      sharedParts.map((sharedPart) => `request-${sharedPart}`),
    );
  });
});
