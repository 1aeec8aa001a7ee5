import { createServer } from 'node:http';

/**
 * Starts a target of the platform. `answer(req, res, run)` answers the requests that it runs; each run
 * is in `runs`, with the time at which it began and how it ended.
 */
export async function startTarget(site, { id, service, slots, models, born = 1 }, answer) {
  const runs = [];
  const sockets = new Set();
  let running = 0;
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      res.setHeader('X-Instance', id);
      if (req.url === '/health') {
        res.end();
        return;
      }
      if (req.url.startsWith('/kv-events')) {
        res.setHeader('Content-Type', 'application/json');
        res.end(JSON.stringify({ bootEpoch: 1, next: 1, lost: false, events: [] }));
        return;
      }
      if (req.url === '/report') {
        const report = { stage: 'both', models, busy: false, seq: 0, queued: 0, active: running };
        res.setHeader('Content-Type', 'application/json');
        res.end(JSON.stringify(report));
        return;
      }
      const expected = req.headers['x-expect-instance'];
      const requestId = req.headers['x-request-id'];
      res.setHeader('X-Request-Id', requestId ?? '');
      if (expected !== undefined && expected !== id) {
        res.writeHead(421, { 'X-Not-Run': '1' });
        res.end();
        return;
      }
      const run = {
        target: id,
        requestId,
        headers: req.headers,
        body: Buffer.concat(chunks),
        at: performance.now(),
        end: undefined,
        endedAt: undefined,
      };
      runs.push(run);
      running += 1;
      res.on('close', () => {
        running -= 1;
        run.endedAt = performance.now();
        run.end ??= res.writableFinished ? 'answered' : 'connection closed';
      });
      res.setHeader('X-Server-Stamp', `stamp.${id}.${requestId}`);
      res.setHeader('X-Load', `${running},0,${slots}`);
      if (models) res.setHeader('X-Weight-Versions', String(models[0].version));
      answer(req, res, run);
    });
  });
  // Idle connections are closed after a time that the responses state.
  server.keepAliveTimeout = 5_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  const listen = (port) =>
    new Promise((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
  await listen(0);
  const { port } = server.address();
  const resetAll = () => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  const target = {
    id,
    port,
    runs,
    registration: {
      service,
      addr: `127.0.0.1:${port}`,
      zone: 'lj-north',
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      seq: 1,
      born,
      ...(models ? { models } : {}),
    },
    /** Ends as a killed process does: all connections are reset, and none is accepted. */
    crash() {
      if (server.listening) server.close();
      resetAll();
    },
    restart: () => listen(port),
  };
  site.closeLater(async () => {
    if (server.listening) server.close();
    resetAll();
  });
  site.register(target);
  return target;
}
