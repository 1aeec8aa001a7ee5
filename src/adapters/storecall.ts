import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { errMessage, StoreReplyLostError, StoreUnavailableError } from '../base/errors.js';

/** Address of a platform store and the credentials that sign its requests. */
export interface StoreEndpoint {
  readonly endpoint: string;
  readonly region: string;
  readonly accessKey: string;
  readonly secretKey: string;
}

/** Time limit of a call; a call that exceeds it is aborted and its connection closed. */
export const storeTimeoutMs = 1_000;

interface StoreFailure {
  readonly name?: string;
  readonly code?: string;
  readonly $metadata?: { readonly httpStatusCode?: number };
}

/** Error codes of failures before the request was sent. */
const notSentCodes = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

/** A request had no effect if it was not sent or if the store rejected it with a 4xx status. */
function hadNoEffect(err: unknown): boolean {
  const { code = '', $metadata } = (err ?? {}) as StoreFailure;
  const status = $metadata?.httpStatusCode ?? 0;
  return notSentCodes.has(code) || (status >= 400 && status < 500);
}

/** SDK client settings: one attempt per call, so that the calling code handles errors. */
export function clientSettings({ endpoint, region, accessKey, secretKey }: StoreEndpoint) {
  return {
    endpoint,
    region,
    maxAttempts: 1,
    credentials: { accessKeyId: accessKey, secretAccessKey: secretKey },
  };
}

/**
 * Runs one store call with a time limit. Aborting the call closes its connection, so that the next
 * call opens a new one. Failures are mapped to the errors of `TablePort`; a write that may have
 * taken effect rejects with StoreReplyLostError.
 */
export async function callStore<T>(
  kind: 'read' | 'write',
  token: CancellationToken,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  token.throwIfCancelled();
  const source = createCancellationSource(token);
  const timer = setTimeout(() => source.cancel('request timed out'), storeTimeoutMs);
  try {
    return await run(source.token.signal);
  } catch (err) {
    const timedOut = source.token.isCancellationRequested;
    const reason = timedOut ? `no response within ${storeTimeoutMs} ms` : errMessage(err);
    if (kind === 'write' && !hadNoEffect(err)) {
      throw new StoreReplyLostError(`store reply was lost: ${reason}`, { cause: err });
    }
    throw new StoreUnavailableError(`store is not available: ${reason}`, { cause: err });
  } finally {
    clearTimeout(timer);
    source.dispose();
  }
}
