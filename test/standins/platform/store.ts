import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';

/**
 * Faults of the store. `late` applies a write but never sends a response; `read-only` refuses writes.
 */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset' | 'late' | 'read-only';

interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
}

interface Change extends Partial<StoredRow> {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly ver: number;
  readonly removed?: boolean;
}

interface RowRef {
  readonly table: string;
  readonly part: string;
  readonly key: string;
}

interface Transaction {
  readonly expectRev: readonly (RowRef & { readonly ver: number })[];
  readonly setKeys: readonly (RowRef & { readonly value: string })[];
  readonly remove: readonly RowRef[];
}

/** Stand-in for the platform's store with rows, transactions and a change feed. */
export interface StoreStandin {
  readonly port: number;
  readonly calls: number;
  fault: StoreFault;
  put(table: string, key: string, value: unknown): void;
  /** Writes the bytes without encoding them, so that tests can store invalid values. */
  putRaw(table: string, key: string, bytes: Buffer): void;
  /** Writes a row into another partition of a table. */
  putInPartition(table: string, part: string, key: string, value: unknown): void;
  /** Adds a row without a key and a version to the replies about a table. */
  addMalformedRow(table: string): void;
  /** While set, changes move the version of the feed on, but their rows are missing in it. */
  losesChanges: boolean;
  remove(table: string, key: string): void;
  rows(table: string): ReadonlyMap<string, string>;
  /** Value of `Store-Era` in all responses; undefined leaves the header out. */
  era: number | undefined;
  /**
   * Copies the rows. The result brings the store back from this copy in the next era, at the version of
   * the copy; open calls for changes go on waiting.
   */
  copy(): () => void;
  /** Drops the change history, so that feeds from an earlier version get status 410. */
  compact(): void;
  /** Stops all responses on the open connections without closing them; new connections work. */
  silenceConnections(): void;
  close(): Promise<void>;
}

const keyOf = ({ table, part, key }: RowRef): string => `${table}\n${part}\n${key}`;

function readBody(req: IncomingMessage): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    req.on('data', (chunk: Buffer) => {
      text += chunk.toString('utf8');
    });
    req.on('end', () => resolve(text));
  });
}

/** Starts the stand-in on a free port. */
export async function startStoreStandin(): Promise<StoreStandin> {
  let rows = new Map<string, StoredRow>();
  const sockets = new Set<Socket>();
  const silenced = new WeakSet<Socket>();
  const waitingFeeds = new Set<() => void>();
  let history: Change[] = [];
  let firstRetainedVersion = 0;
  let ver = 0;
  let era: number | undefined;
  let calls = 0;
  let fault: StoreFault = 'none';
  let losesChanges = false;
  const malformedTables = new Set<string>();
  const malformedRowsOf = (table: string): readonly unknown[] =>
    malformedTables.has(table) ? [{ table, value: 7 }] : [];
  const startedAt = performance.now();

  const send = (res: ServerResponse, status: number, body: unknown): void => {
    const named = era === undefined ? {} : { 'Store-Era': String(era) };
    res.writeHead(status, { 'Content-Type': 'application/json', ...named });
    res.end(JSON.stringify(body));
  };

  const versionStamp = (): { readonly ver: number; readonly nowMs: number } => ({
    ver,
    nowMs: Math.round(performance.now() - startedAt),
  });

  const commit = (sets: readonly (RowRef & { value: string })[], removes: readonly RowRef[]) => {
    ver += 1;
    for (const { table, part, key, value } of sets) {
      const row = { table, part, key, value, ver };
      rows.set(keyOf(row), row);
      if (!losesChanges) history.push(row);
    }
    for (const ref of removes) {
      if (rows.delete(keyOf(ref))) history.push({ ...ref, ver, removed: true });
    }
    for (const recheck of [...waitingFeeds]) recheck();
  };

  const readRange = (url: URL) => {
    const table = url.searchParams.get('table') ?? '';
    const part = url.searchParams.get('part') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const limit = Number(url.searchParams.get('limit') ?? 500);
    const all = [...rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = [...malformedRowsOf(table), ...all.slice(0, limit)];
    return { rows: page, hasMore: all.length > limit, ...versionStamp() };
  };

  const handleFeed = (url: URL, res: ServerResponse): void => {
    const table = url.searchParams.get('table') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('waitMs'));
    if (after < firstRetainedVersion || after > ver) {
      send(res, 410, {});
      return;
    }
    const timer: { current?: NodeJS.Timeout } = {};
    const reply = (isTimedOut: boolean): void => {
      const changed = history.filter((change) => change.table === table && change.ver > after);
      const isFeedDown = fault !== 'none' && fault !== 'read-only';
      if (isFeedDown || (changed.length === 0 && !isTimedOut)) return;
      clearTimeout(timer.current);
      waitingFeeds.delete(recheck);
      if (after < firstRetainedVersion) send(res, 410, {});
      else send(res, 200, { rows: [...malformedRowsOf(table), ...changed], ...versionStamp() });
    };
    function recheck(): void {
      reply(false);
    }
    timer.current = setTimeout(() => reply(true), waitMs);
    waitingFeeds.add(recheck);
    recheck();
  };

  const transact = ({ expectRev, setKeys, remove }: Transaction, res: ServerResponse): void => {
    for (const { ver: expected, ...ref } of expectRev) {
      if ((rows.get(keyOf(ref))?.ver ?? 0) === expected) continue;
      send(res, 412, { rows: expectRev.map((row) => rows.get(keyOf(row))).filter(Boolean) });
      return;
    }
    commit(setKeys, remove);
    if (fault !== 'late') send(res, 200, versionStamp());
  };

  const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    calls += 1;
    if (fault === 'silent' || silenced.has(req.socket)) return;
    if (fault === 'reset') {
      req.socket.resetAndDestroy();
      return;
    }
    if (fault === 'busy') {
      send(res, 503, {});
      return;
    }
    const url = new URL(req.url ?? '/', 'http://store');
    if (url.pathname === '/rows-get') send(res, 200, readRange(url));
    else if (url.pathname === '/rows-feed') handleFeed(url, res);
    else if (url.pathname === '/rows-tx') {
      if (fault === 'read-only') send(res, 503, {});
      else transact(JSON.parse(await readBody(req)) as Transaction, res);
    } else send(res, 404, {});
  };

  const server: Server = createServer((req, res) => {
    handleRequest(req, res).catch((err: unknown) => res.destroy(err as Error));
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  const put = (table: string, key: string, bytes: Buffer, part = ''): void =>
    commit([{ table, part, key, value: bytes.toString('base64') }], []);

  return {
    port: (server.address() as AddressInfo).port,
    get calls() {
      return calls;
    },
    get fault() {
      return fault;
    },
    set fault(value) {
      fault = value;
      for (const recheck of [...waitingFeeds]) recheck();
    },
    put: (table, key, value) => put(table, key, Buffer.from(JSON.stringify(value))),
    putRaw: (table, key, bytes) => put(table, key, bytes),
    putInPartition: (table, part, key, value) =>
      put(table, key, Buffer.from(JSON.stringify(value)), part),
    addMalformedRow: (table) => malformedTables.add(table),
    get losesChanges() {
      return losesChanges;
    },
    set losesChanges(value) {
      losesChanges = value;
    },
    remove: (table, key) => commit([], [{ table, part: '', key }]),
    rows: (table) =>
      new Map(
        [...rows.values()]
          .filter((row) => row.table === table)
          .map((row) => [row.key, Buffer.from(row.value, 'base64').toString('utf8')]),
      ),
    get era() {
      return era;
    },
    set era(value) {
      era = value;
    },
    copy() {
      const copied = { rows: new Map(rows), history: [...history], ver };
      return () => {
        rows = new Map(copied.rows);
        history = [...copied.history];
        ver = copied.ver;
        era = (era ?? 0) + 1;
      };
    },
    compact() {
      history = [];
      ver += 1;
      firstRetainedVersion = ver;
      for (const recheck of [...waitingFeeds]) recheck();
    },
    silenceConnections() {
      for (const socket of sockets) {
        silenced.add(socket);
        socket.pause();
      }
    },
    async close() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
