import { type ServerResponse } from 'node:http';
import { errMessage } from '../../base/errors.js';
import { type Logger } from '../../base/logging.js';
import { isRefusal, refusal, type RefusalError } from '../../base/refusals.js';

/** Headers that the callers' API reads from requests or adds to responses. */
export const headerNames = {
  requestId: 'x-request-id',
  work: 'x-cicadatide-work',
  target: 'x-cicadatide-target',
  attempt: 'x-cicadatide-attempt',
  deadline: 'x-cicadatide-deadline-ms',
  priority: 'x-cicadatide-priority',
  key: 'idempotency-key',
  replayed: 'x-cicadatide-replayed',
} as const;

/** JSON error body in the shape that language-model clients expect. */
export function errorBody(err: RefusalError, requestId: string) {
  return {
    error: {
      message: err.message,
      type: err.type,
      code: err.code,
      param: null,
      work: err.work,
      request_id: requestId,
    },
  };
}

/** Converts any thrown value to a refusal; unexpected errors are logged. */
export function toRefusal(err: unknown, requestId: string, log: Logger): RefusalError {
  if (isRefusal(err)) return err;
  log.error({ requestId, err: errMessage(err) }, 'request failed unexpectedly');
  return refusal('internal', 'the request failed unexpectedly');
}

/** Sends a refusal as the response; destroys a response whose headers were already sent. */
export function sendRefusal(res: ServerResponse, err: RefusalError, requestId: string): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const body = JSON.stringify(errorBody(err, requestId));
  const { req } = res;
  if (!req.complete) {
    // The rest of the request body is not read, so the connection can't be reused.
    res.setHeader('connection', 'close');
    res.once('finish', () => req.destroy());
  }
  res.statusCode = err.status;
  res.setHeader('content-type', 'application/json; charset=utf-8');
  res.setHeader('content-length', Buffer.byteLength(body));
  res.setHeader(headerNames.requestId, requestId);
  res.setHeader(headerNames.work, err.work);
  if (err.retryAfterMs !== undefined) {
    res.setHeader('retry-after', Math.max(1, Math.ceil(err.retryAfterMs / 1_000)));
  }
  res.end(body);
}
