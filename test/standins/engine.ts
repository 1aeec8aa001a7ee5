import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '../../src/base/random.js';
import { blockTokens, charsPerToken, hashBlocks } from '../../src/routing/blocks.js';
import { type CompletionStyle, createCompletion } from './engine/completion.js';
import { createBatch } from './engine/batch.js';
import { createBlockCache } from './engine/blockcache.js';
import { createEventPublisher } from './engine/events.js';
import { completionFormat, promptOf, readBody, readBytes, sendJson } from './engine/http.js';
import { createDelayedLoadReport } from './engine/loadreport.js';
import { createOrderHandler, type LoadCounter, type OrderBody } from './engine/orders.js';

/** Options of a stand-in engine. */
export interface EngineOptions {
  readonly model: string;
  readonly weightsVersion?: string;
  /** Requests that the engine can run at once. */
  readonly places?: number;
  readonly prefillTokensPerSecond?: number;
  readonly decodeTokensPerSecond?: number;
  /** Decode time per token grows by this fraction for each further stream in the batch. */
  readonly decodeSlowdownPerStream?: number;
  readonly cacheBlocks?: number;
  /** Text style of the generated tokens. */
  readonly answers?: CompletionStyle;
  readonly eventDelayMs?: number;
  /** Fraction of cache events that are lost. */
  readonly eventLossRate?: number;
  /** Delay of the reported load behind the actual load. */
  readonly loadLagMs?: number;
  readonly checksFencing?: boolean;
  /** Duration of a weights or adapter load when at most two loads run at once. */
  readonly loadMs?: number;
  /** Weights version whose load fails. */
  readonly failingVersion?: string;
  /** Counts concurrent loads; shared by the engines of one site. */
  readonly loadCounter?: LoadCounter;
  readonly tickMs?: number;
  readonly seed?: number;
}

/** Record of one attempt on an engine, so that checks don't depend on the router. */
export interface EngineRun {
  /** Request id and attempt number, as sent by the agent. */
  readonly id: string;
  /** Wall-clock time, comparable between processes. */
  readonly startedAt: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Cached blocks used by this request that a request of another owner stored. */
  readonly foreignBlocks: number;
  prefilledTokens: number;
  outcome: 'running' | 'completed' | 'cut';
}

/** Stand-in engine that listens on loopback. */
export interface StandInEngine {
  readonly url: string;
  /** Completions accepted so far. */
  readonly requests: number;
  readonly incarnation: string;
  readonly runs: readonly EngineRun[];
  /** Divides all speeds by the factor; the engine does not report the change. */
  slow(factor: number): void;
  /** Closes all connections and restarts as a new incarnation with an empty cache. */
  crash(downMs: number): Promise<void>;
  close(): Promise<void>;
}

/** Owner of a request's blocks: the part of the request id before the first dot. */
export function ownerOf(id: string): string {
  return id.split('.')[0] ?? '';
}

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/** Starts a stand-in engine that serves the OpenAI protocol with this project's extensions. */
export async function startEngine(options: EngineOptions): Promise<StandInEngine> {
  const { model, places = 8, prefillTokensPerSecond = 20_000 } = options;
  const { decodeTokensPerSecond = 200, tickMs = 5, answers = 'numbered' } = options;
  const { eventDelayMs = 0, eventLossRate = 0, loadLagMs = 2_000, seed = 1 } = options;
  const random = createSeededRandom(seed);
  const newIncarnation = (): string => `engine-${Math.floor(Math.random() * 2 ** 40).toString(36)}`;
  const cache = createBlockCache(options.cacheBlocks ?? 4_096);
  const speeds = { places, prefillTokensPerSecond, decodeTokensPerSecond };
  const { decodeSlowdownPerStream } = options;
  const batch = createBatch({ ...speeds, decodeSlowdownPerStream, blockTokens }, cache);
  const events = createEventPublisher({ delayMs: eventDelayMs, lossRate: eventLossRate, random });
  const load = createDelayedLoadReport(loadLagMs);
  const runs: EngineRun[] = [];
  let incarnation = newIncarnation();
  let weightsVersion = options.weightsVersion ?? 'v1';
  let adapters: readonly string[] = [];
  let role = 'mixed';
  let requests = 0;
  let ticker: NodeJS.Timeout | undefined;
  let lastTick = 0;

  const publishChanges = (): void => {
    const { stored, evicted } = cache.takeChanges();
    if (stored.length + evicted.length === 0) return;
    events.publish({ incarnation, weightsVersion, stored, evicted, cleared: false });
  };

  const recordLoad = (): void =>
    load.record(performance.now(), { running: batch.running, waiting: batch.waiting });

  const tick = (): void => {
    const now = performance.now();
    batch.advance(now - lastTick);
    lastTick = now;
    publishChanges();
    if (batch.running > 0 || !ticker) return;
    clearInterval(ticker);
    ticker = undefined;
  };

  const startTicking = (): void => {
    if (ticker) return;
    lastTick = performance.now();
    ticker = setInterval(tick, tickMs);
  };

  const clearCache = (): void => {
    cache.clear();
    events.publish({ incarnation, weightsVersion, stored: [], evicted: [], cleared: true });
  };

  const complete = async (
    req: IncomingMessage,
    res: ServerResponse,
    kind: 'chat' | 'text',
  ): Promise<void> => {
    const body = await readBody(req);
    if (body['weights_version'] !== weightsVersion || body['model'] !== model) {
      sendJson(res, { error: { message: 'another model or weights version is loaded' } }, 409);
      return;
    }
    const text = promptOf(body);
    const completion = createCompletion(text, answers);
    const firstToken = Number(body['continue_tokens'] ?? 0);
    if (firstToken > 0 && body['continue_text'] !== completion.text(0, firstToken)) {
      sendJson(
        res,
        { error: { message: 'continue_text is not a prefix of this completion' } },
        400,
      );
      return;
    }
    requests += 1;
    const id = String(body['request_id'] ?? '');
    const owner = ownerOf(id);
    const chain = { salt: String(body['cache_salt']), model, weightsVersion, adapter: '' };
    const hashes = hashBlocks(chain, text);
    const promptTokens = Math.ceil(text.length / charsPerToken);
    const maxTokens = Number(body['max_tokens'] ?? body['max_completion_tokens'] ?? 16);
    const format = completionFormat(kind);
    let run: EngineRun | undefined;
    const cancel = batch.add({
      priority: Number(body['priority'] ?? 0),
      hashes,
      owner,
      promptTokens,
      firstToken,
      maxTokens,
      onStart(cachedBlocks) {
        const used = hashes.slice(0, cachedBlocks);
        run = {
          id,
          startedAt: Date.now(),
          promptTokens,
          cachedTokens: cachedBlocks * blockTokens,
          foreignBlocks: used.filter((hash) => cache.ownerOf(hash) !== owner).length,
          prefilledTokens: 0,
          outcome: 'running',
        };
        runs.push(run);
        recordLoad();
      },
      onTokens(from, to) {
        if (!res.headersSent) res.setHeader('content-type', 'text/event-stream');
        for (let index = from; index < to; index += 1)
          res.write(format.text(completion.token(index)));
      },
      onEnd() {
        if (run) run.outcome = 'completed';
        res.end(format.end(promptTokens, run?.cachedTokens ?? 0, maxTokens));
      },
      onRemove(prefilledTokens) {
        if (run) {
          run.prefilledTokens = Math.round(prefilledTokens);
          if (run.outcome === 'running') run.outcome = 'cut';
        }
        recordLoad();
      },
    });
    recordLoad();
    startTicking();
    res.once('close', () => {
      cancel();
    });
  };

  const runOrder = createOrderHandler({
    checksFencing: options.checksFencing ?? false,
    loadMs: options.loadMs ?? 500,
    loadCounter: options.loadCounter ?? { active: 0 },
    failingVersion: options.failingVersion,
    apply(order) {
      if (order.action === 'change-role') role = order.role;
      if (order.action === 'load-adapter') adapters = [...adapters, order.adapter];
      if (order.action !== 'load-weights') return;
      weightsVersion = order.version;
      clearCache();
    },
  });

  const handlers: Readonly<Record<string, Handler>> = {
    '/v1/chat/completions': (req, res) => complete(req, res, 'chat'),
    '/v1/completions': (req, res) => complete(req, res, 'text'),
    '/engine/state': (_req, res) =>
      sendJson(res, { incarnation, models: [model], weightsVersion, adapters, role, ...speeds }),
    '/engine/load': (_req, res) => sendJson(res, load.read(performance.now())),
    '/engine/cache-events'(_req, res) {
      // Publishes pending changes first, so that no later event repeats what the snapshot contains.
      publishChanges();
      events.addSubscriber(res, { incarnation, weightsVersion, stored: cache.hashes });
    },
    async '/engine/orders'(req, res) {
      sendJson(res, await runOrder((await readBody(req)) as unknown as OrderBody));
    },
    async '/engine/cache/export'(req, res) {
      const { hashes } = (await readBody(req)) as unknown as { readonly hashes: string[] };
      const blocks = hashes
        .map((hex) => ({ hex, owner: cache.ownerOf(BigInt(`0x${hex}`)) }))
        .filter(({ owner }) => owner !== undefined);
      sendJson(res, { weightsVersion, blocks });
    },
    async '/engine/cache/import'(req, res) {
      const data = JSON.parse((await readBytes(req)).toString()) as {
        readonly weightsVersion: string;
        readonly blocks: readonly { readonly hex: string; readonly owner: string }[];
      };
      const accepted = data.weightsVersion === weightsVersion ? data.blocks : [];
      for (const { hex, owner } of accepted) {
        const hash = BigInt(`0x${hex}`);
        if (cache.store(hash, owner)) cache.release([hash]);
      }
      publishChanges();
      sendJson(res, { accepted: accepted.length });
    },
  };

  const server = createServer((req, res) => {
    const handler = handlers[req.url ?? ''];
    if (!handler) {
      sendJson(res, { error: { message: 'unknown path' } }, 404);
      return;
    }
    Promise.resolve(handler(req, res)).catch(() => res.destroy());
  });
  const listen = (port: number): Promise<void> =>
    new Promise((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
      batch.clear();
      clearInterval(ticker);
      ticker = undefined;
    });
  await listen(0);
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    runs,
    get requests() {
      return requests;
    },
    get incarnation() {
      return incarnation;
    },
    slow: (factor) => batch.setSlowFactor(factor),
    async crash(downMs) {
      await close();
      cache.clear();
      incarnation = newIncarnation();
      events.restart();
      await delay(downMs);
      await listen(port);
    },
    close,
  };
}
