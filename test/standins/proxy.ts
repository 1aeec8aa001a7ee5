import { type AddressInfo, connect, createServer, type Socket } from 'node:net';

/** TCP proxy whose open connections can go silent without closing. */
export interface StandInProxy {
  readonly url: string;
  /** Connections that were opened so far. */
  readonly opened: number;
  /** Open connections pass nothing more in either direction; new ones work. */
  silence(): void;
  close(): Promise<void>;
}

/** Starts a proxy to an address like `http://127.0.0.1:80`. */
export async function startProxy(targetUrl: string): Promise<StandInProxy> {
  const { hostname, port } = new URL(targetUrl);
  const sockets = new Set<Socket>();
  const links = new Set<() => void>();
  let opened = 0;
  const server = createServer((inner) => {
    opened += 1;
    const outer = connect(Number(port), hostname);
    let isSilent = false;
    const pass = (from: Socket, to: Socket): void => {
      from.on('data', (data) => {
        if (!isSilent) to.write(data);
      });
      from.on('close', () => {
        if (!isSilent) to.destroy();
      });
      from.on('error', () => undefined);
      // Without it, small messages wait for delayed acknowledgements and offers time out.
      from.setNoDelay(true);
      sockets.add(from);
    };
    pass(inner, outer);
    pass(outer, inner);
    links.add(() => {
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
      for (const stop of links) stop();
      links.clear();
    },
    close() {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
