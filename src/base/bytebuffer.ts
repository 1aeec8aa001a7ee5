import { type Allowance } from './allowance.js';
import { type Disposable } from './lifecycle.js';

/** Why a buffer did not store a chunk: its own limit, or the allowance that it shares. */
export type BufferOverflow = 'too-long' | 'no-memory';

/**
 * Collects chunks in blocks of its own. A chunk of a network read is a view that keeps the whole read
 * in memory, and each view takes about 100 bytes of heap, so that a body of one-byte chunks would
 * need many times its length.
 */
export interface ByteBuffer extends Disposable {
  readonly length: number;
  /** Copies the chunk; stores nothing of it when the result is not undefined. */
  push(chunk: Buffer): BufferOverflow | undefined;
  /** Returns the bytes and empties the buffer; its memory counts as held until `dispose`. */
  take(): Buffer;
  /** Empties the buffer and releases its memory; it can be used again. */
  dispose(): void;
}

export interface ByteBufferOptions {
  /** Largest length in bytes. */
  readonly maxBytes: number;
  /** Memory in bytes that the buffer has without the allowance. */
  readonly ownBytes: number;
  readonly allowance: Allowance;
}

const minBlockBytes = 1_024;

const maxBlockBytes = 65_536;

export function createByteBuffer({ maxBytes, ownBytes, allowance }: ByteBufferOptions): ByteBuffer {
  let blocks: Buffer[] = [];
  let length = 0;
  /** Bytes in the last block. */
  let used = 0;
  let allocatedBytes = 0;
  let takenBytes = 0;

  const addBlock = (bytes: number): boolean => {
    const excess = Math.max(0, allocatedBytes + bytes - ownBytes) - takenBytes;
    if (excess > 0) {
      if (!allowance.tryTake(excess)) return false;
      takenBytes += excess;
    }
    allocatedBytes += bytes;
    blocks.push(Buffer.allocUnsafeSlow(bytes));
    used = 0;
    return true;
  };

  return {
    get length() {
      return length;
    },
    push(chunk) {
      if (length + chunk.length > maxBytes) return 'too-long';
      const last = blocks.at(-1);
      const stored = last ? Math.min(chunk.length, last.length - used) : 0;
      const rest = chunk.length - stored;
      const filledTo = used;
      if (rest > 0) {
        const growth = Math.min(maxBlockBytes, Math.max(minBlockBytes, allocatedBytes));
        if (!addBlock(Math.max(rest, growth))) return 'no-memory';
        used = chunk.copy(blocks.at(-1) as Buffer, 0, stored);
      } else used += stored;
      if (last) chunk.copy(last, filledTo, 0, stored);
      length += chunk.length;
      return undefined;
    },
    take() {
      const [first] = blocks;
      const bytes =
        blocks.length === 1 && first
          ? first.subarray(0, length)
          : Buffer.concat(blocks).subarray(0, length);
      blocks = [];
      length = 0;
      used = 0;
      return bytes;
    },
    dispose() {
      allowance.release(takenBytes);
      takenBytes = 0;
      allocatedBytes = 0;
      blocks = [];
      length = 0;
      used = 0;
    },
  };
}
