import { createServer, type AddressInfo, type Socket } from 'node:net';
import { model } from './site.js';

/** Bytes of a response that never ends: a beginning and a filler that is repeated. */
interface EndlessResponse {
  /** Status line and header fields that come before the filler; undefined for none. */
  readonly status?: string;
  readonly fields?: readonly string[];
  /** Bytes between the head and the filler. */
  readonly beginning?: string;
  readonly filler: string;
}

const chunked = ['Transfer-Encoding: chunked'];

const stream = [...chunked, 'Content-Type: text/event-stream'];

/** Responses without end by name. */
export const endlessResponses = {
  statusLine: { beginning: 'HTTP/1.1 200 ', filler: 'a' },
  headerFields: { beginning: 'HTTP/1.1 200 OK\r\n', filler: 'X-Filler: a\r\n' },
  headerValue: { beginning: 'HTTP/1.1 200 OK\r\nX-Filler: ', filler: 'a' },
  blankLines: { filler: '\r\n' },
  foreignBytes: { filler: 'a' },
  informational: { filler: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  chunkExtension: { status: '200 OK', fields: chunked, beginning: '1;', filler: 'a' },
  chunkExtensions: {
    status: '200 OK',
    fields: chunked,
    filler: `1;${'a'.repeat(16_000)}\r\na\r\n`,
  },
  chunkSize: { status: '200 OK', fields: chunked, filler: '0' },
  tinyChunks: { status: '200 OK', fields: chunked, filler: '1\r\na\r\n' },
  tinyFailureChunks: { status: '500 Oops', fields: chunked, filler: '1\r\na\r\n' },
  trailers: { status: '200 OK', fields: chunked, beginning: '0\r\n', filler: 'X-Filler: a\r\n' },
  body: { status: '200 OK', filler: 'a' },
  event: { status: '200 OK', fields: stream, beginning: '7\r\ndata: a\r\n', filler: '1\r\na\r\n' },
  eventExtensions: {
    status: '200 OK',
    fields: stream,
    filler: `1;${'a'.repeat(16_000)}\r\na\r\n`,
  },
  failure: { status: '500 Oops', filler: 'a' },
  notRun: { status: '503 Full', fields: ['X-Not-Run: 1'], filler: 'a' },
  misdirected: { status: '421 Misdirected', filler: 'a' },
  afterResponse: {
    status: '200 OK',
    fields: ['Content-Length: 1'],
    beginning: 'a',
    filler: 'HTTP/1.1 200 OK\r\n\r\n',
  },
  switching: {
    status: '101 Switching',
    fields: ['Upgrade: a', 'Connection: upgrade'],
    filler: 'a',
  },
  lowStatus: { status: '099 Low', fields: ['Content-Length: 1'], filler: 'a' },
} as const satisfies Readonly<Record<string, EndlessResponse>>;

export type EndlessName = keyof typeof endlessResponses;

/** Target that answers each call, reports and cache events included, without end. */
export interface EndlessTarget {
  readonly registration: Readonly<Record<string, unknown>>;
  /** Bytes sent on all connections. */
  readonly sentBytes: number;
  /** Connections that the caller has not closed yet. */
  readonly openConnections: number;
  close(): Promise<void>;
}

const fillerBytes = 65_536;

export async function startEndlessTarget(
  service: string,
  name: EndlessName,
  engineModel?: typeof model,
): Promise<EndlessTarget> {
  const { status, fields, beginning, filler }: EndlessResponse = endlessResponses[name];
  const block = Buffer.from(filler.repeat(Math.ceil(fillerBytes / filler.length)));
  const sockets = new Set<Socket>();
  let closedBytes = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    let text = '';
    let isSending = false;
    const sendMore = (): void => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on('close', () => {
      sockets.delete(socket);
      closedBytes += socket.bytesWritten;
    });
    socket.on('error', () => undefined);
    socket.on('drain', sendMore);
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      if (isSending || !text.includes('\r\n\r\n')) return;
      isSending = true;
      const requestId = /^x-request-id: (.*)$/im.exec(text)?.[1]?.trim();
      const lines = [
        `HTTP/1.1 ${status}`,
        ...(requestId ? [`X-Request-Id: ${requestId}`] : []),
        'X-Server-Stamp: s',
        ...(fields ?? []),
        '',
        '',
      ];
      socket.write((status ? lines.join('\r\n') : '') + (beginning ?? ''));
      sendMore();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    get sentBytes() {
      return [...sockets].reduce((sum, { bytesWritten }) => sum + bytesWritten, closedBytes);
    },
    get openConnections() {
      return sockets.size;
    },
    registration: {
      service,
      addr: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      zone: 'north',
      version: 'v1',
      slots: 64,
      state: 'ready',
      coldLeftMs: 0,
      seq: 1,
      born: 1_700_000_000_000,
      ...(engineModel ? { models: [{ name: engineModel, version: 1, adapters: [] }] } : {}),
    },
    async close() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
