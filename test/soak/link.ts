import { connect, createServer, type Server, type Socket } from 'node:net';
import { type AddressInfo } from 'node:net';

/** Faults of a link. `oneWay` drops the data that the server sends. */
export type LinkFault = 'none' | 'delay' | 'reset' | 'oneWay' | 'silent';

/** Loopback proxy between a process and a server, with fault injection. */
export interface FaultyLink {
  readonly port: number;
  fault: LinkFault;
  close(): Promise<void>;
}

/** Delay of data with the fault `delay`; several times a usual response time of the stand-ins. */
const delayMs = 40;

/** Starts a link to a loopback port. */
export async function startLink(targetPort: number): Promise<FaultyLink> {
  const links = new Set<readonly [Socket, Socket]>();
  let fault: LinkFault = 'none';

  const forward = (from: Socket, to: Socket, isResponse: boolean): void => {
    from.on('data', (chunk) => {
      if (fault === 'silent' || (fault === 'oneWay' && isResponse)) return;
      if (fault === 'delay') setTimeout(() => to.writable && to.write(chunk), delayMs);
      else to.write(chunk);
    });
    from.on('end', () => {
      if (fault !== 'silent') to.end();
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      if (fault !== 'silent') to.destroy();
    });
  };

  const server: Server = createServer((downstream) => {
    const upstream = connect(targetPort, '127.0.0.1');
    const link = [downstream, upstream] as const;
    links.add(link);
    downstream.on('close', () => links.delete(link));
    forward(downstream, upstream, false);
    forward(upstream, downstream, true);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  const resetAll = (): void => {
    for (const [downstream, upstream] of links) {
      downstream.resetAndDestroy();
      upstream.resetAndDestroy();
    }
    links.clear();
  };

  return {
    port: (server.address() as AddressInfo).port,
    get fault() {
      return fault;
    },
    set fault(value) {
      // Connections that have lost data can't be used again, so they are reset.
      if (value === 'reset' || fault === 'silent' || fault === 'oneWay') resetAll();
      fault = value === 'reset' ? 'none' : value;
    },
    async close() {
      resetAll();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
