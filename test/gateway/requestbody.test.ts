import { type IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';
import { createAllowance } from '../../src/base/allowance.js';
import { createByteBuffer } from '../../src/base/bytebuffer.js';
import { readBody } from '../../src/gateway/requestbody.js';

const bodyBytes = 300_000;

/** Memory that a process may hold for a body beyond its length: less than one object for each byte. */
const overheadBytes = 10_000_000;

setFlagsFromString('--expose-gc');

const collectGarbage = runInNewContext('gc') as () => void;

const heldBytes = (): number => {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

describe('a body in chunks of one byte', () => {
  // Guards against callers that make the process hold many times the bytes that they send.
  it('takes about its length of memory and is read whole', async () => {
    const req = new PassThrough();
    const allowance = createAllowance(2 * bodyBytes);
    const buffer = createByteBuffer({ maxBytes: bodyBytes, ownBytes: 0, allowance });
    const body = readBody(req as unknown as IncomingMessage, buffer);
    const before = heldBytes();
    for (let sent = 0; sent < bodyBytes; sent += 1) req.emit('data', Buffer.from('a'));
    expect(heldBytes() - before).toBeLessThan(overheadBytes);
    req.emit('end');
    expect((await body)?.length).toBe(bodyBytes);
  });
});
