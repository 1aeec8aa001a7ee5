import { write } from 'node:fs';
import { Writable } from 'node:stream';

/** Stream for log lines that never blocks its writer. */
export interface LogStream {
  readonly stream: Writable;
  /** Lines dropped because the reader was too slow; a failed write counts as one. */
  readonly dropped: number;
  /** Writes later lines almost at once, because the process may be killed soon. */
  shortenDelay(): void;
  /** Writes the buffered lines; resolves when they are written or after the timeout. */
  flush(timeoutMs: number): Promise<void>;
}

/** Lines are buffered for this time, so that a busy process writes only a few times a second. */
const flushIntervalMs = 200;

/** The same after `shortenDelay`. */
const shortIntervalMs = 10;

/**
 * Limit of the buffer, about 2,000 lines or some seconds of a busy process; further lines are
 * dropped.
 */
const maxBufferedBytes = 524_288;

/**
 * Creates a stream that writes to a file descriptor in the background. Node's own stream blocks the
 * process while a pipe is full, so a stalled reader would block every request.
 */
export function createLogStream(descriptor: number): LogStream {
  let bufferedLines: string[] = [];
  let bufferedBytes = 0;
  let dropped = 0;
  let reportedDrops = 0;
  let isWriting = false;
  let intervalMs = flushIntervalMs;
  let timer: NodeJS.Timeout | undefined;
  const flushWaiters: (() => void)[] = [];

  const finishWrite = (): void => {
    isWriting = false;
    if (bufferedLines.length > 0) startWrite();
    else for (const resolve of flushWaiters.splice(0)) resolve();
  };

  function startWrite(): void {
    clearTimeout(timer);
    timer = undefined;
    if (isWriting || bufferedLines.length === 0) return;
    isWriting = true;
    if (dropped > reportedDrops) {
      bufferedLines.push(
        `${JSON.stringify({ name: 'cicadatide', level: 40, dropped, msg: 'log lines dropped' })}\n`,
      );
      reportedDrops = dropped;
    }
    const bytes = Buffer.from(bufferedLines.join(''));
    bufferedLines = [];
    bufferedBytes = 0;
    const writeFrom = (offset: number): void => {
      write(descriptor, bytes, offset, bytes.length - offset, null, (err, written) => {
        // A write error can't be logged to the same descriptor, so it is counted as a dropped line.
        if (err) dropped += 1;
        if (err || offset + written >= bytes.length) finishWrite();
        else writeFrom(offset + written);
      });
    };
    writeFrom(0);
  }

  const stream = new Writable({
    decodeStrings: false,
    write(line: string, _encoding, done) {
      if (bufferedBytes + line.length > maxBufferedBytes) dropped += 1;
      else {
        bufferedLines.push(String(line));
        bufferedBytes += line.length;
        timer ??= setTimeout(startWrite, intervalMs);
      }
      done();
    },
  });

  return {
    stream,
    get dropped() {
      return dropped;
    },
    shortenDelay() {
      intervalMs = shortIntervalMs;
      startWrite();
    },
    flush(timeoutMs) {
      return new Promise((resolve) => {
        const limit = setTimeout(resolve, timeoutMs);
        flushWaiters.push(() => {
          clearTimeout(limit);
          resolve();
        });
        if (isWriting) return;
        if (bufferedLines.length === 0) for (const done of flushWaiters.splice(0)) done();
        else startWrite();
      });
    },
  };
}
