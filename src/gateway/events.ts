import { type BufferOverflow, type ByteBuffer } from '../base/bytebuffer.js';

/** Complete events of a stream, and the id of the last of them. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

/**
 * Splits a stream of server-sent events at the ends of events, so that a stream that breaks in the
 * middle of an event can resume after the last complete one.
 */
export interface EventSplitter {
  /** Bytes of an event that is not complete yet. */
  readonly pendingBytes: number;
  /** Set once an incomplete event could not be stored. */
  readonly overflow: BufferOverflow | undefined;
  /** Returns the events that this chunk completes. */
  push(chunk: Buffer): EventBatch | undefined;
}

const lineFeed = 0x0a;

const carriageReturn = 0x0d;

/** Index after the last blank line, or 0 if there is none. */
function endOfEvents(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== lineFeed) continue;
    const before = bytes[index - 1];
    if (before === lineFeed) return index + 1;
    if (before === carriageReturn && index > 1 && bytes[index - 2] === lineFeed) return index + 1;
  }
  return 0;
}

/** Number of complete events in a batch: of blank lines that end them. */
export function countEvents(bytes: Buffer): number {
  let count = 0;
  for (let at = bytes.indexOf(lineFeed); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    const next = bytes[at + 1];
    if (next === lineFeed || (next === carriageReturn && bytes[at + 2] === lineFeed)) count += 1;
  }
  return count;
}

/** Id of the last event that has one. */
function lastIdOf(bytes: Buffer): string | undefined {
  let at = bytes.lastIndexOf('id:');
  while (at > 0 && bytes[at - 1] !== lineFeed) at = bytes.lastIndexOf('id:', at - 1);
  if (at < 0) return undefined;
  const end = bytes.indexOf('\n', at);
  return bytes.toString('latin1', at + 3, end < 0 ? bytes.length : end).trim();
}

/** Last pending bytes that may begin a blank line which the next chunk ends: LF, CR, LF. */
const overlapBytes = 2;

/** Creates a splitter that stores incomplete events in `pending`. */
export function createEventSplitter(pending: ByteBuffer): EventSplitter {
  let overflow: BufferOverflow | undefined;
  let overlap: Buffer = Buffer.alloc(0);

  const append = (bytes: Buffer): void => {
    if (bytes.length === 0) return;
    overflow ??= pending.push(bytes);
    const tail = bytes.subarray(-overlapBytes);
    overlap = Buffer.concat([overlap, tail]).subarray(-overlapBytes);
  };

  return {
    get pendingBytes() {
      return pending.length;
    },
    get overflow() {
      return overflow;
    },
    push(chunk) {
      // Searches only the new bytes, so that an event in many chunks costs no more than one in few.
      const searched = overlap.length > 0 ? Buffer.concat([overlap, chunk]) : chunk;
      const end = endOfEvents(searched) - overlap.length;
      if (end <= 0) {
        append(chunk);
        return undefined;
      }
      const last = chunk.subarray(0, end);
      const bytes = pending.length > 0 ? Buffer.concat([pending.take(), last]) : last;
      pending.dispose();
      overlap = Buffer.alloc(0);
      append(chunk.subarray(end));
      return { bytes, lastId: lastIdOf(bytes) };
    },
  };
}
