import { CicadatideError } from './errors.js';

/** Whether a refused or failed request was executed, as far as is known. */
export type WorkState = 'not-run' | 'completed' | 'unknown';

interface RefusalKind {
  readonly status: number;
  readonly type: string;
  readonly work: WorkState;
  readonly remedy: string;
  /** True when responses may include a Retry-After header. */
  readonly retryAfter: boolean;
}

/**
 * Refusals of the callers' and the operators' API, with their HTTP status and remedy. Requests that
 * are not valid HTTP are refused with a code of their own, `invalidHttp`.
 */
export const refusalKinds = {
  invalidJson: kind(400, 'invalid_request_error', 'send a JSON object encoded as UTF-8'),
  invalidRequest: kind(400, 'invalid_request_error', 'correct the named field'),
  invalidLength: kind(400, 'invalid_request_error', 'send one valid Content-Length'),
  unsupportedEncoding: kind(415, 'invalid_request_error', 'send the body without encoding'),
  bodyTooLarge: kind(413, 'invalid_request_error', 'send a smaller body'),
  bodyTimeout: kind(408, 'invalid_request_error', 'send the body without long pauses'),
  unauthorized: kind(401, 'authentication_error', 'send a valid key as Authorization: Bearer'),
  forbidden: kind(403, 'permission_error', 'use a key with the required role'),
  unknownModel: kind(404, 'invalid_request_error', 'use a model listed by /v1/models'),
  unknownRoute: kind(404, 'invalid_request_error', 'use a documented path'),
  unknownRequest: kind(404, 'invalid_request_error', 'use the id of a recent request of your team'),
  replayWindow: kind(410, 'invalid_request_error', 'send the request again', 'unknown'),
  unknownRecord: kind(404, 'invalid_request_error', 'use a name that the list shows'),
  methodNotAllowed: kind(405, 'invalid_request_error', 'use the documented method'),
  conflict: kind(409, 'conflict_error', 'read the current revision and submit again'),
  keyReused: kind(422, 'invalid_request_error', 'use a new Idempotency-Key for a new request'),
  teamLimit: withRetryAfter(
    kind(429, 'rate_limit_error', 'wait for Retry-After or ask for a higher limit'),
  ),
  overloaded: withRetryAfter(
    kind(503, 'overloaded_error', 'wait for Retry-After and send the request again'),
  ),
  noTarget: withRetryAfter(
    kind(503, 'overloaded_error', 'wait until a target of this route is ready'),
  ),
  draining: kind(503, 'overloaded_error', 'send the request again on a new connection'),
  notReady: kind(503, 'overloaded_error', 'wait until the instance reports ready'),
  storeDown: kind(503, 'overloaded_error', 'send the request again when the store is back'),
  deadline: withRetryAfter(
    kind(504, 'timeout_error', 'allow more time or send the request at lower load'),
  ),
  inProgress: kind(409, 'conflict_error', 'wait and repeat with the same key', 'unknown'),
  outcomeUnknown: kind(
    502,
    'upstream_error',
    'repeat with the same Idempotency-Key or ask an operator to settle it',
    'unknown',
  ),
  targetFailed: kind(502, 'upstream_error', 'send the request again', 'unknown'),
  internal: kind(500, 'internal_error', 'report the request id to the operator', 'unknown'),
} as const satisfies Record<string, RefusalKind>;

/** Name of one entry of {@link refusalKinds}. */
export type RefusalCode = keyof typeof refusalKinds;

/** Values that override or extend the {@link refusalKinds} entry for one refusal. */
export interface RefusalDetails {
  readonly retryAfterMs?: number;
  readonly work?: WorkState;
}

/** Fields of a {@link RefusalError}. */
export interface RefusalFields {
  readonly code: RefusalCode;
  readonly status: number;
  readonly type: string;
  readonly work: WorkState;
  readonly retryAfterMs: number | undefined;
}

/** An error that is reported to the caller with its code and work state. */
export const RefusalError = CicadatideError.subclass('RefusalError');

/** Instance of {@link RefusalError}; created by {@link refusal}. */
export type RefusalError = Error & RefusalFields;

/** Creates a refusal error; its message ends with the remedy of its kind. */
export function refusal(
  code: RefusalCode,
  detail: string,
  details: RefusalDetails = {},
): RefusalError {
  const { status, type, work, remedy } = refusalKinds[code];
  const { retryAfterMs } = details;
  const props = { code, status, type, work: details.work ?? work, retryAfterMs };
  return new RefusalError(`${detail}; ${remedy}`, { props });
}

export function isRefusal(err: unknown): err is RefusalError {
  return err instanceof RefusalError;
}

function kind(
  status: number,
  type: string,
  remedy: string,
  work: WorkState = 'not-run',
): RefusalKind {
  return { status, type, work, remedy, retryAfter: false };
}

function withRetryAfter(refusalKind: RefusalKind): RefusalKind {
  return { ...refusalKind, retryAfter: true };
}
