import { createServer } from 'node:http';
import { pause } from './util.mjs';

/**
 * Stand-in for an engine, by PROTOCOL.md. With a model it streams events and carries out orders to load
 * weights; without one it is a plain service. It doesn't check fencing numbers (`requireFence` false).
 */

const beatMs = 1_200;
const loadMs = 760;

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

export async function startEngine({ id, service, zone, model, slots, store, record, ...options }) {
  const {
    workMs = 40,
    spreadMs = 0,
    events = 4,
    gapMs = 15,
    version: firstVersion = 1,
    coldMs = 0,
  } = options;
  const born = Date.now();
  const sockets = new Set();
  const runs = [];
  const orders = [];
  let version = firstVersion;
  let state = 'ready';
  let isLeaving = false;
  let isRegistered = true;
  let isBusy = false;
  let active = 0;
  let seq = 0;
  let lastEntry = '';

  const head = () => ({
    'X-Instance': id,
    'X-Load': `${active},0,${slots}`,
    ...(isLeaving ? { 'Server-Leaving': '1' } : {}),
  });

  const json = (res, status, body, headers = {}) => {
    res.writeHead(status, { 'Content-Type': 'application/json', ...head(), ...headers });
    res.end(JSON.stringify(body));
  };

  const handleOrder = async (req, res) => {
    const order = JSON.parse(await readBody(req));
    const { op, holder, fence, expectRev } = order;
    record.add(
      `order    ${id} <- holder ${holder}, fence ${fence}: weights ${order.version}, expects ${expectRev}`,
    );
    orders.push({ ...order, at: performance.now(), engine: id });
    if (op !== 'version' || holder === undefined || fence === undefined) json(res, 400, {});
    else if (order.version === version && !isBusy) json(res, 200, {});
    else if (isBusy || (expectRev !== undefined && expectRev !== seq)) json(res, 409, {});
    else {
      seq += 1;
      isBusy = true;
      json(res, 202, {});
      if (order.mode === 'wait') while (active > 0) await pause(10);
      await pause(loadMs);
      version = order.version;
      isBusy = false;
      record.add(`engine   ${id} has weights ${version}`);
    }
  };

  const handleReport = (res) =>
    json(res, 200, {
      stage: 'both',
      models: model ? [{ name: model, version, adapters: [] }] : [],
      busy: isBusy,
      seq,
      queued: 0,
      active,
      kvUsed: 0,
      kvTotal: 117_426,
      handles: 0,
    });

  const stream = async (req, res, headers) => {
    const after = Number(req.headers['last-event-id'] ?? 0);
    res.writeHead(200, {
      ...headers,
      'Content-Type': 'text/event-stream',
      'X-Weight-Versions': String(version),
    });
    for (let event = after + 1; event <= events && !res.destroyed; event += 1) {
      await pause(gapMs);
      res.write(`id: ${event}\ndata: ${event} of ${events}\n\n`);
    }
    res.end();
  };

  const handleRequest = async (req, res) => {
    const requestId = req.headers['x-request-id'];
    if (!requestId) {
      json(res, 400, {}, { 'X-Not-Run': '1' });
      return;
    }
    const expected = req.headers['x-expect-instance'];
    const expectedVersion = req.headers['x-expect-version'];
    const isOther = expected !== undefined && expected !== id;
    if (isOther || (expectedVersion !== undefined && Number(expectedVersion) !== version)) {
      json(res, 421, {}, { 'X-Request-Id': requestId });
      return;
    }
    await readBody(req);
    // It has no room for copies of other engines' runs.
    if (isBusy || active >= slots || req.headers['kv-from'] !== undefined) {
      json(res, 503, {}, { 'X-Not-Run': '1', 'X-Request-Id': requestId });
      return;
    }
    active += 1;
    runs.push({ requestId, at: performance.now(), version, method: req.method, path: req.url });
    options.onRun?.(requestId);
    await pause(workMs + Math.random() * spreadMs);
    const headers = {
      ...head(),
      'X-Request-Id': requestId,
      'X-Server-Stamp': `stamp.${requestId}`,
    };
    if (model) await stream(req, res, headers);
    else {
      const body = Buffer.from(`answer to ${requestId}`);
      res.writeHead(200, { ...headers, 'Content-Length': body.length });
      res.end(body);
    }
    active -= 1;
  };

  const server = createServer((req, res) => {
    const expected = req.headers['x-expect-instance'];
    const [path] = req.url.split('?');
    const handlers = {
      '/order': () => handleOrder(req, res),
      '/report': () => handleReport(res),
      '/kv-move': () => json(res, 404, {}),
      '/health': () => json(res, state === 'ready' ? 200 : 503, {}),
      '/kv-events': () => json(res, 200, { bootEpoch: 1, next: 1, lost: false, events: [] }),
    };
    const isControl = handlers[path] !== undefined;
    if (isControl && expected !== undefined && expected !== id) json(res, 421, {});
    else
      Promise.resolve((handlers[path] ?? (() => handleRequest(req, res)))()).catch(() =>
        res.destroy(),
      );
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address();

  /** Writes the entry when more than its `seq` has changed, or when the store has lost it. */
  const register = (isLost = false) => {
    if (!isRegistered) return;
    const entry = {
      service,
      addr: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      slots,
      state,
      coldLeftMs: Math.max(0, Math.round(born + coldMs - Date.now())),
      born,
      ...(model ? { stage: 'both', models: [{ name: model, version, adapters: [] }] } : {}),
    };
    const text = JSON.stringify(entry);
    if (text === lastEntry && !isLost) return;
    if (store.put('servers', id, { ...entry, seq: 1 })) lastEntry = text;
  };
  register();
  const onCheckIn = [];
  const beat = setInterval(() => {
    register();
    for (const listener of onCheckIn.splice(0)) listener();
  }, beatMs);
  store.onRestored(() => {
    if (isRegistered) register(true);
  });

  return {
    id,
    port,
    runs,
    orders,
    get version() {
      return version;
    },
    get active() {
      return active;
    },
    nextCheckIn: () =>
      new Promise((resolve) => {
        onCheckIn.push(resolve);
      }),
    /** A planned end that the engine reports at once. */
    drain() {
      state = 'draining';
      isLeaving = true;
      record.add(`engine   ${id} reports that it is draining`);
      register();
    },
    /** A planned end that the engine doesn't report as `draining`: its entry is removed. */
    leave() {
      isRegistered = false;
      isLeaving = true;
      record.add(`engine   ${id} leaves: its entry is removed`);
      return store.remove('servers', id);
    },
    async close() {
      clearInterval(beat);
      isRegistered = false;
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
