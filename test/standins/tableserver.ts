import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { StoreUnavailableError } from '../../src/base/errors.js';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { type TableKey, type TablePort, type TableWrite } from '../../src/ports/table.js';
import { readBody, sendJson } from './engine/http.js';
import { createFaultyTable, type FaultyTable } from './faultytable.js';

/** Table that several processes share over loopback. */
export interface TableServer {
  readonly url: string;
  readonly table: FaultyTable;
  close(): Promise<void>;
}

type Arguments = readonly unknown[];

/** Starts a table server with fault injection. */
export async function startTableServer(): Promise<TableServer> {
  const table = createFaultyTable(createMemoryTable());
  const operations: Readonly<Record<string, (args: Arguments) => Promise<unknown>>> = {
    get: ([key]) => table.get(key as TableKey, noCancellation),
    query: ([partition, after, limit]) =>
      table.query(partition as string, after as string, limit as number, noCancellation),
    transact: ([writes]) => table.transact(writes as readonly TableWrite[], noCancellation),
  };
  const server = createServer((req, res) => {
    const handle = async (): Promise<void> => {
      const body = await readBody(req);
      const result = await operations[String(body['call'])]?.(body['args'] as Arguments);
      sendJson(res, { result });
    };
    handle().catch(() => sendJson(res, {}, 503));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    table,
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}

/** Creates a client for the table of a {@link startTableServer} in another process. */
export function createTableClient(url: string): TablePort {
  const call = async <T>(name: string, ...args: Arguments): Promise<T> => {
    let res: Response;
    try {
      res = await fetch(url, { method: 'POST', body: JSON.stringify({ call: name, args }) });
    } catch {
      throw new StoreUnavailableError('the table refused the connection');
    }
    const body = (await res.json()) as { readonly result: T };
    if (!res.ok) throw new StoreUnavailableError('the table is not available');
    return body.result;
  };
  return {
    get: (key) => call('get', key),
    query: (partition, after, limit) => call('query', partition, after, limit),
    transact: (writes) => call('transact', writes),
  };
}
