import { type IncomingMessage } from 'node:http';
import { type Clock, withTimeout } from '../../base/clock.js';
import { refusal, type RefusalError } from '../../base/refusals.js';

/** Limits for reading a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

async function readBytes(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  let total = 0;
  for await (const part of req as AsyncIterable<Buffer>) {
    total += part.length;
    if (total > maxBytes) {
      throw refusal('bodyTooLarge', `the body is larger than ${maxBytes} bytes`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts, total);
}

/** Reads a request body that is a JSON object; throws RefusalError for anything else. */
export async function readJson(
  req: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Readonly<Record<string, unknown>>> {
  const encoding = req.headers['content-encoding'];
  if (encoding && encoding !== 'identity') {
    throw refusal('unsupportedEncoding', `content encoding ${encoding} is not supported`);
  }
  if (Number(req.headers['content-length'] ?? 0) > limits.maxBytes) {
    throw refusal('bodyTooLarge', `the body is larger than ${limits.maxBytes} bytes`);
  }
  const bytes = await withTimeout(clock, limits.timeoutMs, readBytes(req, limits.maxBytes));
  if (!bytes) throw refusal('bodyTimeout', 'the body did not arrive in time');
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch {
    throw refusal('invalidJson', 'the body is not valid JSON');
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw refusal('invalidJson', 'the body is not a JSON object');
  }
  return value as Readonly<Record<string, unknown>>;
}
