import { Worker } from 'node:worker_threads';

/** Request on a separate connection, whose caller disconnects once it is sent. */
export interface DisconnectingRequest {
  readonly port: number;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const script = `
  const { connect } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  parentPort.once('message', () => {
    for (const { port, text } of workerData) {
      const socket = connect(port, '127.0.0.1', () => socket.write(text, () => socket.destroy()));
      socket.on('error', () => undefined);
    }
  });
`;

function toText({ path, headers, body }: DisconnectingRequest): string {
  const lines = Object.entries({ ...headers, 'Content-Length': String(body.length) });
  const head = lines.map(([name, value]) => `${name}: ${value}`).join('\r\n');
  return `POST ${path} HTTP/1.1\r\n${head}\r\n\r\n${body}`;
}

/** Sends the requests from a worker thread while this thread is blocked for `busyMs`. */
export async function sendAndDisconnectWhileBusy(
  requests: readonly DisconnectingRequest[],
  busyMs: number,
): Promise<void> {
  const workerData = requests.map((req) => ({ port: req.port, text: toText(req) }));
  const worker = new Worker(script, { eval: true, workerData });
  await new Promise((resolve) => {
    worker.once('online', resolve);
  });
  worker.postMessage('go');
  const end = performance.now() + busyMs;
  while (performance.now() < end);
  await worker.terminate();
}
