import { Agent, request } from 'undici';
import { errMessage } from '../base/errors.js';
import { commandError, type ExitName } from './command.js';

/** Response of the operators' API. */
export interface ApiReply {
  readonly status: number;
  readonly body: unknown;
}

/** Client of the operators' API of one entry. */
export interface OperatorClient {
  /** Returns the body of a successful response; other responses throw a CommandError. */
  get<T>(path: string): Promise<T>;
  post<T>(path: string, body: unknown): Promise<T>;
  /**
   * Returns a response of any status unless its body has an `error`. The error for a lost reply
   * names `lostReplyRemedy`.
   */
  send(path: string, body: unknown, lostReplyRemedy: string): Promise<ApiReply>;
}

const timeoutMs = 20_000;

/** Largest accepted response, in bytes. */
const maxResponseSize = 16 * 1_048_576;

/** Error codes of failures before the request was sent. */
const notSentCodes = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function exitOf(status: number): ExitName {
  if (status === 409) return 'conflict';
  if (status === 502) return 'unknown';
  return status === 503 ? 'unreachable' : 'refused';
}

function messageOf({ status, body }: ApiReply): string {
  const { error } = (body ?? {}) as { readonly error?: { readonly message?: string } };
  return error?.message ?? `the server responded with status ${status}`;
}

export function createOperatorClient(url: string, token: string): OperatorClient {
  const dispatcher = new Agent({
    connectTimeout: 5_000,
    keepAliveTimeout: 1,
    pipelining: 0,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    maxResponseSize,
  });

  const call = async (
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    lostReplyRemedy?: string,
  ): Promise<ApiReply> => {
    try {
      const res = await request(new URL(`/v1/${path}`, url), {
        dispatcher,
        method,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      return { status: res.statusCode, body: await res.body.json() };
    } catch (err) {
      const { code = '' } = err as { readonly code?: string };
      const reason = errMessage(err) || code;
      if (lostReplyRemedy && !notSentCodes.has(code)) {
        throw commandError('unknown', `reply of ${url} was lost (${reason}); ${lostReplyRemedy}`);
      }
      throw commandError(
        'unreachable',
        `${url} can't be reached (${reason}); check --url or CICADATIDE_URL, or try another entry`,
      );
    }
  };

  const requireOk = <T>(reply: ApiReply): T => {
    if (reply.status >= 200 && reply.status < 300) return reply.body as T;
    throw commandError(exitOf(reply.status), messageOf(reply));
  };

  return {
    get: async (path) => requireOk(await call('GET', path, undefined)),
    post: async (path, body) => requireOk(await call('POST', path, body)),
    async send(path, body, lostReplyRemedy) {
      const reply = await call('POST', path, body, lostReplyRemedy);
      const { error } = (reply.body ?? {}) as { readonly error?: unknown };
      return error ? { ...reply, body: requireOk(reply) } : reply;
    },
  };
}
