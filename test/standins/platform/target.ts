import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';
import { createActiveRuns } from './activeruns.js';

/** How the target handles the next requests. */
export interface TargetBehaviour {
  /** Time until the first byte. */
  readonly firstByteMs: number;
  /** Number of events of a stream, and the time between them. */
  readonly events: number;
  readonly gapMs: number;
  /** Pause of a stream before one of its events, for example after a preemption. */
  readonly pause?: { readonly beforeEvent: number; readonly durationMs: number };
  /** Works on a stream to its end when the connection closes, as some engines do. */
  readonly keepsWorking?: boolean;
  /** Leaves orders to stop a run unanswered. */
  readonly ignoresStops?: boolean;
  /** False when there was no room for copies, so no stream can go on from one here. */
  readonly hasCopies?: boolean;
  /** Least length of the answer of a plain service. */
  readonly answerBytes?: number;
  /** Crashes when it begins to write an answer to a prompt with this part; it is back later. */
  readonly deadlyPart?: string;
  /** Crashes when it begins to run a request for this path; it is back later. */
  readonly deadlyPath?: string;
  /** Headers that are added to each response, rejections included. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly fault:
    | 'none'
    /** Rejects requests and marks them as not run. */
    | 'full'
    /** Runs the request and responds with status 500. */
    | 'error'
    /** Runs the request and never sends a response. */
    | 'mute'
    /** Closes the connection in the middle of the response. */
    | 'cut'
    /** Runs the request and responds with status 503 as if it had not. */
    | 'falseRefusal'
    /** Sends bytes that are no chunk in the middle of a stream, and works on. */
    | 'garble'
    /** Sends a response without a signature. */
    | 'unsigned'
    /** Sends a response with the id of another request. */
    | 'foreign'
    /** Sends an endless header, endless interim responses, an endless event or error body. */
    | 'endlessHead'
    | 'endlessHeads'
    | 'endlessEvent'
    | 'endlessFailure';
}

/** One request that a target started to run. */
export interface TargetRun {
  readonly requestId: string;
  readonly headers: IncomingMessage['headers'];
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly startedAt: number;
  /** Set when the connection was closed before the response was complete. */
  isInterrupted: boolean;
  /** Set once the target no longer works on a stream. */
  endedAt?: number;
}

/** One request that reached a target, whether it ran or not. */
export interface TargetArrival {
  readonly requestId: string;
  readonly at: number;
}

/** Stand-in for a model engine or a plain service of the platform. */
export interface TargetStandin {
  readonly id: string;
  readonly port: number;
  readonly runs: readonly TargetRun[];
  /** Requests that reached the target, without those for another target. */
  readonly arrivals: readonly TargetArrival[];
  /** Orders that were accepted. */
  readonly orders: readonly Readonly<Record<string, unknown>>[];
  /** Times at which the target crashed. */
  readonly crashes: readonly number[];
  weights: number;
  behaviour: TargetBehaviour;
  /** Closes all connections and accepts none for `restartMs`. */
  crash(): void;
  /** Registration of the target as stored in the table of targets. */
  registration(service: string, state?: string): Readonly<Record<string, unknown>>;
  close(): Promise<void>;
}

export interface TargetStandinOptions {
  readonly id: string;
  /** Model that an engine serves; absent for a plain service. */
  readonly model?: string;
  readonly loadMs?: number;
  /** Time that the target is down after a crash. */
  readonly restartMs?: number;
  /** Cache events that the engine reports. */
  readonly cacheEvents?: readonly unknown[];
  readonly port?: number;
}

const defaultBehaviour: TargetBehaviour = { firstByteMs: 5, events: 4, gapMs: 5, fault: 'none' };

/** Start of each endless response. */
const endlessResponses: Readonly<Record<string, readonly string[]>> = {
  endlessHead: ['HTTP/1.1 200 OK', 'X-Filler: '],
  endlessHeads: [],
  endlessEvent: ['HTTP/1.1 200 OK', 'X-Server-Stamp: stamp', '', 'id: 1', 'data: '],
  endlessFailure: ['HTTP/1.1 500 Internal Server Error', 'X-Server-Stamp: stamp', '', ''],
};

const earlyHints = 'HTTP/1.1 103 Early Hints\r\n\r\n';

/** Sends bytes until the peer closes the connection. */
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
  const { id, model, loadMs = 50, restartMs = 500 } = options;
  const runs: TargetRun[] = [];
  const arrivals: TargetArrival[] = [];
  const crashes: number[] = [];
  const orders: Record<string, unknown>[] = [];
  const sockets = new Set<Socket>();
  const active = createActiveRuns();
  let behaviour = defaultBehaviour;
  let weights = 1;
  let isBusy = false;
  let isClosed = false;
  const listener: { server?: Server } = {};

  const crash = (): void => {
    const { server: crashed } = listener;
    if (!crashed?.listening) return;
    crashes.push(performance.now());
    const { port: crashedPort } = crashed.address() as AddressInfo;
    crashed.close();
    for (const socket of sockets) socket.resetAndDestroy();
    setTimeout(() => {
      if (!isClosed) crashed.listen(crashedPort, '127.0.0.1');
    }, restartMs);
  };

  const hasDeadlyPart = (req: IncomingMessage): boolean =>
    behaviour.deadlyPart !== undefined &&
    String(req.headers['x-prompt-prefix']).includes(`${behaviour.deadlyPart}:`);

  const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { 'Content-Type': 'application/json', 'X-Instance': id });
    res.end(JSON.stringify(body));
  };

  const handleOrder = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const body = JSON.parse(await readBody(req)) as Record<string, unknown>;
    if (body['version'] === weights) sendJson(res, 200, {});
    else if (isBusy || body['expectRev'] !== orders.length) sendJson(res, 409, {});
    else {
      orders.push(body);
      isBusy = true;
      sendJson(res, 202, {});
      await pause(loadMs);
      weights = Number(body['version']);
      isBusy = false;
    }
  };

  const sendReport = (res: ServerResponse): void =>
    sendJson(res, 200, {
      stage: 'both',
      models: model ? [{ name: model, version: weights, adapters: [] }] : [],
      busy: isBusy,
      seq: orders.length,
      queued: 0,
      active: active.ids.length,
      runs: active.ids.map((requestId) => [requestId, 100, 1, 1]),
    });

  /** Stops a run and sends its memory to another engine. */
  const handleMove = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const { id: requestId } = JSON.parse(await readBody(req)) as { readonly id: string };
    if (behaviour.ignoresStops) return;
    if (active.stop(requestId)) sendJson(res, 200, { handle: `h-${requestId}`, createRev: 1 });
    else sendJson(res, 404, {});
  };

  const sendEvents = async (
    req: IncomingMessage,
    res: ServerResponse,
    isStopped: () => boolean,
  ): Promise<void> => {
    const firstEvent = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let event = firstEvent; event <= behaviour.events; event += 1) {
      if (event === behaviour.pause?.beforeEvent) await pause(behaviour.pause.durationMs);
      if (isStopped() || (res.destroyed && !behaviour.keepsWorking)) return;
      if (behaviour.fault === 'garble' && event === behaviour.events / 2)
        req.socket.write('zz not a chunk\r\n');
      if (behaviour.fault === 'cut' && event > behaviour.events / 2) {
        res.write(`id: ${event}\ndata: to`);
        await pause(5);
        req.socket.resetAndDestroy();
        return;
      }
      if (!res.destroyed) res.write(`id: ${event}\ndata: token ${event}\n\n`);
      await pause(behaviour.gapMs);
    }
    res.end();
  };

  const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const requestId = String(req.headers['x-request-id']);
    res.setHeader('X-Request-Id', requestId);
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) return sendJson(res, 421, {});
    const version = req.headers['x-expect-version'];
    if (version !== undefined && Number(version) !== weights) return sendJson(res, 421, {});
    arrivals.push({ requestId, at: performance.now() });
    const body = await readBody(req);
    for (const [name, value] of Object.entries(behaviour.headers ?? {})) res.setHeader(name, value);
    const lacksCopy = behaviour.hasCopies === false && req.headers['kv-from'] !== undefined;
    if (behaviour.fault === 'full' || isBusy || lacksCopy) {
      res.writeHead(503, { 'X-Not-Run': '1', 'X-Instance': id });
      res.end();
      return undefined;
    }
    const { method = '', url = '' } = req;
    const run: TargetRun = {
      requestId,
      headers: req.headers,
      method,
      path: url,
      body,
      startedAt: performance.now(),
      isInterrupted: false,
    };
    runs.push(run);
    res.on('close', () => {
      run.isInterrupted = !res.writableFinished;
    });
    await pause(behaviour.firstByteMs);
    if (url === behaviour.deadlyPath) return crash();
    if (behaviour.fault === 'mute' || res.destroyed) return undefined;
    const beginning = endlessResponses[behaviour.fault];
    if (beginning) return sendEndlessly(req.socket, beginning);
    if (behaviour.fault === 'foreign') res.setHeader('X-Request-Id', 'other');
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
      if (hasDeadlyPart(req)) {
        res.flushHeaders();
        await pause(2);
        return crash();
      }
      const activeRun = active.begin(requestId);
      await sendEvents(req, res, () => activeRun.isStopped);
      activeRun.end();
      run.endedAt = performance.now();
      // A stopped run closes its stream without the end.
      if (activeRun.isStopped) req.socket.destroy();
      return undefined;
    }
    if (behaviour.fault === 'falseRefusal') {
      res.writeHead(503);
      res.end();
      return undefined;
    }
    const filler = `|${id}`;
    const fillers = Math.ceil((behaviour.answerBytes ?? 0) / filler.length);
    const text = `answer of ${id}${filler.repeat(fillers)}`;
    res.setHeader('Content-Length', text.length);
    if (behaviour.fault !== 'cut') res.end(text);
    else res.write(text.slice(0, Math.max(4, text.length / 2)), () => req.socket.destroy());
    return undefined;
  };

  const server: Server = createServer((req, res) => {
    const handlers: Readonly<Record<string, () => unknown>> = {
      '/report': () => sendReport(res),
      '/order': () => handleOrder(req, res),
      '/kv-move': () => handleMove(req, res),
      '/health': () => sendJson(res, 200, {}),
      '/kv-events?since=0': () =>
        sendJson(res, 200, {
          bootEpoch: 1,
          next: 1,
          lost: false,
          events: options.cacheEvents ?? [],
        }),
    };
    Promise.resolve((handlers[req.url ?? ''] ?? (() => handleRequest(req, res)))()).catch(
      (err: unknown) => res.destroy(err as Error),
    );
  });
  listener.server = server;
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
    arrivals,
    orders,
    crashes,
    crash,
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
    registration: (service, state = 'ready') => ({
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
      isClosed = true;
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
