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

/** Engine on the test's clock: shared prefill speed, steady decode, late cache events. */
export interface EngineModel extends EnginePort {
  /** Prompt tokens that were computed rather than found in the cache. */
  readonly prefilledTokens: number;
  readonly mostRunning: number;
  /** Lets the open event stream go silent without closing it. */
  silenceEvents(): void;
  /** Drops the next cache event, which leaves a gap. */
  loseEvent(): void;
}

const blockTokens = 128;

const tickMs = 5;

const eventLagMs = 300;

export function createEngineModel(clock: Clock, state: Partial<EngineState> = {}): EngineModel {
  const full: EngineState = {
    ...{ incarnation: 'i1', models: ['m'], weightsVersion: 'v1', adapters: [], role: 'mixed' },
    ...{ places: 4, prefillTokensPerSecond: 12_800, decodeTokensPerSecond: 100 },
    ...state,
  };
  const cache = new Set<string>();
  /** Blocks in the events so far, lost ones included. */
  const reported = new Set<string>();
  const prefills = new Set<{ left: number }>();
  let events = createAsyncQueue<CacheEvent>();
  let seq = 0;
  let losesNext = false;
  let prefilledTokens = 0;
  let running = 0;
  let mostRunning = 0;

  const store = (blocks: readonly string[]): void => {
    const added = blocks.filter((block) => !cache.has(block));
    for (const block of added) cache.add(block);
    const { incarnation, weightsVersion } = full;
    clock.setTimer(eventLagMs, () => {
      seq += 1;
      for (const block of added) reported.add(block);
      if (losesNext) {
        losesNext = false;
        return;
      }
      const names = { incarnation, weightsVersion, seq, evicted: [], cleared: false };
      events.push({ ...names, stored: added.map(BigInt) });
    });
  };

  return {
    get prefilledTokens() {
      return prefilledTokens;
    },
    get mostRunning() {
      return mostRunning;
    },
    state: () => Promise.resolve(full),
    load: () => Promise.resolve({ running, waiting: 0 }),
    silenceEvents() {
      events = createAsyncQueue();
    },
    loseEvent() {
      losesNext = true;
    },
    cacheEvents(token) {
      const stream = createAsyncQueue<CacheEvent>();
      events = stream;
      const { incarnation, weightsVersion } = full;
      const names = {
        incarnation,
        weightsVersion,
        seq,
        evicted: [],
        cleared: true,
        snapshot: true,
      };
      stream.push({ ...names, stored: [...reported].map(BigInt) });
      token.onCancellationRequested((reason) => stream.fail(new TargetFailedError(reason)));
      return stream;
    },
    async *complete(req, token) {
      const body = JSON.parse(Buffer.from(req.body).toString()) as ModelBody;
      running += 1;
      mostRunning = Math.max(mostRunning, running);
      const missing = body.blocks.findIndex((block) => !cache.has(block));
      const cached = missing < 0 ? body.blocks.length : missing;
      const work = { left: (body.blocks.length - cached) * blockTokens };
      prefills.add(work);
      try {
        while (work.left > 1e-6) {
          await sleep(clock, tickMs, token);
          const done = (full.prefillTokensPerSecond * tickMs) / 1_000 / prefills.size;
          prefilledTokens += Math.min(done, work.left);
          work.left -= done;
          if (body.fails) throw new TargetFailedError('engine model failed the request');
        }
        prefills.delete(work);
        store(body.blocks);
        for (let index = 0; index < body.output; index += 1) {
          yield { kind: 'text', text: 'w ', tokens: 1 };
          await sleep(clock, 1_000 / full.decodeTokensPerSecond, token);
        }
        yield {
          kind: 'end',
          finishReason: 'stop',
          promptTokens: body.blocks.length * blockTokens,
          cachedTokens: cached * blockTokens,
          outputTokens: body.output,
        };
      } finally {
        prefills.delete(work);
        running -= 1;
      }
    },
    order: () => Promise.reject(new TargetFailedError('the engine model takes no orders')),
    exportCache: () => Promise.reject(new TargetFailedError('the engine model exports nothing')),
    importCache: () => Promise.reject(new TargetFailedError('the engine model imports nothing')),
  };
}
