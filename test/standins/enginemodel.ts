import { type Clock, sleep } from '../../src/base/clock.js';
import { TargetFailedError } from '../../src/base/errors.js';
import { type CacheEvent, type EnginePort, type EngineState } from '../../src/ports/engine.js';
import { createAsyncQueue } from '../../src/base/async.js';

/** Request body that {@link createEngineModel} understands. */
export interface ModelBody {
  readonly blocks: readonly string[];
  readonly output: number;
  readonly fails?: boolean;
}

/** Engine on a test clock: shared prefill speed, constant decode speed, delayed cache events. */
export interface EngineModel extends EnginePort {
  /** Prompt tokens that were computed instead of read from the cache. */
  readonly prefilledTokens: number;
  /** Highest number of requests that ran at once. */
  readonly peakRunning: number;
  /** Stops events on the open stream without closing it. */
  stallEvents(): void;
  /** Drops the next cache event, which leaves a gap in the sequence numbers. */
  dropNextEvent(): void;
}

const blockTokens = 128;

const tickMs = 5;

const eventLagMs = 300;

export function createEngineModel(clock: Clock, state: Partial<EngineState> = {}): EngineModel {
  const engineState: EngineState = {
    ...{ incarnation: 'i1', models: ['m'], weightsVersion: 'v1', adapters: [], role: 'mixed' },
    ...{ places: 4, prefillTokensPerSecond: 12_800, decodeTokensPerSecond: 100 },
    ...state,
  };
  const cache = new Set<string>();
  /** Blocks of all events so far, including dropped events. */
  const reported = new Set<string>();
  const prefills = new Set<{ remainingTokens: number }>();
  let events = createAsyncQueue<CacheEvent>();
  let seq = 0;
  let shouldDropNextEvent = false;
  let prefilledTokens = 0;
  let running = 0;
  let peakRunning = 0;

  const store = (blocks: readonly string[]): void => {
    const added = blocks.filter((block) => !cache.has(block));
    for (const block of added) cache.add(block);
    const { incarnation, weightsVersion } = engineState;
    clock.setTimer(eventLagMs, () => {
      seq += 1;
      for (const block of added) reported.add(block);
      if (shouldDropNextEvent) {
        shouldDropNextEvent = false;
        return;
      }
      const fields = { incarnation, weightsVersion, seq, evicted: [], cleared: false };
      events.push({ ...fields, stored: added.map(BigInt) });
    });
  };

  return {
    get prefilledTokens() {
      return prefilledTokens;
    },
    get peakRunning() {
      return peakRunning;
    },
    state: () => Promise.resolve(engineState),
    load: () => Promise.resolve({ running, waiting: 0 }),
    stallEvents() {
      events = createAsyncQueue();
    },
    dropNextEvent() {
      shouldDropNextEvent = true;
    },
    cacheEvents(token) {
      const stream = createAsyncQueue<CacheEvent>();
      events = stream;
      const { incarnation, weightsVersion } = engineState;
      const fields = {
        incarnation,
        weightsVersion,
        seq,
        evicted: [],
        cleared: true,
        snapshot: true,
      };
      stream.push({ ...fields, stored: [...reported].map(BigInt) });
      token.onCancellationRequested((reason) => stream.fail(new TargetFailedError(reason)));
      return stream;
    },
    async *complete(req, token) {
      const body = JSON.parse(Buffer.from(req.body).toString()) as ModelBody;
      running += 1;
      peakRunning = Math.max(peakRunning, running);
      const missing = body.blocks.findIndex((block) => !cache.has(block));
      const cached = missing < 0 ? body.blocks.length : missing;
      const prefill = { remainingTokens: (body.blocks.length - cached) * blockTokens };
      prefills.add(prefill);
      try {
        while (prefill.remainingTokens > 1e-6) {
          await sleep(clock, tickMs, token);
          const done = (engineState.prefillTokensPerSecond * tickMs) / 1_000 / prefills.size;
          prefilledTokens += Math.min(done, prefill.remainingTokens);
          prefill.remainingTokens -= done;
          if (body.fails) throw new TargetFailedError('engine model failed the request');
        }
        prefills.delete(prefill);
        store(body.blocks);
        for (let index = 0; index < body.output; index += 1) {
          yield { kind: 'text', text: 'w ', tokens: 1 };
          await sleep(clock, 1_000 / engineState.decodeTokensPerSecond, token);
        }
        yield {
          kind: 'end',
          finishReason: 'stop',
          promptTokens: body.blocks.length * blockTokens,
          cachedTokens: cached * blockTokens,
          outputTokens: body.output,
        };
      } finally {
        prefills.delete(prefill);
        running -= 1;
      }
    },
    order: () => Promise.reject(new TargetFailedError('the engine model does not support orders')),
    exportCache: () =>
      Promise.reject(new TargetFailedError('the engine model does not support cache export')),
    importCache: () =>
      Promise.reject(new TargetFailedError('the engine model does not support cache import')),
  };
}
