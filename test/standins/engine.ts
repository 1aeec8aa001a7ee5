import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { hashBlocks } from '../../src/routing/blocks.js';

/** Properties of a stand-in engine. */
export interface EngineOptions {
  readonly model: string;
  readonly weightsVersion?: string;
  readonly places?: number;
  readonly prefillTokensPerSecond?: number;
  readonly decodeTokensPerSecond?: number;
  readonly cacheBlocks?: number;
}

/** A stand-in engine that listens on loopback. */
export interface StandInEngine {
  readonly url: string;
  readonly requests: number;
  close(): Promise<void>;
}

const blockTokens = 128;

async function readBody(req: IncomingMessage): Promise<Record<string, unknown>> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  const text = Buffer.concat(parts).toString();
  return (text ? JSON.parse(text) : {}) as Record<string, unknown>;
}

function promptOf(body: Record<string, unknown>): string {
  if (typeof body['prompt'] === 'string') return body['prompt'];
  const messages = (body['messages'] ?? []) as { role: string; content: string }[];
  return messages.map(({ role, content }) => `${role}\n${content}\n`).join('');
}

/** Starts a stand-in engine with the OpenAI protocol and this project's extensions. */
export async function startEngine(options: EngineOptions): Promise<StandInEngine> {
  const {
    model,
    weightsVersion = 'v1',
    places = 8,
    prefillTokensPerSecond = 20_000,
    decodeTokensPerSecond = 200,
    cacheBlocks = 4_096,
  } = options;
  const incarnation = `engine-${Math.floor(Math.random() * 1e9).toString(36)}`;
  const cache = new Set<bigint>();
  const watchers = new Set<ServerResponse>();
  let seq = 0;
  let running = 0;
  let requests = 0;

  const publish = (stored: readonly bigint[], evicted: readonly bigint[]): void => {
    seq += 1;
    const event = {
      incarnation,
      seq,
      weightsVersion,
      cleared: false,
      stored: stored.map((hash) => hash.toString(16)),
      evicted: evicted.map((hash) => hash.toString(16)),
    };
    for (const watcher of watchers) watcher.write(`data: ${JSON.stringify(event)}\n\n`);
  };

  const store = (hashes: readonly bigint[]): void => {
    const added = hashes.filter((hash) => !cache.has(hash));
    for (const hash of hashes) {
      cache.delete(hash);
      cache.add(hash);
    }
    const evicted: bigint[] = [];
    for (const hash of cache) {
      if (cache.size <= cacheBlocks) break;
      cache.delete(hash);
      evicted.push(hash);
    }
    if (added.length + evicted.length > 0) publish(added, evicted);
  };

  const complete = async (
    req: IncomingMessage,
    res: ServerResponse,
    kind: 'chat' | 'text',
  ): Promise<void> => {
    const body = await readBody(req);
    if (body['weights_version'] !== weightsVersion || body['model'] !== model) {
      res.statusCode = 409;
      res.end(JSON.stringify({ error: { message: 'another model or weights version is loaded' } }));
      return;
    }
    requests += 1;
    running += 1;
    try {
      const text = promptOf(body);
      const seed = { salt: String(body['cache_salt']), model, weightsVersion, adapter: '' };
      const hashes = hashBlocks(seed, text);
      let cached = 0;
      while (cached < hashes.length && cache.has(hashes[cached] as bigint)) cached += 1;
      const promptTokens = Math.ceil(text.length / 4);
      const prefillMs = ((promptTokens - cached * blockTokens) / prefillTokensPerSecond) * 1_000;
      await delay(prefillMs);
      store(hashes);
      const max = Number(body['max_tokens'] ?? body['max_completion_tokens'] ?? 16);
      const done = Number(body['continue_tokens'] ?? 0);
      res.setHeader('content-type', 'text/event-stream');
      const send = (value: unknown): void => {
        res.write(`data: ${JSON.stringify(value)}\n\n`);
      };
      const choice = (content: string, finish: string | null) => {
        const index = 0;
        if (kind === 'chat') return { index, delta: { content }, finish_reason: finish };
        return { index, text: content, finish_reason: finish };
      };
      for (let token = done; token < max && !res.destroyed; token += 1) {
        send({ choices: [choice(`w${token} `, null)] });
        await delay(1_000 / decodeTokensPerSecond);
      }
      send({ choices: [choice('', 'stop')] });
      send({
        choices: [],
        usage: {
          prompt_tokens: promptTokens,
          completion_tokens: max,
          prompt_tokens_details: { cached_tokens: cached * blockTokens },
        },
      });
      res.end('data: [DONE]\n\n');
    } finally {
      running -= 1;
    }
  };

  const sendJson = (res: ServerResponse, value: unknown): void => {
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(value));
  };

  const handlers: Readonly<
    Record<string, (req: IncomingMessage, res: ServerResponse) => Promise<void> | void>
  > = {
    '/v1/chat/completions': (req, res) => complete(req, res, 'chat'),
    '/v1/completions': (req, res) => complete(req, res, 'text'),
    '/engine/state': (_req, res) =>
      sendJson(res, {
        incarnation,
        models: [model],
        weightsVersion,
        adapters: [],
        role: 'mixed',
        places,
        prefillTokensPerSecond,
        decodeTokensPerSecond,
      }),
    '/engine/load': (_req, res) => sendJson(res, { running, waiting: 0 }),
    '/engine/cache-events': (_req, res) => {
      res.setHeader('content-type', 'text/event-stream');
      res.flushHeaders();
      watchers.add(res);
      res.once('close', () => watchers.delete(res));
    },
  };

  const server = createServer((req, res) => {
    const handler = handlers[req.url ?? ''];
    if (!handler) {
      res.statusCode = 404;
      res.end();
      return;
    }
    Promise.resolve(handler(req, res)).catch(() => res.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    get requests() {
      return requests;
    },
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
