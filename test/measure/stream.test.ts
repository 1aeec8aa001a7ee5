import { expect, test } from 'vitest';
import { readStream } from '../../measure/load/stream.js';

async function* parts(text: string): AsyncGenerator<Uint8Array> {
  for (let at = 0; at < text.length; at += 7)
    yield new TextEncoder().encode(text.slice(at, at + 7));
}

// Guards against counting complete answers as truncated because their events carry an id line.
test('a stream whose events have ids is read to its end', async () => {
  const chunk = '{"choices":[{"delta":{"content":"w0 w1 "}}]}';
  const body = parts(`id: 1\ndata: ${chunk}\n\n: keep-alive\n\nid: 2\ndata: [DONE]\n\n`);
  const reading = await readStream(body, () => 5);
  expect(reading).toMatchObject({ text: 'w0 w1 ', tokens: 2, firstTokenMs: 5, done: true });
  expect(reading.endedCleanly).toBe(true);
});
