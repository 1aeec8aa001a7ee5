import { type AddressInfo, connect, createServer, type Socket } from 'node:net';

/** TCP proxy whose open connections can stop carrying data without being closed. */
export interface SilentProxy {
  readonly address: string;
  /** Stops all data on the open connections without closing them; new connections work. */
  silence(): void;
  close(): Promise<void>;
}

interface Link {
  readonly sockets: readonly [Socket, Socket];
  silent: boolean;
}

/** Starts a loopback proxy to a host and port. */
export async function startSilentProxy(host: string, port: number): Promise<SilentProxy> {
  const links = new Set<Link>();

  const server = createServer((downstream) => {
    const upstream = connect(port, host);
    const link: Link = { sockets: [downstream, upstream], silent: false };
    links.add(link);
    const forward = (from: Socket, to: Socket): void => {
      from.setNoDelay(true);
      from.on('data', (data) => {
        if (!link.silent) to.write(data);
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        // A silent connection doesn't forward the close of the other end, either.
        if (!link.silent) to.destroy();
        if (link.sockets.every((socket) => socket.destroyed)) links.delete(link);
      });
    };
    forward(downstream, upstream);
    forward(upstream, downstream);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silence() {
      for (const link of links) link.silent = true;
    },
    close() {
      for (const { sockets } of links) for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
