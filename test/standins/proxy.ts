import { type AddressInfo, connect, createServer, type Socket } from 'node:net';

/** TCP proxy whose open connections can stop carrying data without being closed. */
export interface StandInProxy {
  readonly url: string;
  /** Number of connections opened so far. */
  readonly opened: number;
  /** Stops data in both directions on the open connections; new connections work. */
  silence(): void;
  close(): Promise<void>;
}

/** Starts a proxy to a URL such as `http://127.0.0.1:80`. */
export async function startProxy(targetUrl: string): Promise<StandInProxy> {
  const { hostname, port } = new URL(targetUrl);
  const sockets = new Set<Socket>();
  const silenceLinks = new Set<() => void>();
  let opened = 0;
  const server = createServer((downstream) => {
    opened += 1;
    const upstream = connect(Number(port), hostname);
    let isSilent = false;
    const forward = (from: Socket, to: Socket): void => {
      from.on('data', (data) => {
        if (!isSilent) to.write(data);
      });
      from.on('close', () => {
        if (!isSilent) to.destroy();
      });
      from.on('error', () => undefined);
      // Nagle's algorithm would delay small messages until an acknowledgement, and offers
      // would time out.
      from.setNoDelay(true);
      sockets.add(from);
    };
    forward(downstream, upstream);
    forward(upstream, downstream);
    silenceLinks.add(() => {
      isSilent = true;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    get opened() {
      return opened;
    },
    silence() {
      for (const silenceLink of silenceLinks) silenceLink();
      silenceLinks.clear();
    },
    close() {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
