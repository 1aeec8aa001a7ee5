// Stand-in for a model engine (PROTOCOL.md): streams, versions of weights with `wait` and `retain`,
// reports that lag, backups of the memory of runs and their continuation with Kv-From.
import { createServer } from 'node:http';
import { pause } from './gateway.mjs';

export const model = 'model-a';

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

const engines = new Map();

/**
 * `record` gets a line for each thing that the engine does. `keepsWorking`: the engine does not drop
 * a request when its connection closes, as some engines don't.
 */
export async function startEngine({
  id,
  store,
  record,
  host = '127.0.0.1',
  service = 'llm',
  loadMs = 760,
  gapMs = 40,
  firstMs = 41,
  reportLagMs = 300,
  backupMs = 200,
  beatMs = 1200,
  slots = 64,
  keepsWorking = () => false,
}) {
  let version = 1;
  let isBusy = false;
  let orders = 0;
  let isDown = false;
  let stamp = 0;
  let beats = 0;
  const born = Date.now();
  const runs = new Set();
  const copies = new Map();
  const sockets = new Set();
  const states = [];

  const state = () => ({ version, isBusy, orders, active: runs.size });
  const stateTimer = setInterval(() => {
    states.push({ at: performance.now(), ...state() });
    if (states.length > 200) states.shift();
  }, 20);
  /** The state of some hundred milliseconds ago. */
  const lagged = () => {
    const limit = performance.now() - reportLagMs;
    return states.findLast(({ at }) => at <= limit) ?? states[0] ?? state();
  };

  let address;
  const register = (registered = 'ready') => {
    beats += 1;
    store.put('servers', id, {
      service,
      addr: address,
      zone: 'north',
      version: 'v1',
      slots,
      state: registered,
      coldLeftMs: 0,
      seq: beats,
      born,
      models: [{ name: model, version, adapters: [] }],
    });
  };

  const json = (res, status, body, headers = {}) => {
    res.writeHead(status, { 'Content-Type': 'application/json', 'X-Instance': id, ...headers });
    res.end(JSON.stringify(body));
  };

  const load = async ({ version: next, mode }) => {
    isBusy = true;
    while (mode === 'wait' && runs.size > 0) await pause(5);
    await pause(loadMs);
    if (isDown) return;
    version = next;
    isBusy = false;
    record('weights', { engine: id, version, retained: runs.size });
  };

  const order = async (req, res) => {
    const body = JSON.parse(await readBody(req));
    record('order', { engine: id, ...body });
    if (body.version === version) return json(res, 200, {});
    if (isBusy || (body.expectRev !== undefined && body.expectRev !== orders))
      return json(res, 409, {});
    orders += 1;
    json(res, 202, {});
    return load(body);
  };

  const report = (res) => {
    const seen = lagged();
    json(res, 200, {
      stage: 'both',
      models: [{ name: model, version: seen.version, adapters: [] }],
      busy: seen.isBusy,
      seq: seen.orders,
      queued: 0,
      active: seen.active,
      kvUsed: 0,
      kvTotal: 100_000,
      handles: 0,
    });
  };

  const serve = async (req, res) => {
    const requestId = req.headers['x-request-id'];
    await readBody(req);
    res.setHeader('X-Request-Id', requestId);
    res.setHeader('X-Weight-Versions', String(version));
    const { 'x-expect-instance': instance, 'x-expect-version': expected } = req.headers;
    const refuse = (status) => {
      res.writeHead(status, { 'X-Not-Run': '1', 'X-Instance': id, 'Content-Length': 0 });
      res.end();
      record('refused', { engine: id, requestId, status });
    };
    if (instance !== undefined && instance !== id) return refuse(421);
    if (expected !== undefined && Number(expected) !== version) return refuse(421);
    if (isBusy) return refuse(503);
    const [from, handle] = String(req.headers['kv-from'] ?? '').split('/');
    const copy = from === address ? copies.get(handle) : undefined;
    if (req.headers['kv-from'] !== undefined && !copy) return refuse(503);
    const outputs = Number(req.headers['x-token-count'].split(',')[1]);
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    const run = {
      requestId,
      engine: id,
      startedOn: version,
      /** Versions of the weights under which the run's memory was made. */
      memoryOf: new Set(copy ? copy.memoryOf : [version]),
      events: first - 1,
      socket: req.socket,
      hasCopy: false,
    };
    runs.add(run);
    record('run', {
      engine: id,
      requestId,
      version,
      first,
      tenant: req.headers['x-tenant'],
      backup: req.headers['x-kv-backup'],
      continuedFrom: copy ? [...copy.memoryOf] : undefined,
      copiedFrom: copy?.engine,
    });
    let backupAt = performance.now();
    const backUp = () => {
      const to = engines.get(req.headers['x-kv-backup']);
      if (!to || performance.now() - backupAt < backupMs) return;
      backupAt = performance.now();
      run.hasCopy = true;
      to.receive(requestId, { engine: id, memoryOf: new Set(run.memoryOf), events: run.events });
    };
    res.writeHead(200, {
      'X-Server-Stamp': `${id}.${(stamp += 1)}`,
      'Content-Type': 'text/event-stream',
    });
    res.flushHeaders();
    let told = version;
    const isOpen = () => !isDown && (!res.destroyed || keepsWorking(run));
    for (let event = first; event <= outputs && isOpen(); event += 1) {
      await pause(event === first ? firstMs : gapMs);
      while (isBusy && isOpen()) await pause(5);
      if (!isOpen()) break;
      run.memoryOf.add(version);
      run.events = event;
      const change = version === told ? '' : `x-weight-versions: ${version}\n`;
      told = version;
      if (!res.destroyed) res.write(`${change}id: ${event}\ndata: ${requestId} ${event}\n\n`);
      backUp();
    }
    runs.delete(run);
    record('run over', {
      engine: id,
      requestId,
      events: run.events,
      of: outputs,
      memoryOf: [...run.memoryOf],
    });
    if (!isDown && !res.destroyed && run.events >= outputs) res.end();
    return undefined;
  };

  const server = createServer((req, res) => {
    res.on('error', () => undefined);
    const paths = {
      '/report': () => report(res),
      '/order': () => order(req, res),
      '/health': () => json(res, 200, {}),
    };
    const handler =
      paths[req.url] ??
      (req.url.startsWith('/kv-events')
        ? () => json(res, 200, { bootEpoch: 1, next: 1, lost: false, events: [] })
        : () => serve(req, res));
    Promise.resolve(handler()).catch((err) =>
      record('engine error', { engine: id, err: String(err) }),
    );
  });
  server.keepAliveTimeout = 15_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  address = `${host}:${server.address().port}`;
  register();
  const beatTimer = setInterval(() => {
    if (!isDown) register();
  }, beatMs);

  const engine = {
    id,
    address,
    runs,
    get version() {
      return version;
    },
    get isBusy() {
      return isBusy;
    },
    receive(requestId, copy) {
      if (!isDown) copies.set(requestId, copy);
    },
    /** Ends like a process that is killed: its connections break, and nothing listens. */
    crash() {
      isDown = true;
      record('crash', { engine: id, version, runs: [...runs].map(({ requestId }) => requestId) });
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
    /** Spoils the bytes of `count` running streams of which a copy was sent: what follows is no chunk of HTTP. */
    garble(count) {
      const spoiled = [...runs].filter(({ hasCopy }) => hasCopy).slice(-count);
      record('garble', { engine: id, runs: spoiled.map(({ requestId }) => requestId) });
      for (const { socket } of spoiled) if (!socket.destroyed) socket.write('zz not a chunk\r\n');
    },
    close() {
      clearInterval(stateTimer);
      clearInterval(beatTimer);
      isDown = true;
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
  engines.set(address, engine);
  return engine;
}
