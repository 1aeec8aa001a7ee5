import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { createActiveRequests } from '../../base/activerequests.js';
import { cancelOnClose } from '../../base/callerclose.js';
import { type Clock } from '../../base/clock.js';
import { errMessage } from '../../base/errors.js';
import { type Logger } from '../../base/logging.js';
import { refusal } from '../../base/refusals.js';
import { createStartQueue } from '../../base/startqueue.js';
import { boundServer } from '../../callerlimits/boundserver.js';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { authenticateTeam, type CallerContext, readRequestId } from './context.js';
import { type EntryMetrics } from '../metrics.js';
import { headerNames, sendRefusal, toRefusal } from './errors.js';

/** Handles one authenticated request. */
export type CallerHandler = (ctx: CallerContext) => Promise<void>;

/** One path of the callers' API; a path that ends with `/` matches everything below it. */
export interface CallerRoute {
  readonly path: string;
  /** Allowed methods; all when absent. */
  readonly methods?: readonly string[];
  readonly handler: CallerHandler;
}

/** HTTP server for callers. */
export interface CallerServer {
  readonly server: Server;
  /** Number of in-flight requests. */
  readonly active: number;
  /** Refuses new requests and closes idle connections; in-flight requests continue. */
  stopAccepting(): void;
}

export interface CallerServerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly replica: ConfigurationReplica;
  readonly routes: readonly CallerRoute[];
  readonly maxHeaderBytes: number;
  /** Connections that are open at once. */
  readonly maxConnections: number;
  readonly metrics: Pick<EntryMetrics, 'recordRequest'>;
}

/** Details of a request for its log line and metrics. */
interface RequestRecord {
  requestId: string;
  team: string;
  path: string;
  outcome: string;
}

/** Time limit for a caller to send the request head. */
const headersTimeoutMs = 10_000;

/** Requests that are read from one connection at once; callers that pipeline send a few. */
const maxRequestsPerConnection = 16;

function findRoute(routes: readonly CallerRoute[], path: string): CallerRoute | undefined {
  for (const route of routes) {
    if (route.path === path) return route;
    if (route.path.endsWith('/') && path.startsWith(route.path)) return route;
  }
  return undefined;
}

const parseErrorResponses: Readonly<Record<string, readonly [number, string]>> = {
  HPE_HEADER_OVERFLOW: [431, 'the request head is too large; send smaller headers'],
  ERR_HTTP_REQUEST_TIMEOUT: [408, 'the request head did not arrive in time; send it at once'],
};

/** Responds to a request that Node could not parse, such as one with two Content-Length headers. */
function respondToParseError(err: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const [status, message] = parseErrorResponses[err.code ?? ''] ?? [
    400,
    'the request is not valid HTTP; send one valid Content-Length and valid headers',
  ];
  const error = { message, type: 'invalid_request_error', code: 'invalidHttp', work: 'not-run' };
  const body = JSON.stringify({ error: { ...error, param: null } });
  socket.end(
    `HTTP/1.1 ${status} Refused\r\ncontent-type: application/json\r\n` +
      `x-cicadatide-work: not-run\r\ncontent-length: ${Buffer.byteLength(body)}\r\n` +
      `connection: close\r\n\r\n${body}`,
  );
}

export function createCallerServer(options: CallerServerOptions): CallerServer {
  const { clock, log, replica, routes, maxHeaderBytes, maxConnections, metrics } = options;
  let isAccepting = true;
  const startQueue = createStartQueue(clock);

  const handle = async (
    req: IncomingMessage,
    res: ServerResponse,
    record: RequestRecord,
  ): Promise<void> => {
    record.requestId = readRequestId(req);
    if (!isAccepting) throw refusal('draining', 'this instance is shutting down');
    if (!replica.ready) throw refusal('notReady', 'no configuration has been received yet');
    const url = new URL(req.url ?? '/', 'http://localhost');
    const team = authenticateTeam(req, replica);
    record.team = team.name;
    const route = findRoute(routes, url.pathname);
    if (!route) throw refusal('unknownRoute', `no such path: ${url.pathname}`);
    record.path = route.path;
    if (route.methods && !route.methods.includes(req.method ?? '')) {
      throw refusal('methodNotAllowed', `method ${req.method} is not allowed here`);
    }
    const source = cancelOnClose(req, res);
    const setOutcome = (code: string): void => {
      record.outcome = code;
    };
    const { requestId } = record;
    await startQueue.enqueue(async () => {
      source.token.throwIfCancelled();
      await route.handler({ requestId, team, req, res, url, source, setOutcome });
    });
  };

  const recordFinished = (res: ServerResponse, record: RequestRecord, startedAt: number): void => {
    const { path, team, outcome, requestId } = record;
    const durationMs = Math.round(clock.now() - startedAt);
    metrics.recordRequest({ path, team, outcome, durationMs });
    const target = res.getHeader(headerNames.target);
    const attempt = res.getHeader(headerNames.attempt);
    log.info({ requestId, team, path, target, attempt, outcome, durationMs }, 'request finished');
  };

  const server = createServer({
    maxHeaderSize: maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: 0,
  });
  boundServer(server, {
    maxConnections,
    maxRequests: maxRequestsPerConnection,
    headTimeoutMs: headersTimeoutMs,
    requestTimeoutMs: 0,
  });
  const requests = createActiveRequests(clock, server);
  server.on('request', (req, res) => {
    const startedAt = clock.now();
    const record: RequestRecord = { requestId: '', team: '', path: '', outcome: 'ok' };
    const request = requests.add(record.requestId, req, res);
    if (!isAccepting) res.shouldKeepAlive = false;
    handle(req, res, record)
      .catch((err: unknown) => {
        if (res.destroyed || req.socket.readableEnded) {
          res.destroy();
          record.outcome = 'cancelled';
          return;
        }
        const refusalError = toRefusal(err, record.requestId, log);
        record.outcome = refusalError.code;
        sendRefusal(res, refusalError, record.requestId);
      })
      // A complete response may still wait for the caller to read it.
      .then(() => request.closed)
      .then(
        () => {
          requests.remove(request);
          if (!request.isFlushed) record.outcome = 'cancelled';
          recordFinished(res, record, startedAt);
        },
        (err: unknown) =>
          log.error({ err: errMessage(err) }, 'failed to record the result of a request'),
      );
  });
  server.on('connection', (socket) => {
    // Each request adds listeners to its socket, and callers may pipeline many requests.
    socket.setMaxListeners(0);
    startQueue.recordConnection();
  });
  server.on('clientError', (err: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    // The caller would take a refusal for a part of the response that it waits for.
    if (requests.isResponding(socket)) socket.destroySoon();
    else respondToParseError(err, socket);
  });

  return {
    server,
    get active() {
      return requests.size;
    },
    stopAccepting() {
      isAccepting = false;
      requests.closeIdleConnections();
    },
  };
}
