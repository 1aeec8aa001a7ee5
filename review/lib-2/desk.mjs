// Stand-in for a plain service (PROTOCOL.md, "Engines"), which writes its answers byte by byte itself.
import { createServer } from 'node:net';

/** `spoil` gets the bytes of an answer, and returns what the engine sends instead. */
export async function startDesk({
  id,
  store,
  record,
  host = '127.0.0.1',
  service = 'desk',
  workMs = 40,
  beatMs = 1200,
  spoil = (bytes) => bytes,
}) {
  const sockets = new Set();
  const born = Date.now();
  let stamp = 0;
  let beats = 0;
  let active = 0;
  const answer = (requestId) => {
    const body = `answer to ${requestId} of ${id}\n`.repeat(20);
    return [
      'HTTP/1.1 200 OK',
      `X-Request-Id: ${requestId}`,
      `X-Server-Stamp: ${id}.${(stamp += 1)}`,
      `X-Instance: ${id}`,
      `X-Load: ${active},0,6,100`,
      'Content-Type: text/plain',
      'Cache-Control: no-store',
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n');
  };
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      for (;;) {
        const headEnd = text.indexOf('\r\n\r\n');
        if (headEnd < 0) return;
        const head = text.slice(0, headEnd);
        const header = (name) => new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1];
        const length = Number(header('content-length') ?? 0);
        const isChunked = header('transfer-encoding') !== undefined;
        const end = isChunked ? text.indexOf('0\r\n\r\n', headEnd + 4) + 5 : headEnd + 4 + length;
        if (text.length < end || (isChunked && end < headEnd + 4)) return;
        text = text.slice(end);
        const requestId = header('x-request-id');
        active += 1;
        record('run', { engine: id, requestId, line: head.split('\r\n')[0] });
        setTimeout(() => {
          active -= 1;
          if (socket.destroyed) return;
          const whole = answer(requestId);
          const sent = spoil(whole, requestId);
          record(sent === whole ? 'engine answered' : 'engine answered with wrong bytes', {
            engine: id,
            requestId,
          });
          socket.write(Buffer.from(sent, 'latin1'));
        }, workMs);
      }
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const register = () => {
    beats += 1;
    store.put('servers', id, {
      service,
      addr: `${host}:${server.address().port}`,
      zone: 'north',
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldLeftMs: 0,
      seq: beats,
      born,
    });
  };
  register();
  const timer = setInterval(register, beatMs);
  return {
    id,
    close() {
      clearInterval(timer);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
