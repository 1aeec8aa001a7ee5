import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createAllowance } from '../../src/base/allowance.js';
import { createByteBuffer } from '../../src/base/bytebuffer.js';

it('returns the bytes of all chunks and releases its memory', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 5_000 }), { maxLength: 40 }), (chunks) => {
      const allowance = createAllowance(1_000_000);
      const buffer = createByteBuffer({ maxBytes: 1_000_000, ownBytes: 100, allowance });
      for (let use = 0; use < 2; use += 1) {
        for (const chunk of chunks) expect(buffer.push(Buffer.from(chunk))).toBeUndefined();
        const { length } = buffer;
        const bytes = buffer.take();
        expect(bytes).toEqual(Buffer.concat(chunks));
        expect(length).toBe(bytes.length);
        buffer.dispose();
        expect(allowance.heldBytes).toBe(0);
      }
    }),
  );
});

it('stores no chunk beyond its limit or the allowance', () => {
  const allowance = createAllowance(10_000);
  const options = { maxBytes: 9_000, ownBytes: 2_000, allowance };
  const [first, second] = [createByteBuffer(options), createByteBuffer(options)];
  expect(first.push(Buffer.alloc(9_001))).toBe('too-long');
  expect(first.push(Buffer.alloc(9_000))).toBeUndefined();
  expect(allowance.heldBytes).toBe(7_000);
  expect(second.push(Buffer.alloc(6_000))).toBe('no-memory');
  expect(second.length).toBe(0);
  expect(second.push(Buffer.alloc(2_000))).toBeUndefined();
  first.dispose();
  expect(second.push(Buffer.alloc(6_000))).toBeUndefined();
});

it('keeps one-byte chunks in memory of about their length', () => {
  const allowance = createAllowance(300_000);
  const buffer = createByteBuffer({ maxBytes: 262_144, ownBytes: 0, allowance });
  const byte = Buffer.alloc(65_536).subarray(0, 1);
  for (let index = 0; index < 262_144; index += 1) expect(buffer.push(byte)).toBeUndefined();
  expect(allowance.heldBytes).toBeLessThan(300_000);
  expect(buffer.push(byte)).toBe('too-long');
});
