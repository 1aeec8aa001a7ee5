import { createServer, type AddressInfo, type Socket } from 'node:net';

/** One request that the target read. */
export interface RawRequest {
  readonly requestId: string;
  readonly lastEventId: string | undefined;
  /** Number of earlier requests on the same connection. */
  readonly indexOnConnection: number;
}

/** Target that writes whatever bytes a test asks for. */
export interface RawTarget {
  readonly requests: readonly RawRequest[];
  readonly registration: Readonly<Record<string, unknown>>;
  close(): Promise<void>;
}

const headerOf = (head: string, name: string): string | undefined =>
  new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim();

/**
 * Starts a target; `respond` writes the response to each request that has arrived in full, or whose head
 * has arrived if the target does not read bodies.
 */
export async function startRawTarget(
  service: string,
  respond: (socket: Socket, req: RawRequest) => void,
  model?: string,
  readsBodies = true,
): Promise<RawTarget> {
  const requests: RawRequest[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    let indexOnConnection = 0;
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const headEnd = text.indexOf('\r\n\r\n') + 4;
      const bodyLength = Number(headerOf(text, 'content-length') ?? 0);
      if (headEnd < 4 || (readsBodies && text.length < headEnd + bodyLength)) return;
      if (bodyLength > 0 && !readsBodies) socket.pause();
      const req: RawRequest = {
        requestId: headerOf(text, 'x-request-id') ?? '',
        lastEventId: headerOf(text, 'last-event-id'),
        indexOnConnection,
      };
      text = '';
      // Reports and cache events, which gateways also ask for.
      if (req.requestId === '') {
        socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
        return;
      }
      indexOnConnection += 1;
      requests.push(req);
      respond(socket, req);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    requests,
    registration: {
      service,
      addr: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      zone: 'north',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      seq: 1,
      born: 1_700_000_000_000,
      ...(model ? { models: [{ name: model, version: 1, adapters: [] }] } : {}),
    },
    async close() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
