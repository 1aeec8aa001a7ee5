import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { errMessage, StoreReplyLostError, StoreUnavailableError } from '../base/errors.js';

/** Where a platform store is reached, and the key that requests are signed with. */
export interface StoreEndpoint {
  readonly endpoint: string;
  readonly region: string;
  readonly accessKey: string;
  readonly secretKey: string;
}

/** Time after which a call counts as lost and its connection is closed. */
export const storeTimeoutMs = 1_000;

interface StoreFailure {
  readonly name?: string;
  readonly code?: string;
  readonly $metadata?: { readonly httpStatusCode?: number };
}

/** Failures before a request was sent. */
const notSentCodes = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

/** A request that was not sent, or that the store rejected with a 4xx status, had no effect. */
function hadNoEffect(err: unknown): boolean {
  const { code = '', $metadata } = (err ?? {}) as StoreFailure;
  const status = $metadata?.httpStatusCode ?? 0;
  return notSentCodes.has(code) || (status >= 400 && status < 500);
}

/** Client settings that hold for every call: one attempt, and errors are left to the caller. */
export function clientSettings({ endpoint, region, accessKey, secretKey }: StoreEndpoint) {
  return {
    endpoint,
    region,
    maxAttempts: 1,
    credentials: { accessKeyId: accessKey, secretAccessKey: secretKey },
  };
}

/**
 * Runs one call of a store with its time limit. Aborting the call closes its connection, so that
 * the next call opens a new one. Failures are mapped to the errors of `TablePort`; a write whose
 * effect is in doubt rejects with StoreReplyLostError.
 */
export async function callStore<T>(
  kind: 'read' | 'write',
  token: CancellationToken,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  token.throwIfCancelled();
  const source = createCancellationSource(token);
  const timer = setTimeout(() => source.cancel('no answer in time'), storeTimeoutMs);
  try {
    return await run(source.token.signal);
  } catch (err) {
    const timedOut = source.token.isCancellationRequested;
    const reason = timedOut ? `no answer within ${storeTimeoutMs} ms` : errMessage(err);
    if (kind === 'write' && !hadNoEffect(err)) {
      throw new StoreReplyLostError(`reply of the store was lost: ${reason}`, { cause: err });
    }
    throw new StoreUnavailableError(`store is not available: ${reason}`, { cause: err });
  } finally {
    clearTimeout(timer);
    source.dispose();
  }
}
