import { type IncomingMessage, request } from 'node:http';
import { type Socket } from 'node:net';
import { type HostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { createHandlerGuard } from '../base/handlerguard.js';
import { type Disposable } from '../base/lifecycle.js';
import { watchResponseEnd } from '../base/responseend.js';
import { type ResponseWatch, watchResponse } from '../base/responsewatch.js';
import { type ConnectionPool, createConnectionPool } from './connectionpool.js';
import { createProbe, type Probe } from './connectionprobe.js';
import { createIdleConnections, type NextIdle } from './idleconnections.js';
import { evidenceAgeMs, mayReuse, type RequestRisk } from './reuserules.js';

/** Request to a target. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list: name, value, name, value. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** The request may run again at another target; if not, it is sent on safer connections only. */
  readonly isRepeatable?: boolean;
}

/**
 * Callbacks of an exchange, in this order: `onHead`, any number of `onData`, `onEnd`. What one of them
 * throws fails the exchange.
 */
export interface ExchangeListener {
  /** `isReused` is true when an earlier request was sent on the same connection. */
  onHead(res: IncomingMessage, isReused: boolean): void;
  onData(chunk: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  /** The exchange failed. `isSent` is false when no byte of the request left this process. */
  onFailure(err: Error, isSent: boolean): void;
}

/** One request to a target and its response. */
export interface Exchange {
  /** Bytes received so far, including heads and framing. */
  readonly receivedBytes: number;
  /** Closes the connection; no further callbacks follow. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Connections to one target. */
export interface Connections extends Probe, Disposable {
  /**
   * Milliseconds since the target last sent bytes to this process or another gateway, or accepted a
   * connection. Contacts of others count only if this process has not tried for a short time.
   */
  sinceReachableMs(): number;
  /**
   * Clock time at which the target last sent bytes to this process, or accepted a connection;
   * -Infinity if never.
   */
  readonly heardAt: number;
  /** Clock time at which the target last sent bytes to another gateway; -Infinity if unknown. */
  readonly reportedAt: number;
  /** Records that the target sent bytes to another gateway at this clock time. */
  observeReport(heardAt: number): void;
  /** Records that another target has the address, so that its bytes are no contact with this one. */
  observeReplaced(): void;
  /** A request that is sent now would get a connection that is open already. */
  hasReusable(isRepeatable: boolean): boolean;
  start(req: ExchangeRequest, listener: ExchangeListener): Exchange;
}

export interface ConnectionsOptions {
  /** State that the connections to all targets share; own state if absent. */
  readonly pool?: ConnectionPool;
  readonly dataCentre?: string;
  readonly service?: string;
  /** Called with the time that a new connection took. */
  onConnected?(durationMs: number): void;
}

/**
 * A new connection takes one round trip and 1 ms at the target. After this timeout the host is down
 * or unreachable, or its accept queue is full, and nothing was sent.
 */
const connectTimeoutMs = 300;

/**
 * Idle connections are closed when no gateway has heard from the target for longer than this. Its
 * host may have been lost, after which they would hang without an error.
 */
const maxQuietMs = 3_000;

/**
 * Age of the last own contact up to which contacts of other gateways replace a probe. This process
 * alone may be cut off from the target, which only a probe of its own finds.
 */
const maxOwnContactMs = 1_000;

/**
 * Time without a byte after which a request on a reused connection counts as silent. Meanwhile only
 * own contacts prove that the target is up: the connection may be dead although new ones work.
 */
const silentReuseMs = 1_000;

/**
 * A request on a reused connection that ends without a byte after this time is a sign of a dead
 * connection; callers that leave earlier are none. The same time as that before a connection test.
 */
const minSilenceMs = 300;

/** For this long after such a sign, only own contacts with the target count. */
const suspicionMs = 5_000;

export function createConnections(
  clock: Clock,
  address: HostPort,
  options: ConnectionsOptions = {},
): Connections {
  const { dataCentre = '', service = '', pool = createConnectionPool(clock) } = options;
  const idle = createIdleConnections({ clock, pool, maxConnections: () => pool.share(service) });
  const { agent } = idle;
  let lastByteAt = -Infinity;
  let lastProbeAt = -Infinity;
  let reportedAt = -Infinity;
  let suspectUntil = -Infinity;
  let isReplaced = false;
  /** When requests were sent on reused connections on which no byte has arrived since. */
  const unansweredReuses = new Set<{ readonly sentAt: number }>();

  const observeBytes = (): void => {
    lastByteAt = clock.now();
    pool.observeContact(dataCentre);
  };

  const isSuspect = (): boolean => {
    const now = clock.now();
    if (isReplaced || now < suspectUntil) return true;
    for (const { sentAt } of unansweredReuses) if (now - sentAt > silentReuseMs) return true;
    return false;
  };

  const contacts = () => ({
    ownContactMs: clock.now() - lastByteAt,
    fleetContactMs: clock.now() - reportedAt,
    pathContactMs: pool.sinceContactMs(dataCentre),
    isSuspect: isSuspect(),
  });

  const isReusable = (next: NextIdle, risk: RequestRisk): boolean => {
    const known = {
      closedAfterMs: idle.closedAfterMs(),
      workedAfterMs: pool.workedAfterMs(service),
    };
    return mayReuse({ ...contacts(), ...next, ...known }, risk);
  };

  const findReusable = (isRepeatable: boolean): NextIdle | undefined => {
    const next = idle.next();
    return next && isReusable(next, isRepeatable ? 'repeatable' : 'once') ? next : undefined;
  };

  /** Closes the connections that are as old as the one that failed or went silent. */
  const suspect = (sentAt: number): void => {
    suspectUntil = clock.now() + suspicionMs;
    idle.close(clock.now() - sentAt);
  };

  const start = (
    { method, path, headers, body, isRepeatable = false }: ExchangeRequest,
    listener: ExchangeListener,
  ): Exchange => {
    if (Math.min(clock.now() - lastByteAt, clock.now() - reportedAt) > maxQuietMs) idle.close(0);
    const reused = findReusable(isRepeatable);
    if (!reused) idle.makeRoom();
    pool.record(reused ? 'reused' : 'opened');
    const startedAt = clock.now();
    const unanswered = { sentAt: startedAt };
    if (reused) unansweredReuses.add(unanswered);
    let isDone = false;
    let isAborted = false;
    let isSent = false;
    let response: IncomingMessage | undefined;
    let timer: Disposable | undefined;
    let watch: ResponseWatch | undefined;
    const open = () =>
      request({
        agent,
        host: address.host,
        port: address.port,
        method,
        path,
        // A flat list preserves the order and the spelling of the names.
        headers: headers as unknown as Record<string, string>,
      });
    const req = reused ? open() : idle.withoutIdle(open);
    const hasNoByte = (): boolean => response === undefined && (watch?.receivedBytes ?? 0) === 0;
    const finish = (): void => {
      isDone = true;
      unansweredReuses.delete(unanswered);
      timer?.dispose();
      watch?.dispose();
    };
    const fail = (err: Error): void => {
      // Bytes after a complete response belong to no request; `onEnd` is still to be called.
      if (isDone || response?.complete) return;
      if (reused && hasNoByte()) {
        pool.record('lost');
        suspect(startedAt);
      }
      finish();
      req.destroy();
      listener.onFailure(err, isSent);
    };
    const guard = createHandlerGuard((err) => {
      if (isAborted) return;
      finish();
      req.destroy();
      listener.onFailure(err, isSent);
    });
    watch = watchResponse(req, fail);
    const onConnect = (socket: Socket): void => {
      timer?.dispose();
      options.onConnected?.(clock.now() - startedAt);
      isSent = true;
      observeBytes();
      socket.setNoDelay(true);
    };
    const onSocket = (socket: Socket): void => {
      if (!socket.connecting) {
        isSent = true;
        return;
      }
      timer = clock.setTimer(connectTimeoutMs, () => fail(new Error('connection timed out')));
      socket.once(
        'connect',
        guard(() => onConnect(socket)),
      );
    };
    const onData = (chunk: Buffer): void => {
      observeBytes();
      if (!isDone) listener.onData(chunk);
    };
    const onEnd = (res: IncomingMessage): void => {
      if (!res.complete) fail(new Error('response is incomplete'));
      if (isDone) return;
      finish();
      listener.onEnd();
    };
    const onResponse = (res: IncomingMessage): void => {
      response = res;
      unansweredReuses.delete(unanswered);
      if (reused) pool.observeReuse(service, reused.idleMs);
      observeBytes();
      idle.observeResponse(res);
      res.on('data', guard(onData));
      res.on('error', guard(fail));
      watchResponseEnd(req, res, fail);
      res.on(
        'end',
        guard(() => onEnd(res)),
      );
      if (!isDone) listener.onHead(res, req.reusedSocket);
    };
    req.on('socket', guard(onSocket));
    // Stays registered for errors after the response, such as bytes that belong to no request.
    req.on('error', guard(fail));
    req.on('response', guard(onResponse));
    req.end(body);
    return {
      get receivedBytes() {
        return watch?.receivedBytes ?? 0;
      },
      abort() {
        isAborted = true;
        if (isDone) return;
        if (reused && hasNoByte() && clock.now() - startedAt >= minSilenceMs) {
          pool.record('lost');
          suspect(startedAt);
        }
        finish();
        req.destroy();
      },
      pause: () => response?.pause(),
      resume: () => response?.resume(),
    };
  };

  const probe = createProbe({
    clock,
    address,
    timeoutMs: connectTimeoutMs,
    onProbe: () => pool.record('probed'),
    onConnected() {
      lastProbeAt = clock.now();
      pool.observeContact(dataCentre);
    },
  });

  return {
    sinceReachableMs() {
      const ownContactMs = clock.now() - Math.max(lastByteAt, lastProbeAt);
      if (ownContactMs > maxOwnContactMs) return ownContactMs;
      return evidenceAgeMs({ ...contacts(), ownContactMs });
    },
    get heardAt() {
      return isReplaced ? -Infinity : Math.max(lastByteAt, lastProbeAt);
    },
    get reportedAt() {
      return reportedAt;
    },
    observeReport(heardAt) {
      reportedAt = Math.max(reportedAt, Math.min(heardAt, clock.now()));
    },
    observeReplaced() {
      isReplaced = true;
      idle.close(0);
    },
    hasReusable: (isRepeatable) => findReusable(isRepeatable) !== undefined,
    start,
    ...probe,
    dispose: () => idle.close(0),
  };
}
