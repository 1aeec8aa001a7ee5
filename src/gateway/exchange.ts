import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';
import { connect, type Socket } from 'node:net';
import { type HostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';

/** What is sent to a target. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/** What a caller of an exchange learns, in this order: `onHead`, `onData` any times, `onEnd`. */
export interface ExchangeListener {
  onHead(res: IncomingMessage): void;
  onData(chunk: Buffer): void;
  /** The answer is complete. */
  onEnd(): void;
  /** The exchange broke. `isSent` is false when no byte of the request left this process. */
  onFailure(err: Error, isSent: boolean): void;
}

/** One request to a target and its answer. */
export interface Exchange {
  /** Closes the connection; the listener hears nothing more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Connections to one target. */
export interface Connections extends Disposable {
  /** Time since bytes last came from the target, in milliseconds. */
  sinceLastByteMs(): number;
  start(req: ExchangeRequest, listener: ExchangeListener): Exchange;
  /** Opens a connection and closes it; true when the target accepted it. */
  probe(): Promise<boolean>;
}

/**
 * A new connection takes a round trip and the target's 1 ms. Above this the host is down or cut
 * off, or its queue of new connections is full, and nothing was sent.
 */
const connectTimeoutMs = 300;

/**
 * A kept connection is used again only while the target was heard this lately. A new connection
 * proves that the host is up before the request leaves, and costs less than a health probe.
 */
const reuseWindowMs = 400;

/** Informational heads before an answer; more are no answer. Targets send none in the usual case. */
const maxInformationalResponses = 16;

/** Idle time after which a kept connection is closed; targets close theirs after a few seconds. */
const maxIdleMs = 2_000;

const idleSince = Symbol('idleSince');

interface IdleSocket extends Socket {
  [idleSince]?: number;
}

/** Hooks of Node's Agent that its types leave out. */
interface AgentHooks {
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, req: ClientRequest): void;
}

/** Agent that closes kept connections on which something unasked arrives. */
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

/** Closes idle connections that are older than the limit. */
function closeIdle(agent: Agent, clock: Clock, olderThanMs: number): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of [...(sockets ?? [])]) {
      const since = (socket as IdleSocket)[idleSince] ?? 0;
      if (clock.now() - since >= olderThanMs) socket.destroy();
    }
  }
}

/** An answer without a length ends with its connection. */
function isCloseDelimited({ headers }: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  return length === undefined && coding === undefined;
}

/**
 * A reset that comes together with the last bytes is reported as a plain end of the connection. The
 * system no longer knows the peer of a connection that was reset; nothing may have asked for the
 * peer's address before, because Node keeps the first reply.
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
    let informationalResponses = 0;
    const req = request({
      agent,
      host: address.host,
      port: address.port,
      method,
      path,
      // A flat list keeps the order and the spelling of the names.
      headers: headers as unknown as Record<string, string>,
    });
    const finish = (): void => {
      isDone = true;
      timer?.dispose();
    };
    const fail = (err: Error): void => {
      // Bytes behind a complete answer belong to no request; its end is still to be reported.
      if (isDone || response?.complete) return;
      finish();
      req.destroy();
      listener.onFailure(err, isSent);
    };
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
    // Also stays for errors after the answer, such as bytes that belong to no request.
    req.on('error', fail);
    req.on('information', () => {
      informationalResponses += 1;
      if (informationalResponses > maxInformationalResponses)
        fail(new Error('answer has no final head'));
    });
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
        if (!res.complete) fail(new Error('answer is incomplete'));
        if (isDone) return;
        finish();
        listener.onEnd();
      });
      if (!isDone) listener.onHead(res);
    });
    req.end(body);
    return {
      abort() {
        if (isDone) return;
        finish();
        req.destroy();
      },
      pause: () => response?.pause(),
      resume: () => response?.resume(),
    };
  };

  const probe = (): Promise<boolean> =>
    new Promise((resolve) => {
      const socket = connect(address.port, address.host);
      const finish = (isUp: boolean): void => {
        socket.destroy();
        resolve(isUp);
      };
      const timer = clock.setTimer(connectTimeoutMs, () => finish(false));
      socket.once('connect', () => {
        timer.dispose();
        finish(true);
      });
      // The reason does not matter: the target stays down until a connection succeeds.
      socket.once('error', () => {
        timer.dispose();
        finish(false);
      });
    });

  return {
    sinceLastByteMs: () => clock.now() - lastByteAt,
    start,
    probe,
    dispose: () => closeIdle(agent, clock, 0),
  };
}
