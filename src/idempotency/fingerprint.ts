/** Fingerprints of non-idempotent requests; a key that is reused with another one is refused. */
import { createHash } from 'node:crypto';

/** A request body whose start is buffered. */
export interface BufferedBody {
  readonly head: Buffer;
  /** Rest of a body that exceeds the limit; undefined when `head` is the whole body. */
  readonly rest: AsyncIterable<Uint8Array> | undefined;
}

/** Request body bytes that are buffered; the rest of a larger body is streamed. */
export const maxBufferedBytes = 1_048_576;

/** Buffers a body up to the limit. The iterator stays open so that the rest can be read. */
export async function bufferBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number = maxBufferedBytes,
): Promise<BufferedBody> {
  const iterator = body[Symbol.asyncIterator]();
  const parts: Uint8Array[] = [];
  let totalBytes = 0;
  while (totalBytes <= maxBytes) {
    const { done, value } = await iterator.next();
    if (done) return { head: Buffer.concat(parts), rest: undefined };
    parts.push(value);
    totalBytes += value.length;
  }
  return { head: Buffer.concat(parts), rest: { [Symbol.asyncIterator]: () => iterator } };
}

/**
 * Hash of method, path and body. For a body above the limit it covers the first bytes and the
 * declared length, so two such requests that differ only later in the body have the same hash.
 */
export function fingerprintOf(
  method: string,
  path: string,
  body: BufferedBody,
  declaredLength: string,
): string {
  const hash = createHash('sha256').update(JSON.stringify([method, path]));
  if (!body.rest) return hash.update('whole').update(body.head).digest('hex');
  const head = body.head.subarray(0, maxBufferedBytes);
  return hash.update(`head ${declaredLength} `).update(head).digest('hex');
}
