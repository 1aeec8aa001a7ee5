import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { type ActiveRequestSummary, createActiveRequests } from '../base/activerequests.js';
import { type Allowance } from '../base/allowance.js';
import { createByteBuffer } from '../base/bytebuffer.js';
import { type CancellationSource } from '../base/cancellation.js';
import { cancelOnClose } from '../base/callerclose.js';
import { type Clock } from '../base/clock.js';
import { createDeadline } from '../base/deadline.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { createStartQueue } from '../base/startqueue.js';
import {
  type AdmittedRequest,
  type CloseReason,
  type HeadLimits,
  type HeldByCallers,
} from '../callerlimits/connection.js';
import { limitConnections } from '../callerlimits/connections.js';
import { type DerivedLimits } from '../callerlimits/derivedlimits.js';
import { createLineLimit } from '../callerlimits/linelimit.js';
import { type CallerHead, type WireProtocol } from '../ports/wire.js';
import {
  type CallerResponse,
  createCallerResponse,
  type LocalResponse,
  localResponses,
} from './response.js';
import { onClientError, rejectHead } from './clienterror.js';
import { type CallResult, type GatewayCall } from './calls.js';
import { type Dispatcher } from './dispatcher.js';
import { hasNoBody, ownBodyBytes, readBody } from './requestbody.js';
import { pickService, type RouteTable } from './routes.js';
import { type RateDecision, type TeamRates } from '../teamrates/teamrates.js';

/** HTTP server for callers. */
export interface GatewayServer {
  readonly server: Server;
  /** Number of requests in progress. */
  readonly active: number;
  /** Number of complete responses that their callers have not read yet. */
  readonly flushing: number;
  /** Number of open connections. */
  readonly connections: number;
  /** The oldest requests in progress, at most `limit`. */
  summarize(limit: number): readonly ActiveRequestSummary[];
  /**
   * Makes the responses to later requests announce that their connection closes. Connections of
   * earlier requests stay open, because their callers may have sent the next request already.
   */
  closeAfterResponses(): void;
  /** Closes idle connections and responds to new requests with `not-ready`. */
  refuseNew(): void;
  /**
   * Ends the requests in progress and returns their number. Callers that have no response yet learn
   * whether their request may have run; started responses are broken off.
   */
  interruptAll(): number;
  /** Applies the limits of a configuration to connections. */
  configure(limits: HeadLimits): void;
  /** What callers make the process hold. */
  readonly held: HeldByCallers;
  /** Ends the checks of connections. */
  dispose(): void;
}

export interface GatewayServerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly protocol: WireProtocol;
  readonly dispatcher: Dispatcher;
  /** Time until running requests are interrupted, for the log; Infinity before a stop. */
  remainingGraceMs(): number;
  /** Bounds of what all callers can make the process hold. */
  readonly limits: DerivedLimits;
  /** A connection was closed, or not read on, at one of the limits. */
  onClosed(reason: CloseReason): void;
  /** Memory that the bodies of open requests share. */
  readonly bodies: Allowance;
  /** Rate limits of the teams, over all gateways. */
  readonly teamRates: Pick<TeamRates, 'admit'>;
  /** Routes of the newest configuration; undefined before the first one. */
  routes(): RouteTable | undefined;
  onResult(result: CallResult & { readonly route: string; readonly durationMs: number }): void;
}

/** Limit of heads until the first configuration sets one. */
const defaultMaxHeaderBytes = 65_536;

/**
 * Node's parser counts targets, names and values of headers, and refuses a head that reaches its
 * limit; a head of exactly `maxHeaderBytes` must pass.
 */
const parserExcessBytes = 1;

/** Idle timeout of connections until the first configuration sets one. */
const defaultIdleTimeoutMs = 15_000;

/** Retry-After while this process has no configuration, is stopping, or a route has no service. */
const notReadyRetryAfterMs = 300;

/** Fields of the log line of a request that are known before its result. */
interface RequestLogFields {
  route: string;
  team: string;
  version: number;
  rate: RateDecision | undefined;
}

/** True when no target ran the request, and none will. */
const isNotRun = ({ outcome, attempts }: CallResult): boolean =>
  attempts === 0 ||
  (Object.hasOwn(localResponses, outcome) && outcome !== 'failed' && outcome !== 'timed-out');

export function createGatewayServer(options: GatewayServerOptions): GatewayServer {
  const { clock, random, log, protocol, dispatcher, routes, bodies, onResult } = options;
  const starts = createStartQueue(clock);
  const server = createServer({
    maxHeaderSize: defaultMaxHeaderBytes,
    keepAliveTimeout: defaultIdleTimeoutMs,
    noDelay: true,
    // Node.js would answer such requests itself, and read any number of them.
    requireHostHeader: false,
  });
  const connections = limitConnections(server, {
    clock,
    log,
    limits: options.limits,
    maxHeaderBytes: defaultMaxHeaderBytes,
    readResidentBytes: process.memoryUsage.rss,
    rejectHead,
    onClosed: options.onClosed,
  });
  const requests = createActiveRequests(clock, server);
  const refusals = createLineLimit(
    clock,
    log,
    'refused requests ended without a line of their own',
  );
  /** Connections on which a response is the last one; later requests can't be answered there. */
  const closingSockets = new WeakSet<Socket>();
  /** Connections on which bytes arrived that are no request, while a complete one is answered. */
  const unreadableSockets = new WeakSet<Socket>();
  let isClosing = false;
  let isRefusing = false;
  let isInterrupting = false;
  const sources = new Set<CancellationSource>();

  const refuse = (
    response: CallerResponse,
    kind: LocalResponse,
    retryAfterMs?: number,
  ): CallResult => {
    response.sendLocal(kind, retryAfterMs);
    return {
      outcome: kind,
      attempts: 0,
      target: undefined,
      placement: undefined,
      firstByteMs: undefined,
      sentAfterMs: undefined,
      longestPauseMs: 0,
    };
  };

  /** Result of a request whose complete response was not read in full. */
  const toUnread = (result: CallResult): CallResult =>
    result.outcome === 'broken'
      ? result
      : { ...result, outcome: isInterrupting ? 'broken' : 'left' };

  const serve = async (
    req: IncomingMessage,
    res: ServerResponse,
    head: CallerHead,
    response: CallerResponse,
    admitted: AdmittedRequest,
    logFields: RequestLogFields,
  ): Promise<CallResult> => {
    const arrivedAt = clock.now();
    const routeTable = routes();
    if (!routeTable || isRefusing) return refuse(response, 'not-ready', notReadyRetryAfterMs);
    const { configuration } = routeTable;
    logFields.version = configuration.version;
    const admission = routeTable.admit(req.headers.host ?? '', req.url ?? '/', head.credential);
    if (typeof admission === 'string') return refuse(response, admission);
    const { route, team } = admission;
    logFields.route = route.name;
    logFields.team = team?.name ?? '';
    const rate = team && options.teamRates.admit(team, head);
    logFields.rate = rate;
    if (rate?.isAdmitted === false) return refuse(response, 'team-limit', rate.retryAfterMs);
    const timeout = createDeadline(clock, route.timeoutMs);
    const deadline = createDeadline(clock, head.waitMs ?? route.timeoutMs);
    const source = cancelOnClose(req, res, () => response.isFinished);
    sources.add(source);
    res.once('close', () => sources.delete(source));
    if (admitted.wait && !(await admitted.wait))
      return refuse(response, 'not-ready', notReadyRetryAfterMs);
    let body: Buffer | undefined;
    if (!hasNoBody(req)) {
      const { maxBodyBytes: maxBytes } = configuration.limits;
      const buffer = createByteBuffer({ maxBytes, ownBytes: ownBodyBytes, allowance: bodies });
      res.once('close', () => buffer.dispose());
      const read = await readBody(req, buffer);
      if (read === 'no-memory') {
        log.warn(
          { requestId: head.requestId, heldBytes: bodies.heldBytes },
          'request was refused because the bodies of open requests hold the memory',
        );
        return refuse(response, 'overloaded', notReadyRetryAfterMs);
      }
      if (typeof read !== 'string') body = read;
      else if (read === 'too-long') return refuse(response, 'too-large');
      else source.cancel('caller disconnected');
    }
    const service = pickService(route, random);
    if (service === undefined) return refuse(response, 'no-target', notReadyRetryAfterMs);
    const waitedMs = clock.now() - arrivedAt;
    if (waitedMs > route.timeoutMs) return refuse(response, 'body-timeout');
    const call: GatewayCall = {
      head,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      rawHeaders: req.rawHeaders,
      body,
      route,
      team,
      service,
      tightestObjectiveMs: routeTable.tightestObjectiveMs(service),
      deadline,
      timeout,
      response,
      token: source.token,
    };
    const result = await starts.enqueue(() => {
      admitted.begin();
      return dispatcher.dispatch(call);
    });
    if (result.outcome !== 'left' || !isInterrupting) return result;
    if (response.hasStarted) {
      response.abort();
      return { ...result, outcome: 'broken' };
    }
    const outcome = result.attempts > 0 ? 'failed' : 'not-ready';
    response.sendLocal(outcome, notReadyRetryAfterMs);
    return { ...result, outcome };
  };

  const onRequest = (req: IncomingMessage, res: ServerResponse): void => {
    const admitted = connections.admit(req);
    if (!admitted) return;
    const arrivedAt = clock.now();
    const head = protocol.readCaller(req.headers);
    const response = createCallerResponse(res, protocol, head.requestId);
    const request = requests.add(head.requestId, req, res);
    const { socket } = req;
    request.closed.then(
      () => {
        requests.remove(request);
        admitted.end();
        if (unreadableSockets.has(socket) && !requests.isResponding(socket)) socket.end();
      },
      () => undefined,
    );
    const logFields: RequestLogFields = { route: '', team: '', version: -1, rate: undefined };
    if (isClosing) res.shouldKeepAlive = false;
    const isUnanswerable = closingSockets.has(req.socket);
    if (isClosing) closingSockets.add(req.socket);
    res.on('error', (err) => {
      log.debug(
        { requestId: head.requestId, err: errMessage(err) },
        'failed to write the response to the caller',
      );
    });
    const run = (): Promise<CallResult> => {
      if (isUnanswerable) return Promise.resolve(refuse(response, 'not-ready'));
      if (req.headers.host !== undefined || req.httpVersion === '1.0')
        return serve(req, res, head, response, admitted, logFields);
      res.shouldKeepAlive = false;
      connections.stopReading(socket);
      return Promise.resolve(refuse(response, 'no-host'));
    };
    const served = run();
    served
      .then((result) => {
        if (isNotRun(result)) logFields.rate?.refund();
        return result;
      })
      .catch((err: unknown) => {
        log.error({ requestId: head.requestId, err }, 'request failed with an internal error');
        if (response.hasStarted) response.abort();
        else response.sendLocal('failed');
        return refuse(response, 'failed');
      })
      .then(async (answered) => {
        admitted.complete(response.bodyBytes);
        // A complete response may still wait for the caller to read it.
        await request.closed;
        requests.remove(request);
        const result = request.isFlushed ? answered : toUnread(answered);
        const durationMs = clock.now() - arrivedAt;
        const status =
          response.status || (localResponses[result.outcome as LocalResponse]?.status ?? 0);
        const isRefused = result.attempts === 0 && logFields.route === '';
        const line = isRefused ? refusals.pass(result.outcome) : log;
        line?.info(
          {
            requestId: head.requestId,
            route: logFields.route,
            team: logFields.team,
            configuration: logFields.version,
            outcome: result.outcome,
            status,
            target: result.target,
            ...result.placement,
            attempts: result.attempts,
            ...logFields.rate?.logFields,
            firstByteMs: result.firstByteMs && Math.round(result.firstByteMs),
            sentAfterMs: Math.round(result.sentAfterMs ?? 0) || undefined,
            longestPauseMs: Math.round(result.longestPauseMs) || undefined,
            durationMs: Math.round(durationMs),
            promptTokens: head.promptTokens || undefined,
            maxOutputTokens: head.maxOutputTokens || undefined,
            ...(isClosing && {
              stopping: true,
              remainingGraceMs: Math.round(options.remainingGraceMs()),
              sentBytes: request.sentBytes(),
            }),
          },
          'request ended',
        );
        onResult({ ...result, route: logFields.route, durationMs });
      })
      .catch((err: unknown) =>
        log.error({ err: errMessage(err) }, 'failed to record the result of a request'),
      );
  };

  server.on('request', onRequest);
  server.on('connection', (socket) => {
    // Each request adds listeners to its socket, and callers may pipeline many requests.
    socket.setMaxListeners(0);
    starts.recordConnection();
  });
  server.on('clientError', (err: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    // An answer to the unreadable bytes would be taken for the one that the caller waits for.
    if (requests.isResponding(socket) && err.code !== 'ECONNRESET') unreadableSockets.add(socket);
    else onClientError(err, socket);
    connections.stopReading(socket);
  });

  return {
    server,
    get active() {
      return requests.size;
    },
    get flushing() {
      return requests.flushing;
    },
    get connections() {
      return requests.connections;
    },
    summarize: (limit) => requests.summarize(limit),
    closeAfterResponses() {
      isClosing = true;
    },
    refuseNew() {
      isRefusing = true;
      requests.closeIdleConnections();
    },
    interruptAll() {
      isInterrupting = true;
      connections.endTurns();
      const count = requests.size - requests.flushing;
      for (const source of [...sources]) source.cancel('gateway is stopping');
      return count;
    },
    configure(limits) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      // Read by Node.js for each new connection; its types leave it out.
      Object.assign(server, { maxHeaderSize: limits.maxHeaderBytes + parserExcessBytes });
      connections.configure(limits);
    },
    held: connections,
    dispose() {
      refusals.dispose();
      connections.dispose();
    },
  };
}
