import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';
import { connect, type Socket } from 'node:net';
import { type HostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type ResponseWatch, watchResponse } from '../base/responsewatch.js';
import { isCloseDelimited } from './responsecheck.js';

/** Request to a target. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list: name, value, name, value. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/** Callbacks of an exchange, in this order: `onHead`, any number of `onData`, `onEnd`. */
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
export interface Connections extends Disposable {
  /** Milliseconds since the target last sent bytes or accepted a connection. */
  sinceReachableMs(): number;
  start(req: ExchangeRequest, listener: ExchangeListener): Exchange;
  /**
   * Opens a connection and closes it; true when the target accepted it. Shares the result of a probe
   * that is under way.
   */
  probe(): Promise<boolean>;
  /** The same with a connection that is opened after the call. */
  probeAnew(): Promise<boolean>;
}

/**
 * A new connection takes one round trip and 1 ms at the target. After this timeout the host is down
 * or unreachable, or its accept queue is full, and nothing was sent.
 */
const connectTimeoutMs = 300;

/**
 * Idle connections are reused only if bytes were received from the target within this time. A new
 * connection proves that the host is up before the request is sent, and costs less than a health
 * probe.
 */
const reuseWindowMs = 400;

/** Idle time after which a connection is closed; targets close theirs after a few seconds. */
const maxIdleMs = 2_000;

const idleSince = Symbol('idleSince');

interface IdleSocket extends Socket {
  [idleSince]?: number;
}

/** Hooks of Node's Agent that its type declarations lack. */
interface AgentHooks {
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, req: ClientRequest): void;
}

/** Creates an agent that closes idle connections on which unsolicited data arrives. */
function createAgent(clock: Clock): Agent {
  const agent = new Agent({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64 });
  const agentPrototype = Agent.prototype as unknown as AgentHooks;
  const onUnsolicitedData = function onUnasked(this: Socket): void {
    this.destroy();
  };
  const hooks: AgentHooks = {
    keepSocketAlive(socket) {
      if (!agentPrototype.keepSocketAlive.call(agent, socket)) return false;
      const idleSocket: IdleSocket = socket;
      idleSocket[idleSince] = clock.now();
      idleSocket.on('data', onUnsolicitedData);
      return true;
    },
    reuseSocket(socket, req) {
      agentPrototype.reuseSocket.call(agent, socket, req);
      socket.off('data', onUnsolicitedData);
    },
  };
  return Object.assign(agent, hooks);
}

/** Closes connections that have been idle for at least `olderThanMs`. */
function closeIdle(agent: Agent, clock: Clock, olderThanMs: number): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of [...(sockets ?? [])]) {
      const since = (socket as IdleSocket)[idleSince] ?? 0;
      if (clock.now() - since >= olderThanMs) socket.destroy();
    }
  }
}

/**
 * Node reports a reset that arrives together with the last bytes as a normal end of the connection.
 * The operating system has no peer address for a connection that was reset. The address must not be
 * read earlier, because Node caches the first result.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

export function createConnections(
  clock: Clock,
  address: HostPort,
  onConnected: (durationMs: number) => void = () => undefined,
): Connections {
  const agent = createAgent(clock);
  let lastByteAt = -Infinity;
  let lastProbeAt = -Infinity;
  let pendingProbe: Promise<boolean> | undefined;

  const start = (
    { method, path, headers, body }: ExchangeRequest,
    listener: ExchangeListener,
  ): Exchange => {
    const isRecentlyActive = clock.now() - lastByteAt < reuseWindowMs;
    closeIdle(agent, clock, isRecentlyActive ? maxIdleMs : 0);
    let isDone = false;
    let isSent = false;
    let response: IncomingMessage | undefined;
    let timer: Disposable | undefined;
    let watch: ResponseWatch | undefined;
    const req = request({
      agent,
      host: address.host,
      port: address.port,
      method,
      path,
      // A flat list preserves the order and the spelling of the names.
      headers: headers as unknown as Record<string, string>,
    });
    const finish = (): void => {
      isDone = true;
      timer?.dispose();
      watch?.dispose();
    };
    const fail = (err: Error): void => {
      // Bytes after a complete response belong to no request; `onEnd` is still to be called.
      if (isDone || response?.complete) return;
      finish();
      req.destroy();
      listener.onFailure(err, isSent);
    };
    watch = watchResponse(req, fail);
    req.on('socket', (socket) => {
      if (!socket.connecting) {
        isSent = true;
        return;
      }
      const startedAt = clock.now();
      timer = clock.setTimer(connectTimeoutMs, () => fail(new Error('connection timed out')));
      socket.once('connect', () => {
        timer?.dispose();
        onConnected(clock.now() - startedAt);
        isSent = true;
        lastByteAt = clock.now();
        socket.setNoDelay(true);
      });
    });
    // Stays registered for errors after the response, such as bytes that belong to no request.
    req.on('error', fail);
    req.on('response', (res) => {
      response = res;
      lastByteAt = clock.now();
      res.on('data', (chunk: Buffer) => {
        lastByteAt = clock.now();
        if (!isDone) listener.onData(chunk);
      });
      res.on('error', fail);
      if (isCloseDelimited(res)) {
        res.socket.prependOnceListener('end', () => {
          if (isReset(res.socket)) fail(new Error('connection was reset'));
        });
      }
      res.on('end', () => {
        if (!res.complete) fail(new Error('response is incomplete'));
        if (isDone) return;
        finish();
        listener.onEnd();
      });
      if (!isDone) listener.onHead(res, req.reusedSocket);
    });
    req.end(body);
    return {
      get receivedBytes() {
        return watch?.receivedBytes ?? 0;
      },
      abort() {
        if (isDone) return;
        finish();
        req.destroy();
      },
      pause: () => response?.pause(),
      resume: () => response?.resume(),
    };
  };

  const openProbe = (): Promise<boolean> =>
    new Promise((resolve) => {
      const socket = connect(address.port, address.host);
      const finish = (isUp: boolean): void => {
        socket.destroy();
        resolve(isUp);
      };
      const timer = clock.setTimer(connectTimeoutMs, () => finish(false));
      socket.once('connect', () => {
        timer.dispose();
        lastProbeAt = clock.now();
        finish(true);
      });
      // The error does not matter: the target counts as down until a connection succeeds.
      socket.once('error', () => {
        timer.dispose();
        finish(false);
      });
    });

  return {
    sinceReachableMs: () => clock.now() - Math.max(lastByteAt, lastProbeAt),
    start,
    probe() {
      // All requests that wait for one target share a probe.
      pendingProbe ??= openProbe().finally(() => {
        pendingProbe = undefined;
      });
      return pendingProbe;
    },
    probeAnew: openProbe,
    dispose: () => closeIdle(agent, clock, 0),
  };
}
