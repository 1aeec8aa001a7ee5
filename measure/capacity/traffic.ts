/** Counts the bytes on the TCP sockets of this process, by port. */
import { subscribe } from 'node:diagnostics_channel';
import { type Socket } from 'node:net';

/** Bytes that this process has exchanged over its sockets. */
export interface TrafficCounter {
  /** Bytes in both directions on sockets that use one of the ports, at either end. */
  bytes(ports: ReadonlySet<number>): number;
}

interface CountedSocket {
  readonly socket: Socket;
  ports: readonly number[];
  byteCount: number;
}

/** Starts counting; sockets created earlier are not included. */
export function createTrafficCounter(): TrafficCounter {
  const sockets: CountedSocket[] = [];
  const addSocket = (message: unknown): void => {
    sockets.push({
      socket: (message as { readonly socket: Socket }).socket,
      ports: [],
      byteCount: 0,
    });
  };
  subscribe('net.client.socket', addSocket);
  subscribe('net.server.socket', addSocket);
  return {
    bytes(ports) {
      let sum = 0;
      for (const item of sockets) {
        const { socket } = item;
        // A closed socket no longer reports its ports or byte counts.
        if (socket.localPort !== undefined) item.ports = [socket.localPort, socket.remotePort ?? 0];
        item.byteCount = Math.max(item.byteCount, socket.bytesRead + socket.bytesWritten);
        if (item.ports.some((port) => ports.has(port))) sum += item.byteCount;
      }
      return sum;
    },
  };
}

/** Port of an address such as `http://127.0.0.1:8080`. */
export function portOf(address: string): number {
  return Number(new URL(address).port);
}
