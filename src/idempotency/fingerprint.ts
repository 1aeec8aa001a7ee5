/** Fingerprints of non-idempotent requests; a key that comes with another one is refused. */
import { createHash } from 'node:crypto';

/** Start of a request body and what follows it. */
export interface BufferedBody {
  readonly head: Buffer;
  /** Rest of a body that is larger than the bound; undefined when the head is all of it. */
  readonly rest: AsyncIterable<Uint8Array> | undefined;
}

/** Bytes of a request body that are buffered; larger bodies are streamed after this head. */
export const maxBufferedBytes = 1_048_576;

/** Reads a body up to the bound. The iterator is not closed, so that the rest can follow. */
export async function bufferBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number = maxBufferedBytes,
): Promise<BufferedBody> {
  const iterator = body[Symbol.asyncIterator]();
  const parts: Uint8Array[] = [];
  let total = 0;
  while (total <= maxBytes) {
    const { done, value } = await iterator.next();
    if (done) return { head: Buffer.concat(parts), rest: undefined };
    parts.push(value);
    total += value.length;
  }
  return { head: Buffer.concat(parts), rest: { [Symbol.asyncIterator]: () => iterator } };
}

/**
 * Hash of method, path and body. For a body above the bound it covers the first bytes and the
 * declared length, so two such requests that differ only later in the body are not told apart.
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
