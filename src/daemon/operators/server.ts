import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Registry } from 'prom-client';
import { errMessage } from '../../base/errors.js';
import { type Logger } from '../../base/logging.js';
import { boundServer, operatorBounds } from '../../callerlimits/boundserver.js';
import { refusal } from '../../base/refusals.js';
import { sendRefusal, toRefusal } from '../callers/errors.js';

/** Handles one request of an operator or of the platform. */
export type OperatorHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
) => Promise<void>;

/** One path of the operators' API; a path that ends with `/` matches everything below it. */
export interface OperatorRoute {
  readonly path: string;
  readonly handler: OperatorHandler;
}

export interface OperatorServerOptions {
  readonly log: Logger;
  readonly registry: Registry;
  readonly isReady: () => boolean;
  readonly routes: readonly OperatorRoute[];
}

export function sendJson(res: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  res.statusCode = status;
  res.setHeader('content-type', 'application/json; charset=utf-8');
  res.setHeader('content-length', Buffer.byteLength(body));
  res.end(body);
}

/** Creates the HTTP server for health checks, metrics and operators. */
export function createOperatorServer(options: OperatorServerOptions): Server {
  const { log, registry, isReady, routes } = options;

  const fixedRoutes: readonly OperatorRoute[] = [
    {
      path: '/healthz',
      handler: async (_req, res) => sendJson(res, 200, { status: 'alive' }),
    },
    {
      path: '/readyz',
      handler: async (_req, res) => {
        const ready = isReady();
        sendJson(res, ready ? 200 : 503, { status: ready ? 'ready' : 'not-ready' });
      },
    },
    {
      path: '/metrics',
      handler: async (_req, res) => {
        const text = await registry.metrics();
        res.setHeader('content-type', registry.contentType);
        res.end(text);
      },
    },
  ];

  const findRoute = (path: string): OperatorRoute | undefined => {
    for (const route of [...fixedRoutes, ...routes]) {
      if (route.path === path) return route;
      if (route.path.endsWith('/') && path.startsWith(route.path)) return route;
    }
    return undefined;
  };

  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const url = new URL(req.url ?? '/', 'http://localhost');
    const route = findRoute(url.pathname);
    if (!route) throw refusal('unknownRoute', `no such path: ${url.pathname}`);
    await route.handler(req, res, url);
  };

  const server = createServer((req, res) => {
    handle(req, res).catch((err: unknown) => {
      log.debug({ err: errMessage(err) }, 'operator request failed');
      sendRefusal(res, toRefusal(err, '', log), '');
    });
  });
  boundServer(server, operatorBounds);
  return server;
}
