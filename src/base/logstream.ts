import { write } from 'node:fs';
import { Writable } from 'node:stream';

/** Stream for log lines that never blocks its writer. */
export interface LogStream {
  readonly stream: Writable;
  /** Lines that were dropped because the reader was too slow. */
  readonly dropped: number;
  /** Writes what is gathered; resolves when it is written or the time is over. */
  flush(timeoutMs: number): Promise<void>;
}

/** Time for which lines are gathered, so that a busy process writes a few times a second. */
const gatherMs = 200;

/** Lines beyond this are dropped: about 2,000 lines, some seconds of a busy process. */
const maxGatheredBytes = 524_288;

/**
 * Writes to a file descriptor in the background. Writes of Node to a pipe block the process while
 * the pipe is full, so a reader that stops would stop every request.
 */
export function createLogStream(descriptor: number): LogStream {
  let gathered: string[] = [];
  let gatheredBytes = 0;
  let dropped = 0;
  let reported = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  const waiting: (() => void)[] = [];

  const finish = (): void => {
    isWriting = false;
    if (gathered.length > 0) start();
    else for (const resolve of waiting.splice(0)) resolve();
  };

  function start(): void {
    clearTimeout(timer);
    timer = undefined;
    if (isWriting || gathered.length === 0) return;
    isWriting = true;
    if (dropped > reported) {
      gathered.push(
        `${JSON.stringify({ name: 'cicadatide', level: 40, dropped, msg: 'log lines dropped' })}\n`,
      );
      reported = dropped;
    }
    const bytes = Buffer.from(gathered.join(''));
    gathered = [];
    gatheredBytes = 0;
    const writeRest = (offset: number): void => {
      write(descriptor, bytes, offset, bytes.length - offset, null, (err, written) => {
        // Nothing can be logged about a log that can't be written, so its lines are counted.
        if (err) dropped += 1;
        if (err || offset + written >= bytes.length) finish();
        else writeRest(offset + written);
      });
    };
    writeRest(0);
  }

  const stream = new Writable({
    decodeStrings: false,
    write(line: string, _encoding, done) {
      if (gatheredBytes + line.length > maxGatheredBytes) dropped += 1;
      else {
        gathered.push(String(line));
        gatheredBytes += line.length;
        timer ??= setTimeout(start, gatherMs);
      }
      done();
    },
  });

  return {
    stream,
    get dropped() {
      return dropped;
    },
    flush(timeoutMs) {
      return new Promise((resolve) => {
        const limit = setTimeout(resolve, timeoutMs);
        waiting.push(() => {
          clearTimeout(limit);
          resolve();
        });
        if (isWriting) return;
        if (gathered.length === 0) for (const done of waiting.splice(0)) done();
        else start();
      });
    },
  };
}
