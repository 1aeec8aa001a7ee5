import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { gatewayNames, gatewayOf, play } from '../standins/platform/caller.js';
import { model, type PlatformSite, startPlatformSite } from '../standins/platform/site.js';
import { type TargetStandin } from '../standins/platform/target.js';

const limitPerSecond = 2;

/** Time after which a gateway that a target has told its limit is held to it. */
const toldMs = 500;

/** Time after the first mention of a limit from which it must be kept. */
const contactMs = 3_000;

const windowMs = 4_000;

/** Requests that a target may get within the window. */
const allowed = 1.5 * limitPerSecond * (windowMs / 1_000) + 5;

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

/** Most requests in a window from gateways that were told, among windows that end after `from`. */
function mostInWindow({ arrivals, runs }: TargetStandin, namedAt: number): number {
  const toldAt = new Map<string, number>();
  for (const { requestId, startedAt } of runs) {
    if (startedAt < namedAt || toldAt.has(gatewayOf(requestId))) continue;
    toldAt.set(gatewayOf(requestId), startedAt + 50 + toldMs);
  }
  const counted = arrivals
    .filter(({ requestId, at }) => at > (toldAt.get(gatewayOf(requestId)) ?? Infinity))
    .map(({ at }) => at);
  const sizes = counted
    .filter((end) => end > namedAt + contactMs)
    .map((end) => counted.filter((at) => at > end - windowMs && at <= end).length);
  return Math.max(0, ...sizes);
}

describe('gateways before an engine that names a limit', () => {
  it('keep the sum of their requests below the limit, and serve callers elsewhere', async () => {
    const engines = await Promise.all(
      ['llm-1', 'llm-2', 'llm-3'].map((id) => site.startTarget('llm', { id, model })),
    );
    const gateways = await Promise.all(gatewayNames.map((name) => site.startGateway(name)));
    const [limited] = engines as [TargetStandin];
    const headers = { 'Server-Limit': String(limitPerSecond) };
    limited.behaviour = { ...limited.behaviour, headers };
    const namedAt = performance.now();
    const results = await play(gateways, 9_000);
    expect(mostInWindow(limited, namedAt)).toBeLessThanOrEqual(allowed);
    const served = results.filter(({ status, isComplete }) => status === 200 && isComplete);
    expect(served.length / results.length).toBeGreaterThan(0.95);
  }, 30_000);
});
