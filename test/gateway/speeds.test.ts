import { describe, expect, it } from 'vitest';
import { createSeededRandom } from '../../src/base/random.js';
import {
  createSpeedModel,
  crowdedTokenMs,
  prefillChunkMs,
  type SpeedModel,
} from '../../src/gateway/speeds.js';
import { type ServiceSpec } from '../../src/ports/site.js';

const engineService = (linkMbps: number, bytesPerToken: number): ServiceSpec => ({
  name: 'llm',
  healthPath: '/health',
  maxConnections: 400,
  engine: { kvTokens: 100_000, bytesPerToken, linkMbps, slots: 64, models: ['m'] },
});

const plainService: ServiceSpec = {
  name: 'desk',
  healthPath: '/health',
  maxConnections: 100,
  engine: undefined,
};

interface Truth {
  readonly baseMs: number;
  readonly perRequestMs: number;
  readonly tokensPerMs: number;
}

/**
 * Load: prompts of 800 and 9,000 tokens at engines with up to 30 other requests. One of ten has
 * queued behind a prompt that this gateway has not heard of.
 */
function play(model: SpeedModel, { baseMs, perRequestMs, tokensPerMs }: Truth, count: number) {
  const random = createSeededRandom(3);
  for (let index = 0; index < count; index += 1) {
    const prefillTokens = random.integer(2) === 0 ? 800 : 9_000;
    const inFlightRequests = random.integer(30);
    const hiddenMs = random.integer(10) === 0 ? 400 : 0;
    const noise = 0.9 + 0.2 * random.next();
    const workMs = baseMs + prefillTokens / tokensPerMs + inFlightRequests * perRequestMs;
    model.observe('llm', {
      prefillTokens,
      inFlightRequests,
      slowness: 1,
      firstByteMs: workMs * noise + hiddenMs,
    });
  }
}

describe('speed model', () => {
  it.each<[string, Truth]>([
    ['slow engines', { baseMs: 35, perRequestMs: 1, tokensPerMs: 41 }],
    ['fast engines', { baseMs: 20, perRequestMs: 0.5, tokensPerMs: 300 }],
    ['engines of another generation', { baseMs: 90, perRequestMs: 4, tokensPerMs: 12 }],
  ])('learns the time to the first byte of %s', (_name, truth) => {
    const model = createSpeedModel();
    model.configure([engineService(0, 0)]);
    play(model, truth, 600);
    const { baseMs, delayPerRequestMs, prefillTokensPerMs } = model.speedsOf('llm');
    for (const tokens of [800, 9_000]) {
      const learnedMs = baseMs + tokens / prefillTokensPerMs + 10 * delayPerRequestMs;
      const actualMs = truth.baseMs + tokens / truth.tokensPerMs + 10 * truth.perRequestMs;
      expect(learnedMs / actualMs).toBeGreaterThan(0.85);
      expect(learnedMs / actualMs).toBeLessThan(1.25);
    }
  });

  it('takes the speed of transfers from the configuration and keeps what it has learned', () => {
    const model = createSpeedModel();
    model.configure([engineService(130_000, 18_432)]);
    expect(Math.round(model.speedsOf('llm').fetchTokensPerMs)).toBe(882);
    play(model, { baseMs: 35, perRequestMs: 1, tokensPerMs: 41 }, 300);
    const learned = model.speedsOf('llm').prefillTokensPerMs;
    model.configure([engineService(1_100_000, 262_144)]);
    expect(Math.round(model.speedsOf('llm').fetchTokensPerMs)).toBe(525);
    expect(model.speedsOf('llm').prefillTokensPerMs).toBe(learned);
  });

  it('learns the time of a plain service, for which prompts do not count', () => {
    const model = createSpeedModel();
    model.configure([plainService]);
    for (let index = 0; index < 300; index += 1) {
      const sample = { prefillTokens: 0, inFlightRequests: 2, slowness: 2, firstByteMs: 190 };
      model.observe('desk', sample);
    }
    const { baseMs, delayPerRequestMs, prefillTokensPerMs } = model.speedsOf('desk');
    expect(Math.round(baseMs + 2 * delayPerRequestMs)).toBe(95);
    expect(prefillTokensPerMs).toBe(Infinity);
  });

  it('stays within its bounds whatever a faulty target does', () => {
    const model = createSpeedModel();
    model.configure([engineService(0, 0)]);
    for (let index = 0; index < 5_000; index += 1) {
      const firstByteMs = index % 2 === 0 ? 1e9 : 0;
      model.observe('llm', { prefillTokens: 9_000, inFlightRequests: 0, slowness: 1, firstByteMs });
    }
    const speeds = model.speedsOf('llm');
    expect(speeds.prefillTokensPerMs).toBeGreaterThanOrEqual(2);
    expect(speeds.baseMs).toBeLessThanOrEqual(1_000);
    expect(crowdedTokenMs(speeds)).toBeLessThan(prefillChunkMs(speeds));
  });

  it('does not take a fast engine for a slow one after quicker responses than expected', () => {
    const model = createSpeedModel();
    model.configure([engineService(0, 0)]);
    // Responses take a second whatever the prompt, so prefill seems to take no time.
    for (let index = 0; index < 2_000; index += 1) {
      const prefillTokens = index % 2 === 0 ? 100 : 3_000;
      model.observe('llm', { prefillTokens, inFlightRequests: 0, slowness: 1, firstByteMs: 980 });
    }
    for (let index = 0; index < 20; index += 1) {
      const sample = { prefillTokens: 3_000, inFlightRequests: 0, slowness: 1, firstByteMs: 400 };
      model.observe('llm', sample);
      expect(model.speedsOf('llm').prefillTokensPerMs).toBeGreaterThan(80);
    }
  });
});
