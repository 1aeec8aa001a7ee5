import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';

/** How the target treats the next requests. */
export interface TargetBehaviour {
  /** Time until the first byte. */
  readonly firstMs: number;
  /** Events of a stream, and the time between them. */
  readonly events: number;
  readonly gapMs: number;
  readonly fault:
    | 'none'
    /** Rejects requests as not run. */
    | 'full'
    /** Runs the request and answers 500. */
    | 'error'
    /** Runs the request and never answers. */
    | 'mute'
    /** Breaks off after half of the answer. */
    | 'cut'
    /** Answers without a signature. */
    | 'unsigned'
    /** Answers with the id of another request. */
    | 'foreign'
    /** Sends bytes until its connection is closed: heads, an event or a failure without end. */
    | 'endlessHead'
    | 'endlessHeads'
    | 'endlessEvent'
    | 'endlessFailure';
}

/** One request that a target began to work on. */
export interface TargetRun {
  readonly requestId: string;
  readonly headers: IncomingMessage['headers'];
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly startedAt: number;
  /** Set when the connection closed before the answer was complete. */
  isCut: boolean;
}

/** Stand-in for a model engine or a plain service of the platform. */
export interface TargetStandin {
  readonly id: string;
  readonly port: number;
  readonly runs: readonly TargetRun[];
  /** Orders that were accepted. */
  readonly orders: readonly Readonly<Record<string, unknown>>[];
  weights: number;
  behaviour: TargetBehaviour;
  /** Row of the target in the list of targets. */
  entry(service: string, state?: string): Readonly<Record<string, unknown>>;
  close(): Promise<void>;
}

export interface TargetStandinOptions {
  readonly id: string;
  /** Model that an engine serves; a plain service has none. */
  readonly model?: string;
  readonly loadMs?: number;
  /** Changes of its cache that an engine tells. */
  readonly cacheEvents?: readonly unknown[];
  readonly port?: number;
}

const calm: TargetBehaviour = { firstMs: 5, events: 4, gapMs: 5, fault: 'none' };

/** Beginning of the answers that have no end. */
const endless: Readonly<Record<string, readonly string[]>> = {
  endlessHead: ['HTTP/1.1 200 OK', 'X-Filler: '],
  endlessHeads: [],
  endlessEvent: ['HTTP/1.1 200 OK', 'X-Server-Stamp: stamp', '', 'id: 1', 'data: '],
  endlessFailure: ['HTTP/1.1 500 Internal Server Error', 'X-Server-Stamp: stamp', '', ''],
};

const earlyHints = 'HTTP/1.1 103 Early Hints\r\n\r\n';

/** Sends bytes until the other side closes the connection. */
function sendEndlessly(socket: Socket, beginning: readonly string[]): void {
  const filler = Buffer.alloc(65_520, beginning.length > 0 ? 'a' : earlyHints);
  const sendMore = (): void => {
    while (!socket.destroyed && socket.write(filler));
  };
  socket.on('drain', sendMore);
  socket.write(beginning.join('\r\n'));
  sendMore();
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Starts the stand-in on a free port. */
export async function startTargetStandin(options: TargetStandinOptions): Promise<TargetStandin> {
  const { id, model, loadMs = 50 } = options;
  const runs: TargetRun[] = [];
  const orders: Record<string, unknown>[] = [];
  const sockets = new Set<Socket>();
  let behaviour = calm;
  let weights = 1;
  let isBusy = false;

  const json = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { 'Content-Type': 'application/json', 'X-Instance': id });
    res.end(JSON.stringify(body));
  };

  const order = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const body = JSON.parse(await readBody(req)) as Record<string, unknown>;
    if (body['version'] === weights) json(res, 200, {});
    else if (isBusy || body['expectRev'] !== orders.length) json(res, 409, {});
    else {
      orders.push(body);
      isBusy = true;
      json(res, 202, {});
      await pause(loadMs);
      weights = Number(body['version']);
      isBusy = false;
    }
  };

  const report = (res: ServerResponse): void =>
    json(res, 200, {
      stage: 'both',
      models: model ? [{ name: model, version: weights, adapters: [] }] : [],
      busy: isBusy,
      seq: orders.length,
      queued: 0,
      active: 0,
    });

  const stream = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= behaviour.events; event += 1) {
      if (res.destroyed) return;
      if (behaviour.fault === 'cut' && event > behaviour.events / 2) {
        res.write(`id: ${event}\ndata: to`);
        await pause(5);
        req.socket.resetAndDestroy();
        return;
      }
      res.write(`id: ${event}\ndata: token ${event}\n\n`);
      await pause(behaviour.gapMs);
    }
    res.end();
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) return json(res, 421, {});
    const version = req.headers['x-expect-version'];
    if (version !== undefined && Number(version) !== weights) return json(res, 421, {});
    const body = await readBody(req);
    if (behaviour.fault === 'full' || isBusy) {
      res.writeHead(503, { 'X-Not-Run': '1', 'X-Instance': id });
      res.end();
      return undefined;
    }
    const requestId = String(req.headers['x-request-id']);
    const { method = '', url = '' } = req;
    const run: TargetRun = {
      requestId,
      headers: req.headers,
      method,
      path: url,
      body,
      startedAt: performance.now(),
      isCut: false,
    };
    runs.push(run);
    res.on('close', () => {
      run.isCut = !res.writableFinished;
    });
    await pause(behaviour.firstMs);
    if (behaviour.fault === 'mute' || res.destroyed) return undefined;
    const beginning = endless[behaviour.fault];
    if (beginning) return sendEndlessly(req.socket, beginning);
    res.setHeader('X-Request-Id', behaviour.fault === 'foreign' ? 'other' : requestId);
    if (behaviour.fault !== 'unsigned') res.setHeader('X-Server-Stamp', `stamp.${id}`);
    res.setHeader('X-Load', '1,0,8,100');
    if (model) res.setHeader('X-Weight-Versions', String(weights));
    if (behaviour.fault === 'error') {
      res.writeHead(500);
      res.end('failed');
      return undefined;
    }
    if (model) {
      res.setHeader('Content-Type', 'text/event-stream');
      return stream(req, res);
    }
    const answer = `answer of ${id}`;
    res.setHeader('Content-Length', answer.length);
    if (behaviour.fault !== 'cut') res.end(answer);
    else res.write(answer.slice(0, 4), () => req.socket.destroy());
    return undefined;
  };

  const server: Server = createServer((req, res) => {
    const handlers: Readonly<Record<string, () => unknown>> = {
      '/report': () => report(res),
      '/order': () => order(req, res),
      '/health': () => json(res, 200, {}),
      '/kv-events?since=0': () =>
        json(res, 200, { bootEpoch: 1, next: 1, lost: false, events: options.cacheEvents ?? [] }),
    };
    Promise.resolve((handlers[req.url ?? ''] ?? (() => serve(req, res)))()).catch((err: unknown) =>
      res.destroy(err as Error),
    );
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(options.port ?? 0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    id,
    port,
    runs,
    orders,
    get weights() {
      return weights;
    },
    set weights(value) {
      weights = value;
    },
    get behaviour() {
      return behaviour;
    },
    set behaviour(value) {
      behaviour = value;
    },
    entry: (service, state = 'ready') => ({
      service,
      addr: `127.0.0.1:${port}`,
      zone: 'north',
      version: 'v1',
      slots: 8,
      state,
      coldLeftMs: 0,
      seq: 1,
      born: 1_700_000_000_000,
      ...(model ? { models: [{ name: model, version: weights, adapters: [] }] } : {}),
    }),
    async close() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
