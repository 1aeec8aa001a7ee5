// Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store"): rows,
// transactions, the change feed. Rows only; no blobs.
import { createServer } from 'node:http';

const keyOf = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

export async function startStore({ host = '127.0.0.1', replyMs = 4 } = {}) {
  const rows = new Map();
  const history = [];
  const waiting = new Set();
  const sockets = new Set();
  const startedAt = performance.now();
  let ver = 0;
  let fault = 'none';
  const calls = [];

  const stamp = () => ({ ver, nowMs: Math.round(performance.now() - startedAt) });
  const send = (res, status, body) => {
    setTimeout(() => {
      if (res.destroyed) return;
      res.writeHead(status, { 'Content-Type': 'application/json' });
      res.end(JSON.stringify(body));
    }, replyMs);
  };
  const commit = (sets, removes) => {
    ver += 1;
    for (const { table, part = '', key, value } of sets) {
      const row = { table, part, key, value, ver };
      rows.set(keyOf(row), row);
      history.push(row);
    }
    for (const ref of removes)
      if (rows.delete(keyOf(ref))) history.push({ part: '', ...ref, ver, removed: true });
    for (const recheck of [...waiting]) recheck();
  };
  const get = (url, res) => {
    const {
      table = '',
      part = '',
      from = '',
      to,
      limit = '500',
    } = Object.fromEntries(url.searchParams);
    const all = [...rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .filter((row) => to === undefined || row.key < to)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const count = Math.min(500, Number(limit));
    send(res, 200, { rows: all.slice(0, count), hasMore: all.length > count, ...stamp() });
  };
  const feed = (url, res) => {
    const table = url.searchParams.get('table');
    const after = Number(url.searchParams.get('after'));
    const waitMs = Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0));
    let timer;
    const reply = (isTimedOut) => {
      const changed = history.filter((change) => change.table === table && change.ver > after);
      if (changed.length === 0 && !isTimedOut) return;
      clearTimeout(timer);
      waiting.delete(recheck);
      send(res, 200, { rows: changed, ...stamp() });
    };
    function recheck() {
      reply(false);
    }
    timer = setTimeout(() => reply(true), waitMs);
    waiting.add(recheck);
    recheck();
  };
  const transact = ({ expectRev = [], setKeys = [], remove = [] }, res) => {
    const failed = expectRev.some((ref) => (rows.get(keyOf(ref))?.ver ?? 0) !== ref.ver);
    if (failed) {
      send(res, 412, { rows: expectRev.map((ref) => rows.get(keyOf(ref))).filter(Boolean) });
      return;
    }
    commit(setKeys, remove);
    send(res, 200, stamp());
  };
  const server = createServer(async (req, res) => {
    const url = new URL(req.url, 'http://store');
    const body = req.method === 'POST' ? await readBody(req) : '';
    calls.push({ at: performance.now(), path: url.pathname });
    if (fault === 'silent') return;
    if (fault === 'busy') send(res, 503, {});
    else if (url.pathname === '/rows-get') get(url, res);
    else if (url.pathname === '/rows-feed') feed(url, res);
    else if (url.pathname === '/rows-tx') transact(JSON.parse(body), res);
    else send(res, 404, {});
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    calls,
    rows,
    get fault() {
      return fault;
    },
    set fault(value) {
      fault = value;
    },
    put(table, key, value) {
      const bytes = Buffer.from(JSON.stringify(value)).toString('base64');
      commit([{ table, part: '', key, value: bytes }], []);
    },
    remove: (table, key) => commit([], [{ table, part: '', key }]),
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
