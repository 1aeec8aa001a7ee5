import { Worker } from 'node:worker_threads';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createLogger } from '../../src/base/logging.js';
import { createLineStream } from '../standins/lines.js';
import { model, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';

const callers = 10;

/** Sends one request on each connection and leaves, in a thread of its own. */
const callerThread = `
  const { connect } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  parentPort.once('message', () => {
    for (const { port, request } of workerData) {
      const socket = connect(port, '127.0.0.1', () => socket.write(request, () => socket.destroy()));
      socket.on('error', () => undefined);
    }
  });
`;

const prompt = [`X-Model: ${model}`, 'X-Token-Count: 900,40', 'X-Prompt-Prefix: a:500,b:400'];

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

function toRequest(route: string, id: number): string {
  const head = [
    `POST /${route}/x HTTP/1.1`,
    'Host: site.test',
    `X-Request-Id: ${route}-${id}`,
    'X-Deadline-Ms: 4000',
    'X-Api-Key: key-a',
    ...(route === 'order' ? [] : prompt),
    'Content-Length: 4',
  ];
  return `${head.join('\r\n')}\r\n\r\nbody`;
}

it.each(['order', 'fit', 'reply'])(
  'runs no request (%s) whose caller left while the process was busy',
  async (route) => {
    const targets = [
      await site.startTarget('desk', { id: 'desk-1' }),
      await site.startTarget('llm', { id: 'llm-1', model }),
    ];
    const { stream, lines } = createLineStream();
    const gateway = await site.startGateway('gw-1', createLogger('gw-1', 'info', stream));
    const port = Number(new URL(gateway.addresses.callers as string).port);
    const workerData = Array.from({ length: callers }, (_, id) => ({
      port,
      request: toRequest(route, id),
    }));
    const thread = new Worker(callerThread, { eval: true, workerData });
    await new Promise((resolve) => {
      thread.once('online', resolve);
    });
    thread.postMessage('go');
    const end = performance.now() + 600;
    while (performance.now() < end);
    await until(() => lines.filter((line) => line.includes('request ended')).length === callers);
    await thread.terminate();
    expect(targets.flatMap(({ runs }) => runs.map(({ requestId }) => requestId))).toEqual([]);
  },
);
