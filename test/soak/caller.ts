import { Agent, request } from 'node:http';
import { type Random } from '../../src/base/random.js';
import { model } from '../standins/platform/site.js';

/** Response to one request, as the caller received it. */
export interface ObservedResponse {
  readonly requestId: string;
  readonly route: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 when the connection was closed before the response header. */
  readonly status: number;
  readonly body: string;
  readonly isSigned: boolean;
  readonly isComplete: boolean;
  /** Port of the gateway. */
  readonly port: number;
  /** The connection to the gateway was open, so the request could be sent. */
  readonly isConnected: boolean;
  readonly deadlineMs: number;
  /** API key of the request. */
  readonly key: string;
  /** Time at which the caller disconnected before the end of the response. */
  readonly disconnectedAt: number | undefined;
}

/** Sends requests over keep-alive connections. */
export interface SoakCaller {
  readonly responses: readonly ObservedResponse[];
  send(port: number, key: string): Promise<void>;
  close(): void;
}

/** Requests that a caller sends. */
export interface CallerProfile {
  readonly routes: readonly string[];
  readonly deadlineMs: number;
  /** Begins the ids of its requests. */
  readonly idPrefix: string;
  /** Fraction of the requests whose caller disconnects. */
  readonly disconnectRate: number;
}

export const usualProfile: CallerProfile = {
  routes: ['fit', 'reply', 'order', 'look'],
  deadlineMs: 1_500,
  idPrefix: 'r',
  disconnectRate: 0.15,
};

/** Callers that wait for streams with long pauses; the routes have a longer timeout. */
export const patientProfile: CallerProfile = {
  routes: ['patientfit', 'patientreply'],
  deadlineMs: 6_000,
  idPrefix: 'p',
  disconnectRate: 0,
};

export const isPromptRoute = (route: string): boolean => /(fit|reply)$/.test(route);

/** Maximum delay until a caller disconnects. */
const maxDisconnectDelayMs = 400;

/**
 * `disconnectRandom` decides which callers disconnect. It is separate from `random`, so that a seed
 * yields the same requests.
 */
export function createSoakCaller(
  random: Random,
  disconnectRandom: Random,
  { routes, deadlineMs, idPrefix, disconnectRate }: CallerProfile = usualProfile,
): SoakCaller {
  const agent = new Agent({ keepAlive: true });
  const responses: ObservedResponse[] = [];
  let requestCount = 0;
  return {
    responses,
    send(port, key) {
      requestCount += 1;
      const requestId = `${idPrefix}${requestCount}`;
      const route = routes[random.integer(routes.length)] as string;
      const sentAt = performance.now();
      const isPrompt = isPromptRoute(route);
      const session = random.integer(12);
      return new Promise((resolve) => {
        const chunks: Buffer[] = [];
        let status = 0;
        let isSigned = false;
        let disconnectedAt: number | undefined;
        let isConnected = false;
        const finish = (isComplete: boolean): void => {
          responses.push({
            requestId,
            route,
            sentAt,
            endedAt: performance.now(),
            status,
            body: Buffer.concat(chunks).toString('utf8'),
            isSigned,
            isComplete,
            port,
            isConnected,
            deadlineMs,
            key,
            disconnectedAt,
          });
          resolve();
        };
        const req = request({
          agent,
          host: '127.0.0.1',
          port,
          path: `/${route}/x`,
          method: route === 'look' ? 'GET' : 'POST',
          timeout: 2 * deadlineMs,
          headers: {
            Host: 'site.test',
            'X-Request-Id': requestId,
            'X-Deadline-Ms': String(deadlineMs),
            'X-Api-Key': key,
            ...(isPrompt
              ? {
                  'X-Model': model,
                  'X-Token-Count': '900,40',
                  'X-Prompt-Prefix': `a:500,s${session}:300,${requestId}:100`,
                }
              : {}),
          },
        });
        req.on('socket', (socket) => {
          isConnected = !socket.connecting;
          if (isConnected) return;
          socket.once('connect', () => {
            isConnected = true;
          });
        });
        req.on('timeout', () => req.destroy());
        req.once('error', () => finish(false));
        req.on('response', (res) => {
          req.removeAllListeners('error');
          req.on('error', () => undefined);
          status = res.statusCode ?? 0;
          isSigned = res.headers['x-server-stamp'] !== undefined;
          res.on('data', (chunk: Buffer) => chunks.push(chunk));
          res.once('close', () => finish(res.complete));
        });
        if (disconnectRandom.next() < disconnectRate) {
          const disconnect = (): void => {
            if (req.closed) return;
            disconnectedAt = performance.now();
            req.destroy();
          };
          setTimeout(disconnect, disconnectRandom.next() * maxDisconnectDelayMs);
        }
        req.end(route === 'look' ? undefined : `body of ${requestId}`);
      });
    },
    close: () => agent.destroy(),
  };
}
