import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { Agent, request } from 'undici';
import { type CancellationToken } from '../../base/cancellation.js';
import { toTargetError } from '../../base/connections.js';
import { TargetFailedError, TargetRefusedError } from '../../base/errors.js';
import { type Disposable } from '../../base/lifecycle.js';
import {
  type CacheEvent,
  type EngineEvent,
  type EnginePort,
  type EngineState,
  type LoadReport,
  type OrderResult,
} from '../../ports/engine.js';

/** Adapter for an engine with the OpenAI HTTP protocol and the documented extensions. */
export interface OpenaiEngine extends EnginePort, Disposable {}

const completionPaths = { chat: '/v1/chat/completions', text: '/v1/completions' } as const;

const connectTimeoutMs = 1_000;

/** Longest pause between two chunks of a response body before the request fails. */
const bodyTimeoutMs = 30_000;

interface CompletionChunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
    readonly text?: string;
    readonly finish_reason?: string | null;
    readonly token_count?: number;
  }[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  } | null;
}

interface CacheEventWire extends Omit<CacheEvent, 'stored' | 'evicted'> {
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

function parseHash(hex: string): bigint {
  return BigInt(`0x${hex}`);
}

/**
 * Limit for the characters of an incomplete event; an event of a completion has fewer than 1,000.
 */
const maxEventChars = 262_144;

/** Largest response to a state, load or order call; cache exports and imports have no limit. */
const maxResponseBytes = 8 * 1_048_576;

/** Length of the error response that is quoted in the error message. */
const maxDetailBytes = 200;

/**
 * Returns at most `maxBytes` + 1 bytes of a body, since a faulty engine may send data until its
 * connection is closed.
 */
async function readUpTo(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const part of body) {
    parts.push(part);
    size += part.length;
    if (size > maxBytes) break;
  }
  return Buffer.concat(parts).subarray(0, maxBytes + 1);
}

async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const pending: string[] = [];
  const parser = createParser({
    maxBufferSize: maxEventChars,
    onEvent: (event: EventSourceMessage) => pending.push(event.data),
    onError(err) {
      if (err.type !== 'max-buffer-size-exceeded') return;
      throw new TargetFailedError(`engine sent an event of more than ${maxEventChars} characters`);
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    while (pending.length > 0) yield pending.shift() as string;
  }
}

export function createOpenaiEngine(baseUrl: string): OpenaiEngine {
  const dispatcher = new Agent({
    connect: { timeout: connectTimeoutMs },
    connections: 1_024,
    bodyTimeout: bodyTimeoutMs,
    headersTimeout: 0,
  });

  const send = async (
    method: 'GET' | 'POST',
    path: string,
    token: CancellationToken,
    body?: string | Uint8Array,
  ) => {
    const type = typeof body === 'string' ? 'application/json' : 'application/octet-stream';
    try {
      const res = await request(`${baseUrl}${path}`, {
        method,
        dispatcher,
        signal: token.signal,
        ...(body !== undefined && { body, headers: { 'content-type': type } }),
      });
      if (res.statusCode < 400) return res;
      const detail = (await readUpTo(res.body, maxDetailBytes)).toString();
      const ErrorKind = res.statusCode === 409 ? TargetRefusedError : TargetFailedError;
      throw new ErrorKind(`engine responded with status ${res.statusCode}: ${detail}`);
    } catch (err) {
      token.throwIfCancelled();
      if (err instanceof TargetFailedError || err instanceof TargetRefusedError) throw err;
      throw toTargetError(err, 'engine');
    }
  };

  const sendJson = async <T>(
    method: 'GET' | 'POST',
    path: string,
    token: CancellationToken,
    body?: unknown,
  ): Promise<T> => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const res = await send(method, path, token, text);
    const content = await readUpTo(res.body, maxResponseBytes);
    if (content.length > maxResponseBytes) {
      throw new TargetFailedError(`engine response of ${path} exceeds ${maxResponseBytes} bytes`);
    }
    return JSON.parse(content.toString()) as T;
  };

  async function* complete(
    ...[req, token]: Parameters<EnginePort['complete']>
  ): AsyncGenerator<EngineEvent> {
    const body = JSON.stringify({
      ...(JSON.parse(Buffer.from(req.body).toString()) as object),
      stream: true,
      stream_options: { include_usage: true },
      request_id: req.requestId,
      cache_salt: req.salt,
      weights_version: req.weightsVersion,
      priority: req.priority,
      ...(req.deliveredTokens > 0 && {
        continue_text: req.deliveredText,
        continue_tokens: req.deliveredTokens,
      }),
    });
    const res = await send('POST', completionPaths[req.kind], token, body);
    let finishReason = '';
    try {
      for await (const data of readEvents(res.body)) {
        if (data === '[DONE]') return;
        const chunk = JSON.parse(data) as CompletionChunk;
        const choice = chunk.choices?.[0];
        const text = choice?.delta?.content ?? choice?.text ?? '';
        if (text) yield { kind: 'text', text, tokens: choice?.token_count ?? 1 };
        finishReason = choice?.finish_reason ?? finishReason;
        if (!chunk.usage || !finishReason) continue;
        yield {
          kind: 'end',
          finishReason,
          promptTokens: chunk.usage.prompt_tokens,
          cachedTokens: chunk.usage.prompt_tokens_details?.cached_tokens ?? 0,
          outputTokens: chunk.usage.completion_tokens,
        };
      }
    } catch (err) {
      token.throwIfCancelled();
      throw toTargetError(err, 'engine');
    }
  }

  async function* cacheEvents(token: CancellationToken): AsyncGenerator<CacheEvent> {
    const res = await send('GET', '/engine/cache-events', token);
    for await (const data of readEvents(res.body)) {
      const event = JSON.parse(data) as CacheEventWire;
      yield {
        ...event,
        stored: event.stored.map(parseHash),
        evicted: event.evicted.map(parseHash),
      };
    }
  }

  return {
    state: (token) => sendJson<EngineState>('GET', '/engine/state', token),
    load: (token) => sendJson<LoadReport>('GET', '/engine/load', token),
    complete,
    cacheEvents,
    order(order, token) {
      const body = { ...order, fencingNumber: order.fencingNumber.toString() };
      return sendJson<OrderResult>('POST', '/engine/orders', token, body);
    },
    async exportCache(hashes, token) {
      const body = JSON.stringify({ hashes: hashes.map((hash) => hash.toString(16)) });
      const res = await send('POST', '/engine/cache/export', token, body);
      return new Uint8Array(await res.body.arrayBuffer());
    },
    async importCache(data, token) {
      const res = await send('POST', '/engine/cache/import', token, data);
      return ((await res.body.json()) as { readonly accepted: number }).accepted;
    },
    dispose() {
      dispatcher.destroy().catch(() => undefined);
    },
  };
}
