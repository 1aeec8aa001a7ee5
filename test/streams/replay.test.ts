import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { createCancellationSource, noCancellation } from '../../src/base/cancellation.js';
import { type Chunk, ChunkSchema } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createReplayBuffer, type ReplayOptions } from '../../src/streams/replay.js';
import { createManualClock } from '../standins/clock.js';

function createBuffer(options: ReplayOptions = {}) {
  return createReplayBuffer(
    'request',
    2,
    (fields) => create(ChunkSchema, { requestId: 'request', attempt: 2, ...fields }),
    options,
  );
}

const text = (value: string): Chunk['part'] =>
  create(ChunkSchema, { part: { case: 'text', value: { text: value, tokens: 1 } } }).part;

async function readSeqs(iterator: AsyncIterator<Chunk>, count: number): Promise<number[]> {
  const seqs: number[] = [];
  while (seqs.length < count) seqs.push((await iterator.next()).value.seq as number);
  return seqs;
}

// Guards against unbounded memory, and against a resume that silently skips dropped chunks.
test('chunks outside the window of the slowest reader are dropped and cannot be read', async () => {
  const buffer = createBuffer({ windowChunks: 4 });
  for (let at = 0; at < 20; at += 1) buffer.append(text('x'));
  const slow = buffer.read(0, noCancellation)[Symbol.asyncIterator]();
  const fast = buffer.read(0, noCancellation)[Symbol.asyncIterator]();
  await readSeqs(slow, 3);
  await readSeqs(fast, 20);
  expect(buffer.firstSeq).toBe(1);
  await readSeqs(slow, 17);
  expect(buffer.firstSeq).toBeGreaterThan(10);
  const early = buffer.read(2, noCancellation)[Symbol.asyncIterator]();
  await expect(early.next()).rejects.toThrow('keeps chunks');
  const late = buffer.read(18, noCancellation)[Symbol.asyncIterator]();
  expect(await readSeqs(late, 2)).toEqual([19, 20]);
});

// Guards against an engine that gets ahead of the slowest of several readers without bound.
test('the writer waits for the slowest reader but not for a closed one', async () => {
  const buffer = createBuffer();
  const source = createCancellationSource();
  const slow = buffer.read(0, source.token)[Symbol.asyncIterator]();
  const fast = buffer.read(0, noCancellation)[Symbol.asyncIterator]();
  for (let at = 0; at < 8; at += 1) buffer.append(text('x'));
  await readSeqs(slow, 1);
  await readSeqs(fast, 8);
  let hasRoom = false;
  const capacityAvailable = buffer.waitForRoom(4, noCancellation).then(() => {
    hasRoom = true;
  });
  await readSeqs(slow, 2);
  expect(hasRoom).toBe(false);
  source.cancel();
  await slow.next();
  await slow.return?.();
  await readSeqs(fast, 0);
  buffer.append(text('x'));
  await readSeqs(fast, 1);
  await capacityAvailable;
  expect(buffer.readerCount).toBe(1);
});

// Guards against a continuation that restarts the numbers or sends nothing while it is queued.
test('a continuation replays earlier chunks, continues the numbers and reports progress', async () => {
  const clock = createManualClock();
  const delivered = [7, 8].map((seq) =>
    create(ChunkSchema, { requestId: 'request', attempt: 1, seq, part: text(`t${seq}`) }),
  );
  const progress = (): Chunk['part'] =>
    create(ChunkSchema, { part: { case: 'progress', value: { target: 'engine-1' } } }).part;
  const buffer = createBuffer({ clock, progress, delivered });
  buffer.append(text('t9'));
  const seen: string[] = [];
  const read = async (): Promise<void> => {
    for await (const { seq, attempt, part } of buffer.read(6, noCancellation)) {
      seen.push(`${seq} ${attempt} ${part.case}`);
    }
  };
  read().catch(() => undefined);
  await clock.advance(1_200);
  expect(seen).toEqual([
    '9 2 progress',
    '7 2 text',
    '8 2 text',
    '9 2 text',
    '9 2 progress',
    '9 2 progress',
  ]);
});
