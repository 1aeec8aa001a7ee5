import { Agent, type IncomingMessage, request } from 'node:http';
import { type HostPort } from './address.js';
import { type CancellationToken } from './cancellation.js';
import { createHandlerGuard } from './handlerguard.js';
import {
  type CallKind,
  createResponseMonitor,
  isResponseLimit,
  type ResponseMonitor,
  toLimitError,
} from './responselimits.js';
import { type ResponseWatch, watchResponse } from './responsewatch.js';
import { closeOnUnaskedBytes } from './unaskedbytes.js';

/** HTTP request with a small body, whose response is read in full. */
export interface HttpRequest {
  readonly call: CallKind;
  readonly address: HostPort;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time limit until the full response is received, in milliseconds. */
  readonly timeoutMs: number;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Error of a request. `isSent` is false when no byte of it can have left this process. */
export interface HttpCallError extends Error {
  readonly isSent?: boolean;
}

/**
 * Sends a request over keep-alive connections. A request that fails on one of them closes it and the
 * idle ones to the same address: connections that go silent do so together.
 */
export type HttpClient = (call: HttpRequest, token: CancellationToken) => Promise<HttpResponse>;

export function createHttpClient(monitor: ResponseMonitor = createResponseMonitor()): HttpClient {
  const agent = new Agent({ keepAlive: true, scheduling: 'lifo' });
  closeOnUnaskedBytes(agent);
  const closeIdle = ({ host, port }: HostPort): void => {
    const idle = agent.freeSockets[agent.getName({ host, port })] ?? [];
    for (const socket of [...idle]) socket.destroy();
  };
  return ({ call, address, method, path, body, headers, timeoutMs }, token) =>
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
      const subscription = token.onCancellationRequested((reason) =>
        req.destroy(new Error(reason)),
      );
      const timer = setTimeout(() => req.destroy(new Error('request timed out')), timeoutMs);
      let watch: ResponseWatch | undefined;
      const buffer = monitor.createBuffer(call);
      let isFinished = false;
      const finish = (): void => {
        isFinished = true;
        clearTimeout(timer);
        subscription.dispose();
        watch?.dispose();
        buffer.dispose();
      };
      const fail = (err: Error): void => {
        if (isFinished) return;
        finish();
        if (req.reusedSocket) closeIdle(address);
        if (isResponseLimit(err)) {
          const receivedBytes = watch?.receivedBytes ?? 0;
          monitor.report({ call, address, receivedBytes, cause: err.message });
        }
        reject(Object.assign(err, { isSent }));
      };
      // After an upgrade, the request emits no error any more.
      const giveUp = (err: Error): void => {
        fail(err);
        req.destroy();
      };
      const guard = createHandlerGuard(giveUp);
      watch = watchResponse(req, giveUp);
      req.on('socket', (socket) => {
        if (!socket.connecting) isSent = true;
        else socket.once('connect', () => (isSent = true));
      });
      req.on('error', fail);
      req.on(
        'response',
        guard((res) => {
          const onData = (chunk: Buffer): void => {
            const overflow = isFinished ? undefined : buffer.push(chunk);
            if (overflow) req.destroy(toLimitError('body', call, overflow));
          };
          const onEnd = (): void => {
            if (!res.complete) {
              fail(new Error('response is incomplete'));
              return;
            }
            const text = buffer.take().toString('utf8');
            finish();
            resolve({ status: res.statusCode ?? 0, headers: res.headers, body: text });
          };
          res.on('data', guard(onData));
          res.on('error', fail);
          res.on('end', guard(onEnd));
        }),
      );
      req.end(body);
    });
}
