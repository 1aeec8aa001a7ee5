import { type Clock } from '../../../src/base/clock.js';
import { type HttpClient, type HttpResponse } from '../../../src/base/httpclient.js';
import { createNullLogger } from '../../../src/base/logging.js';
import { createEraTracker } from '../../../src/storeera/eras.js';
import { createPlatformStore, type PlatformStore } from '../../../platform/store.js';

interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver: number;
  readonly removed?: boolean;
}

type RowRef = Pick<StoredRow, 'table' | 'part' | 'key'>;

/** State of the store at one moment. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly history: readonly StoredRow[];
  readonly ver: number;
}

/** What tests change in the responses. */
export interface StoreFaults {
  /** `Store-Era` of the responses; undefined leaves the header out. */
  era: string | undefined;
  isAway: boolean;
  /** When set, a response is delivered once the promise that it returns for the path resolves. */
  delay: ((path: string) => Promise<void> | undefined) | undefined;
}

/**
 * Store in memory that speaks the platform's protocol without a network, on the clock of a test, and
 * that comes back from older copies of itself.
 */
export interface RestorableStore {
  readonly ver: number;
  readonly calls: number;
  readonly faults: StoreFaults;
  put(table: string, key: string, value: string): void;
  remove(table: string, key: string): void;
  read(table: string, key: string): string | undefined;
  copy(): StoreCopy;
  /** Comes back from the copy in the next era. Calls that wait for changes go on waiting. */
  restore(copy: StoreCopy): void;
  /** Client of one process, which knows only the eras that its own responses have named. */
  connect(): PlatformStore;
}

const nameOf = ({ table, part, key }: RowRef): string => `${table}\n${part}\n${key}`;

export function createRestorableStore(clock: Clock): RestorableStore {
  const faults: StoreFaults = { era: '1', isAway: false, delay: undefined };
  let rows = new Map<string, StoredRow>();
  let history: StoredRow[] = [];
  let ver = 0;
  let calls = 0;
  const waiting = new Set<() => void>();

  const commit = (changes: readonly (RowRef & { readonly value?: string })[]): void => {
    ver += 1;
    for (const { table, part, key, value } of changes) {
      const change = {
        table,
        part,
        key,
        ver,
        ...(value === undefined ? { removed: true } : { value }),
      };
      if (value === undefined) rows.delete(nameOf(change));
      else rows.set(nameOf(change), change);
      history.push(change);
    }
    for (const recheck of [...waiting]) recheck();
  };

  const respond = (status: number, body: object = {}): HttpResponse => ({
    status,
    headers: { ...(faults.era !== undefined && { 'store-era': faults.era }) },
    body: JSON.stringify({ ver, ...body }),
  });

  const get = (query: URLSearchParams): HttpResponse => {
    const from = query.get('from') ?? '';
    const listed = [...rows.values()]
      .filter(({ table, part }) => table === query.get('table') && part === query.get('part'))
      .filter(({ key }) => key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const limit = Number(query.get('limit'));
    return respond(200, { rows: listed.slice(0, limit), hasMore: listed.length > limit });
  };

  const feed = async (query: URLSearchParams): Promise<HttpResponse> => {
    const after = Number(query.get('after'));
    if (after > ver) return respond(410);
    const changed = (): readonly StoredRow[] =>
      history.filter((change) => change.table === query.get('table') && change.ver > after);
    if (changed().length === 0) {
      await new Promise<void>((resolve) => {
        const timer = clock.setTimer(Number(query.get('waitMs')), resolve);
        const recheck = (): void => {
          if (changed().length === 0) return;
          waiting.delete(recheck);
          timer.dispose();
          resolve();
        };
        waiting.add(recheck);
      });
    }
    return respond(200, { rows: changed() });
  };

  const transact = (body: string): HttpResponse => {
    const { expectRev, setKeys, remove } = JSON.parse(body) as Record<string, StoredRow[]>;
    const isMet = (ref: StoredRow): boolean => (rows.get(nameOf(ref))?.ver ?? 0) === ref.ver;
    if (!expectRev?.every(isMet)) return respond(412);
    commit([...(setKeys ?? []), ...(remove ?? [])]);
    return respond(200);
  };

  const httpClient: HttpClient = async ({ path, body }, token) => {
    calls += 1;
    if (faults.isAway) throw Object.assign(new Error('connection refused'), { isSent: false });
    const url = new URL(path, 'http://store');
    const handlers: Readonly<Record<string, () => HttpResponse | Promise<HttpResponse>>> = {
      '/rows-get': () => get(url.searchParams),
      '/rows-feed': () => feed(url.searchParams),
      '/rows-tx': () => transact(body ?? ''),
    };
    const cancelled = new Promise<never>((_resolve, reject) => {
      token.onCancellationRequested((reason) => reject(new Error(reason)));
    });
    const res = await Promise.race([handlers[url.pathname]?.() ?? respond(404), cancelled]);
    await faults.delay?.(url.pathname);
    return res;
  };

  return {
    faults,
    get ver() {
      return ver;
    },
    get calls() {
      return calls;
    },
    put: (table, key, value) =>
      commit([{ table, part: '', key, value: Buffer.from(value).toString('base64') }]),
    remove: (table, key) => commit([{ table, part: '', key }]),
    read(table, key) {
      const row = rows.get(nameOf({ table, part: '', key }));
      return row && Buffer.from(row.value ?? '', 'base64').toString('utf8');
    },
    copy: () => ({ rows: new Map(rows), history: [...history], ver }),
    restore(copy) {
      rows = new Map(copy.rows);
      history = [...copy.history];
      ver = copy.ver;
      if (faults.era !== undefined) faults.era = String(Number(faults.era) + 1);
    },
    connect: () =>
      createPlatformStore({
        address: { host: 'store', port: 1 },
        httpClient,
        eras: createEraTracker({ clock, log: createNullLogger() }),
      }),
  };
}
