import { connect, createServer, type Server, type Socket } from 'node:net';
import { type AddressInfo } from 'node:net';

/** How a link treats its connections. `oneWay` loses what the server sends. */
export type LinkFault = 'none' | 'delay' | 'reset' | 'oneWay' | 'silent';

/** Loopback proxy between a process and a server, with faults that are set from outside. */
export interface FaultyLink {
  readonly port: number;
  fault: LinkFault;
  close(): Promise<void>;
}

/** Delay of bytes on a link with the fault `delay`; several times a usual answer of the stand-ins. */
const delayMs = 40;

/** Starts a link to a port of this machine. */
export async function startLink(targetPort: number): Promise<FaultyLink> {
  const pairs = new Set<readonly [Socket, Socket]>();
  let fault: LinkFault = 'none';

  const pass = (from: Socket, to: Socket, isAnswer: boolean): void => {
    from.on('data', (chunk) => {
      if (fault === 'silent' || (fault === 'oneWay' && isAnswer)) return;
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

  const server: Server = createServer((near) => {
    const far = connect(targetPort, '127.0.0.1');
    const pair = [near, far] as const;
    pairs.add(pair);
    near.on('close', () => pairs.delete(pair));
    pass(near, far, false);
    pass(far, near, true);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  const cutAll = (): void => {
    for (const [near, far] of pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
    pairs.clear();
  };

  return {
    port: (server.address() as AddressInfo).port,
    get fault() {
      return fault;
    },
    set fault(value) {
      // What went silent stays so for good; only new connections work.
      if (value === 'reset' || fault === 'silent') cutAll();
      fault = value === 'reset' ? 'none' : value;
    },
    async close() {
      cutAll();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
