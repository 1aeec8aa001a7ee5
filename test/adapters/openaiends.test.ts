import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createOpenaiEngine } from '../../src/adapters/openai/engine.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { type EngineRequest } from '../../src/ports/engine.js';

let server: Server | undefined;

afterEach(() => {
  server?.close();
});

async function startEngine(respond: (socket: Socket) => void) {
  const listening = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  server = listening;
  await new Promise<void>((resolve) => {
    listening.listen(0, '127.0.0.1', resolve);
  });
  return createOpenaiEngine(`http://127.0.0.1:${(listening.address() as AddressInfo).port}`);
}

/** Kinds of the events of a completion, and `failed` when it fails. */
async function completeAt(respond: (socket: Socket) => void): Promise<readonly string[]> {
  const engine = await startEngine(respond);
  const kinds: string[] = [];
  const req = { requestId: 'r', kind: 'chat', body: Buffer.from('{}'), deliveredTokens: 0 };
  try {
    const events = engine.complete(req as unknown as EngineRequest, noCancellation);
    for await (const { kind } of events) kinds.push(kind);
  } catch {
    kinds.push('failed');
  } finally {
    engine.dispose();
  }
  return kinds;
}

const text = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';

// Guards against a part of a response, or one with an invalid status, that counts as a completion (MIXED).
describe('a completion of an engine', () => {
  it.each(['000 Odd', '099 Odd'])('fails when its status is %s', async (status) => {
    const head = `HTTP/1.1 ${status}\r\nContent-Length: ${text.length}\r\n\r\n`;
    expect(await completeAt((socket) => socket.write(head + text))).toEqual(['failed']);
  });

  it('has no end when the connection of a response without a length is reset', async () => {
    const kinds = await completeAt((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${text}`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    expect(kinds).not.toContain('end');
    expect(kinds[0]).toBe('text');
  });
});
