import { expect, test } from 'vitest';
import { readStream } from '../../measure/load/stream.js';

async function* inPieces(text: string, size: number): AsyncGenerator<Uint8Array> {
  const bytes = Buffer.from(text);
  for (let from = 0; from < bytes.length; from += size) yield bytes.subarray(from, from + size);
}

// Guards against skipped events with an id line, which make complete responses look truncated.
test.each([1, 7, 1_000])('reads events with an id from chunks of %d bytes', async (size) => {
  const chunk = (content: string): string => JSON.stringify({ choices: [{ delta: { content } }] });
  const stream = `id: 1\ndata: ${chunk('é1 ')}\n\nid: 2\ndata: ${chunk('w2 ')}\n\ndata: [DONE]\n\n`;
  const response = await readStream(inPieces(stream, size), () => 5);
  expect(response).toMatchObject({ text: 'é1 w2 ', tokens: 2, done: true, endedCleanly: true });
});
