import { request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { model, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

function ask(callers: string, requestId: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const req = request(`${callers}/fit/a`, {
      method: 'POST',
      agent: false,
      headers: {
        Host: 'site.test',
        'X-Request-Id': requestId,
        'X-Deadline-Ms': '1500',
        'X-Api-Key': 'key-a',
        'X-Model': model,
        'X-Token-Count': '9100,40',
        'X-Prompt-Prefix': 'aa01:3000,bb02:6000,cc03:100',
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
  it('sends a prompt to the engine that keeps its parts, although nobody told it', async () => {
    const salt = 'v1';
    const keeper = await site.startTarget('llm', {
      id: 'keeper',
      model,
      cacheEvents: [
        [1, '+', salt, 'aa01', 3_000, model],
        [2, '+', salt, 'bb02', 5_984, model],
      ],
    });
    const others = await Promise.all(
      ['other-1', 'other-2', 'other-3'].map((id) => site.startTarget('llm', { id, model })),
    );
    const gateway = await site.startGateway('gw-1');
    const callers = gateway.addresses.callers as string;
    const readKeeper = async (): Promise<boolean> => {
      await ask(callers, `r-${Math.random()}`);
      return keeper.runs.length > 0;
    };
    await until(readKeeper);
    const before = others.reduce((sum, { runs }) => sum + runs.length, 0);
    for (let count = 0; count < 5; count += 1) {
      await ask(callers, `again-${count}`);
    }
    const after = others.reduce((sum, { runs }) => sum + runs.length, 0);
    expect(after - before).toBe(0);
    expect(keeper.runs.some(({ headers }) => headers['x-cache-salt'] === salt)).toBe(true);
  });
});
