import { Agent as HttpAgent, type IncomingMessage, request as requestHttp } from 'node:http';
import { Agent as HttpsAgent, request as requestHttps } from 'node:https';
import { pipeline, Readable } from 'node:stream';
import { toTargetError } from '../../base/connections.js';
import { TargetFailedError, TargetRefusedError } from '../../base/errors.js';
import { createHandlerGuard } from '../../base/handlerguard.js';
import { type Disposable } from '../../base/lifecycle.js';
import { watchResponseEnd } from '../../base/responseend.js';
import { findHeadFault } from '../../base/responsehead.js';
import { closeOnUnaskedBytes } from '../../base/unaskedbytes.js';
import { type HeaderList, type ServicePort, type ServiceRequest } from '../../ports/service.js';

const connectTimeoutMs = 1_000;

/** Idle connections are closed after this time, before most services close them. */
const idleTimeoutMs = 4_000;

const agentOptions = { keepAlive: true, maxSockets: 256, timeout: idleTimeoutMs };

/** Functions of Node by the protocol of a URL. */
const clients = {
  'http:': { request: requestHttp, createAgent: () => new HttpAgent(agentOptions) },
  'https:': { request: requestHttps, createAgent: () => new HttpsAgent(agentOptions) },
} as const;

function toHeaderList(headers: IncomingMessage['headers']): HeaderList {
  const list: (readonly [string, string])[] = [];
  for (const [name, value] of Object.entries(headers)) {
    for (const item of [value ?? []].flat()) list.push([name, item]);
  }
  return list;
}

/** Body of a response; fails when the response is not whole. */
async function* readBody(
  res: IncomingMessage,
  findFailure: () => Error | undefined,
): AsyncGenerator<Uint8Array> {
  try {
    for await (const bytes of res as AsyncIterable<Buffer>) yield bytes;
  } catch (err) {
    throw toTargetError(findFailure() ?? err, 'service');
  }
  const failure = findFailure();
  if (failure) throw toTargetError(failure, 'service');
}

/**
 * Creates the adapter for a service that is called over HTTP. It uses Node's client because others take
 * a reset for the end of a response without a length.
 */
export function createHttpService(baseUrl: string): ServicePort & Disposable {
  const { request, createAgent } = clients[new URL(baseUrl).protocol as keyof typeof clients];
  const agent = createAgent();
  closeOnUnaskedBytes(agent);

  /** A flat list keeps repeated headers; Node adds neither a host nor a framing to it. */
  const toRequestHeaders = (url: URL, { headers }: ServiceRequest, hasBody: boolean): string[] => {
    const list = ['host', url.host];
    let hasLength = false;
    for (const [name, value] of headers) {
      if (name === 'content-length') hasLength = true;
      if (hasBody || name !== 'content-length') list.push(name, value);
    }
    if (hasBody && !hasLength) list.push('transfer-encoding', 'chunked');
    return list;
  };

  return {
    send: (call, token) =>
      new Promise((resolve, reject) => {
        const { method } = call;
        const hasBody = method !== 'GET' && method !== 'HEAD';
        const url = new URL(`${baseUrl}${call.path}`);
        const headers = toRequestHeaders(url, call, hasBody) as unknown as Record<string, string>;
        const req = request(url, { method, agent, signal: token.signal, headers });
        let response: IncomingMessage | undefined;
        let failure: Error | undefined;
        let timer: NodeJS.Timeout | undefined;
        const fail = (err: Error): void => {
          clearTimeout(timer);
          // The rest of a request does not matter once its response is whole.
          if (response?.complete) return;
          failure ??= err;
          reject(err instanceof TargetRefusedError ? err : toTargetError(err, 'service'));
          req.destroy();
        };
        const guard = createHandlerGuard(fail);
        req.on(
          'socket',
          guard((socket) => {
            if (!socket.connecting) return;
            const refused = new TargetRefusedError('service did not accept the connection in time');
            timer = setTimeout(() => fail(refused), connectTimeoutMs);
            socket.once('connect', () => clearTimeout(timer));
          }),
        );
        req.on('error', fail);
        // Without a listener Node closes the connection and reports neither a response nor an error.
        req.on('upgrade', (res, socket) => {
          socket.destroy();
          fail(new Error(findHeadFault(res) ?? 'service switched protocols'));
        });
        req.on(
          'response',
          guard((res) => {
            response = res;
            const fault = findHeadFault(res);
            if (fault !== undefined) {
              fail(new TargetFailedError(fault));
              return;
            }
            watchResponseEnd(req, res, fail);
            const body = readBody(res, () => failure);
            resolve({ status: res.statusCode ?? 0, headers: toHeaderList(res.headers), body });
          }),
        );
        if (!hasBody) req.end();
        else
          pipeline(Readable.from(call.body), req, (err) => {
            if (err) fail(err);
          });
      }),
    dispose: () => agent.destroy(),
  };
}
