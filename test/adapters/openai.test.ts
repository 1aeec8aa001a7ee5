import { createServer, type Server } from 'node:http';
import { type AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createOpenaiEngine, type OpenaiEngine } from '../../src/adapters/openai/engine.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { TargetFailedError } from '../../src/base/errors.js';
import { until } from '../standins/platform/site.js';

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** Starts an engine whose response begins as given and continues until its connection is closed. */
async function startEndlessEngine(status: number, beginning: string) {
  const state = { isClosed: false };
  server = createServer((_req, res) => {
    const filler = Buffer.alloc(65_536, 'a');
    const sendMore = (): void => {
      while (!res.destroyed && res.write(filler));
    };
    res.on('close', () => {
      state.isClosed = true;
    });
    res.on('drain', sendMore);
    res.writeHead(status);
    res.write(beginning);
    sendMore();
  });
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { engine: createOpenaiEngine(`http://127.0.0.1:${port}`), state };
}

async function complete(engine: OpenaiEngine): Promise<void> {
  const req = {
    requestId: 'r',
    kind: 'chat',
    body: Buffer.from('{}'),
    salt: '',
    weightsVersion: 1,
    priority: 0,
    deliveredTokens: 0,
    deliveredText: '',
  };
  const events = engine.complete(
    req as unknown as Parameters<OpenaiEngine['complete']>[0],
    noCancellation,
  );
  for await (const event of events) expect(event).toBeUndefined();
}

describe('an engine response without an end is aborted', () => {
  it.each<[string, number, string, (engine: OpenaiEngine) => Promise<unknown>]>([
    ['within an event', 200, 'data: ', complete],
    ['within an error response', 500, 'failed ', complete],
    ['within a JSON response', 200, '{"state":"', (engine) => engine.load(noCancellation)],
  ])('%s', async (_name, status, beginning, sendRequest) => {
    const { engine, state } = await startEndlessEngine(status, beginning);
    await expect(sendRequest(engine)).rejects.toBeInstanceOf(TargetFailedError);
    await until(() => state.isClosed);
    engine.dispose();
  });
});
