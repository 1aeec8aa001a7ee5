import { type Agent, type ClientRequest } from 'node:http';
import { type Socket } from 'node:net';

/** Hooks of Node's Agent that its type declarations lack. */
export interface AgentHooks {
  /** Called when a connection becomes idle; it is closed when the result is false. */
  keepSocketAlive(socket: Socket): boolean;
  /** Called when an idle connection gets a request. */
  reuseSocket(socket: Socket, req: ClientRequest): void;
}

/** Closes its connection; a listener for bytes that belong to no request. */
export function closeUnasked(this: Socket): void {
  this.destroy();
}

/**
 * Makes an agent close idle connections on which bytes arrive. Without a listener they are read and
 * dropped for as long as the server sends them, and the next request gets the rest as its response.
 */
export function closeOnUnaskedBytes(agent: Agent): void {
  const original = Object.getPrototypeOf(agent) as AgentHooks;
  const hooks: AgentHooks = {
    keepSocketAlive(socket) {
      const isKept = original.keepSocketAlive.call(agent, socket);
      if (isKept) socket.on('data', closeUnasked);
      return isKept;
    },
    reuseSocket(socket, req) {
      original.reuseSocket.call(agent, socket, req);
      socket.off('data', closeUnasked);
    },
  };
  Object.assign(agent, hooks);
}
