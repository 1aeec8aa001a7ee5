import { Agent, type IncomingMessage } from 'node:http';
import { type Socket } from 'node:net';
import { type Clock } from '../base/clock.js';
import { type AgentHooks, closeUnasked } from '../base/unaskedbytes.js';
import { type ConnectionPool, type IdleConnection } from './connectionpool.js';
import { idleLimitMs, readKeepAliveMs } from './reuserules.js';

/** Idle connection that the next request would be sent on. */
export interface NextIdle {
  readonly idleMs: number;
  readonly statedTimeoutMs: number | undefined;
}

/** Keep-alive connections to one target. */
export interface IdleConnections {
  readonly agent: Agent;
  /** The connection that was used last; undefined when none is idle. */
  next(): NextIdle | undefined;
  /** See `ReuseFacts`. */
  closedAfterMs(): number;
  /** Records the timeout that a response states for its connection. */
  observeResponse(res: IncomingMessage): void;
  /** Closes connections that have been idle for at least this time, in milliseconds. */
  close(idleMs: number): void;
  /** Closes idle connections until one more fits into this process's share. */
  makeRoom(): void;
  /** Runs `open` so that a request that it creates gets a new connection; idle ones are kept. */
  withoutIdle<T>(open: () => T): T;
}

export interface IdleConnectionsOptions {
  readonly clock: Clock;
  readonly pool: ConnectionPool;
  /** Connections, in use and idle, that this process may keep to the target. */
  maxConnections(): number;
}

/** Most idle connections to one target; more are left over only after a burst. */
const maxIdlePerTarget = 32;

/**
 * A connection that the target closed after a shorter idle time was closed for another reason, for
 * example because the target ended.
 */
const minClosedAfterMs = 1_000;

/** For this long an observed idle timeout is kept; a target may be configured anew meanwhile. */
const closedAfterMaxAgeMs = 60_000;

const stateKey = Symbol('idleState');

interface IdleState extends IdleConnection {
  readonly since: number;
  readonly end: () => void;
}

interface TargetSocket extends Socket {
  [stateKey]?: IdleState | undefined;
}

type SocketLists = NodeJS.ReadOnlyDict<Socket[]>;

function listSockets(lists: SocketLists): readonly TargetSocket[] {
  return Object.values(lists).flatMap((sockets) => sockets ?? []);
}

export function createIdleConnections(options: IdleConnectionsOptions): IdleConnections {
  const { clock, pool, maxConnections } = options;
  const agent = new Agent({
    keepAlive: true,
    scheduling: 'lifo',
    maxFreeSockets: maxIdlePerTarget,
  });
  const agentPrototype = Agent.prototype as unknown as AgentHooks;
  const timeouts = new WeakMap<Socket, number>();
  let shortestMs = Infinity;
  let shortestAt = -Infinity;

  const closedAfterMs = (): number =>
    clock.now() - shortestAt < closedAfterMaxAgeMs ? shortestMs : Infinity;

  const statedTimeoutMs = (socket: Socket): number | undefined => timeouts.get(socket);

  /** Removes the listeners of an idle connection, which is closed or reused. */
  const leaveIdle = (socket: TargetSocket): IdleState | undefined => {
    const state = socket[stateKey];
    if (!state) return undefined;
    socket[stateKey] = undefined;
    socket.off('data', closeUnasked);
    socket.off('end', state.end);
    socket.off('error', state.end);
    socket.off('close', state.end);
    pool.delete(state);
    return state;
  };

  const observeClose = (socket: TargetSocket): void => {
    const state = leaveIdle(socket);
    if (!state) return;
    const idleMs = clock.now() - state.since;
    if (idleMs < minClosedAfterMs) return;
    shortestMs = Math.min(idleMs, closedAfterMs());
    shortestAt = clock.now();
  };

  const destroy = (socket: TargetSocket): void => {
    leaveIdle(socket);
    socket.destroy();
  };

  const enterIdle = (socket: TargetSocket): void => {
    const since = clock.now();
    const known = { statedTimeoutMs: statedTimeoutMs(socket), workedAfterMs: 0 };
    const limitMs = idleLimitMs({ ...known, closedAfterMs: closedAfterMs() }, 'repeatable');
    const state: IdleState = {
      since,
      expiresAt: since + limitMs,
      close: () => destroy(socket),
      end: () => observeClose(socket),
    };
    socket[stateKey] = state;
    // Bytes that belong to no request.
    socket.on('data', closeUnasked);
    socket.on('end', state.end);
    socket.on('error', state.end);
    socket.on('close', state.end);
    pool.add(state);
  };

  const connectionCount = (): number =>
    listSockets(agent.sockets).length + listSockets(agent.freeSockets).length;

  const hooks: AgentHooks = {
    keepSocketAlive(socket) {
      // The agent still counts the connection among those in use.
      if (connectionCount() > maxConnections()) return false;
      if (!agentPrototype.keepSocketAlive.call(agent, socket)) return false;
      enterIdle(socket);
      return true;
    },
    reuseSocket(socket, req) {
      agentPrototype.reuseSocket.call(agent, socket, req);
      leaveIdle(socket);
    },
  };
  Object.assign(agent, hooks);

  return {
    agent,
    closedAfterMs,
    next() {
      // The agent itself skips closed connections only at the front of its list.
      for (const sockets of Object.values(agent.freeSockets)) {
        const open = sockets?.filter(({ destroyed }) => !destroyed) ?? [];
        sockets?.splice(0, sockets.length, ...open);
      }
      const socket = listSockets(agent.freeSockets).at(-1);
      if (!socket) return undefined;
      const idleMs = clock.now() - (socket[stateKey]?.since ?? -Infinity);
      return { idleMs, statedTimeoutMs: statedTimeoutMs(socket) };
    },
    observeResponse(res) {
      const timeoutMs = readKeepAliveMs(res.headers['keep-alive']?.toString());
      if (timeoutMs === undefined) timeouts.delete(res.socket);
      else timeouts.set(res.socket, timeoutMs);
    },
    close(idleMs) {
      for (const socket of listSockets(agent.freeSockets)) {
        const since = socket[stateKey]?.since ?? -Infinity;
        if (clock.now() - since >= idleMs) destroy(socket);
      }
    },
    makeRoom() {
      let excess = connectionCount() + 1 - maxConnections();
      for (const socket of listSockets(agent.freeSockets)) {
        if (excess <= 0) return;
        destroy(socket);
        excess -= 1;
      }
    },
    withoutIdle(open) {
      const { freeSockets } = agent;
      // The agent takes an idle connection, if there is one, while the request is created.
      Object.assign(agent, { freeSockets: Object.create(null) as SocketLists });
      try {
        return open();
      } finally {
        Object.assign(agent, { freeSockets });
      }
    },
  };
}
