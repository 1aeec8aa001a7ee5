import { createServer } from 'node:http';

/**
 * Stand-in for the platform's metadata store, by PROTOCOL.md: rows, transactions and feeds. A drill
 * takes it away and brings it back from a copy, by the letter on rules: versions go back and are given
 * out again, a read from a version that it doesn't have gets 410, and `Store-Era` rises by one.
 */

const rowKey = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;

/** Tables that the system may not write to. */
const foreignTables = new Set(['op', 'servers']);

const answerMs = 4;

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

export async function startStore(record) {
  let rows = new Map();
  let history = [];
  let ver = 0;
  let era = 1;
  let isAway = false;
  const sockets = new Set();
  const feeds = new Set();
  const restoreListeners = [];
  const copies = [];
  const startedAt = performance.now();

  const send = (res, status, body) => {
    setTimeout(() => {
      if (res.destroyed) return;
      res.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(era) });
      res.end(JSON.stringify(body));
    }, answerMs);
  };
  const stamp = () => ({ ver, nowMs: Math.round(performance.now() - startedAt) });

  const commit = (sets, removes = []) => {
    ver += 1;
    for (const { table, part = '', key, value } of sets) {
      const row = { table, part, key, value, ver };
      rows.set(rowKey(row), row);
      history.push(row);
    }
    for (const ref of removes) {
      if (rows.delete(rowKey(ref))) {
        history.push({ table: ref.table, part: ref.part ?? '', key: ref.key, ver, removed: true });
      }
    }
    for (const recheck of [...feeds]) recheck(false);
  };

  const handleGet = (url, res) => {
    const table = url.searchParams.get('table') ?? '';
    const part = url.searchParams.get('part') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const to = url.searchParams.get('to');
    const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500));
    const all = [...rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .filter((row) => to === null || row.key < to)
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    send(res, 200, { rows: all.slice(0, limit), hasMore: all.length > limit, ...stamp() });
  };

  const handleFeed = (url, res) => {
    const table = url.searchParams.get('table') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0));
    if (after > ver) {
      send(res, 410, {});
      return;
    }
    let timer;
    const recheck = (isTimedOut) => {
      const changed = history.filter((row) => row.table === table && row.ver > after);
      if (changed.length === 0 && !isTimedOut) return;
      clearTimeout(timer);
      feeds.delete(recheck);
      send(res, 200, { rows: changed, ...stamp() });
    };
    timer = setTimeout(() => recheck(true), waitMs);
    res.on('close', () => {
      clearTimeout(timer);
      feeds.delete(recheck);
    });
    feeds.add(recheck);
    recheck(false);
  };

  const handleTransaction = async (req, res) => {
    const { expectRev = [], setKeys = [], remove = [] } = JSON.parse(await readBody(req));
    if ([...setKeys, ...remove].some(({ table }) => foreignTables.has(table))) {
      send(res, 403, {});
      return;
    }
    const differs = expectRev.some((ref) => (rows.get(rowKey(ref))?.ver ?? 0) !== ref.ver);
    const names = setKeys.map(({ key }) => key).join(',');
    if (differs) {
      const current = expectRev.map((ref) => rows.get(rowKey(ref))).filter(Boolean);
      record.add(`store    412 to a write of ${names} that expects ${expectRev[0]?.ver}`);
      send(res, 412, { rows: current, ...stamp() });
      return;
    }
    commit(setKeys, remove);
    for (const { key, value } of setKeys) {
      const text = Buffer.from(value, 'base64').toString('utf8');
      record.add(`store    version ${ver}: a gateway wrote ${key} ${text}`);
    }
    send(res, 200, stamp());
  };

  const server = createServer((req, res) => {
    if (isAway) {
      req.socket.resetAndDestroy();
      return;
    }
    const url = new URL(req.url, 'http://store');
    const handlers = {
      'GET /rows-get': () => handleGet(url, res),
      'GET /rows-feed': () => handleFeed(url, res),
      'POST /rows-tx': () => handleTransaction(req, res),
    };
    const handle = handlers[`${req.method} ${url.pathname}`] ?? (() => send(res, 404, {}));
    Promise.resolve(handle()).catch(() => res.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  /** The platform copies the store every half a second. */
  const copyTimer = setInterval(() => {
    if (isAway) return;
    copies.push({ at: performance.now(), rows: new Map(rows), history: [...history], ver });
  }, 500);

  return {
    port: server.address().port,
    get ver() {
      return ver;
    },
    /** Value of one of the system's rows. */
    read(table, key) {
      const row = rows.get(rowKey({ table, key }));
      return row && { ver: row.ver, value: Buffer.from(row.value, 'base64').toString('utf8') };
    },
    /** A write of the operator or of an engine; resolves to false while the store is away. */
    put(table, key, value) {
      if (isAway) return false;
      commit([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }]);
      return true;
    },
    remove(table, key) {
      if (isAway) return false;
      commit([], [{ table, key }]);
      return true;
    },
    /** Called once the store is back from a copy: who wrote to it writes again. */
    onRestored(listener, isAtOnce = false) {
      restoreListeners.push({ listener, isAtOnce });
    },
    /** Age in milliseconds of the newest copy that is at least this old. */
    copyAgeMs(minAgeMs) {
      const copy = copies.findLast(({ at }) => performance.now() - at >= minAgeMs);
      return copy && performance.now() - copy.at;
    },
    /**
     * The drill: the store is away for a moment and comes back from a copy some seconds old. Who wrote
     * to it writes again: the operator at once, each engine at a random time within `rewriteMs`.
     */
    async drill({ copyAgeMs, awayMs, rewriteMs = 0 }) {
      const copy = copies.findLast(({ at }) => performance.now() - at >= copyAgeMs);
      const ageMs = Math.round(performance.now() - copy.at);
      record.add(`drill    the store goes away at version ${ver}`);
      isAway = true;
      for (const socket of sockets) socket.resetAndDestroy();
      feeds.clear();
      await new Promise((resolve) => {
        setTimeout(resolve, awayMs);
      });
      rows = new Map(copy.rows);
      history = [...copy.history];
      ver = copy.ver;
      era += 1;
      isAway = false;
      record.add(`drill    it is back from a copy of ${ageMs} ms before, at version ${ver}`);
      for (const { listener, isAtOnce } of restoreListeners) {
        if (isAtOnce || rewriteMs === 0) listener();
        else setTimeout(listener, Math.random() * rewriteMs);
      }
    },
    async close() {
      clearInterval(copyTimer);
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
