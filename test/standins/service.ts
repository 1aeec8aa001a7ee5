import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

/** Stand-in for a plain service that counts how often it ran each request. */
export interface StandInService {
  readonly url: string;
  /** Number of runs by the `idempotency-key` header, or by path when the header is absent. */
  readonly runs: ReadonlyMap<string, number>;
  close(): Promise<void>;
}

/** Starts a service that echoes each request in its response. */
export async function startService(latencyMs = 2): Promise<StandInService> {
  const runs = new Map<string, number>();
  const server = createServer((req, res) => {
    const handle = async (): Promise<void> => {
      const key = String(req.headers['idempotency-key'] ?? req.url);
      runs.set(key, (runs.get(key) ?? 0) + 1);
      const parts: Buffer[] = [];
      for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
      await delay(latencyMs);
      const received = Buffer.concat(parts).toString();
      res.setHeader('content-type', 'application/json');
      res.end(JSON.stringify({ method: req.method, path: req.url, received, run: runs.get(key) }));
    };
    handle().catch(() => res.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    runs,
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
