import { Agent, type IncomingMessage, request } from 'node:http';
import { type HostPort } from './address.js';
import { type CancellationToken } from './cancellation.js';

/** One HTTP call with a small body, and its whole answer. */
export interface CallRequest {
  readonly address: HostPort;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time until the whole answer is there, in milliseconds. */
  readonly timeoutMs: number;
}

export interface CallAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Failure of a call. `isSent` is false when no byte of it can have left this process. */
export interface CallFailure extends Error {
  readonly isSent?: boolean;
}

/** Calls an HTTP service over kept connections. A call that times out closes its connection. */
export type Caller = (call: CallRequest, token: CancellationToken) => Promise<CallAnswer>;

/** Largest answer that is read; the platform's pages bound answers to 1 MB plus their encoding. */
const maxAnswerBytes = 8 * 1_048_576;

export function createCaller(): Caller {
  const agent = new Agent({ keepAlive: true, scheduling: 'lifo' });
  return ({ address, method, path, body, headers, timeoutMs }, token) =>
    new Promise((resolve, reject) => {
      let isSent = false;
      const req = request({
        agent,
        host: address.host,
        port: address.port,
        method,
        path,
        headers: {
          ...headers,
          ...(body === undefined ? {} : { 'Content-Type': 'application/json' }),
        },
      });
      const link = token.onCancellationRequested((reason) => req.destroy(new Error(reason)));
      const timer = setTimeout(() => req.destroy(new Error('no answer in time')), timeoutMs);
      const fail = (err: Error): void => {
        clearTimeout(timer);
        link.dispose();
        reject(Object.assign(err, { isSent }));
      };
      req.on('socket', (socket) => {
        if (!socket.connecting) isSent = true;
        else socket.once('connect', () => (isSent = true));
      });
      req.on('error', fail);
      req.on('response', (res) => {
        const chunks: Buffer[] = [];
        let size = 0;
        res.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          size += chunk.length;
          if (size > maxAnswerBytes) req.destroy(new Error('the answer is too large'));
        });
        res.on('error', fail);
        res.on('end', () => {
          if (!res.complete) return fail(new Error('the answer is incomplete'));
          clearTimeout(timer);
          link.dispose();
          const text = Buffer.concat(chunks).toString('utf8');
          return resolve({ status: res.statusCode ?? 0, headers: res.headers, body: text });
        });
      });
      req.end(body);
    });
}
