import { type Socket } from 'node:net';

/** Feeds the bytes of one connection to the parser of its HTTP server in small parts. */
export interface PacedReader {
  /** Bytes that were received and not parsed yet. */
  readonly unparsedBytes: number;
  /** Parses further bytes, if there are any and the connection may go on. */
  proceed(): void;
  /** Drops the bytes that were not parsed and reads no more. */
  stop(): void;
}

export interface PacedReaderOptions {
  /** Returns true while a further part may be parsed. */
  mayParse(): boolean;
  /** Largest length of the next part in bytes. */
  partBytes(): number;
  /** Called after each part that was parsed. */
  onParsed(bytes: number): void;
  /** Called when the number of unparsed bytes has changed. */
  onUnparsed(change: number): void;
}

/**
 * Takes the place of the parser as the reader of the socket. Node.js parses a whole read of 64 KB at
 * once, which can hold 3,600 requests, and emits each of them; it can't be stopped in between.
 * Returns undefined when the socket has no parser.
 */
export function paceReader(socket: Socket, options: PacedReaderOptions): PacedReader | undefined {
  const { mayParse, partBytes, onParsed, onUnparsed } = options;
  const [parse] = socket.listeners('data');
  if (!parse) return undefined;
  let rest: Buffer | undefined;
  let isStopped = false;
  let isParsing = false;

  const setRest = (next: Buffer | undefined): void => {
    const change = (next?.length ?? 0) - (rest?.length ?? 0);
    rest = next;
    if (change !== 0) onUnparsed(change);
  };

  const canParse = (): boolean =>
    !isStopped && !socket.destroyed && !socket.isPaused() && mayParse();

  const proceed = (): void => {
    if (isParsing) return;
    isParsing = true;
    while (rest && canParse()) {
      const bytes = Math.min(rest.length, partBytes());
      const part = rest.subarray(0, bytes);
      setRest(bytes === rest.length ? undefined : rest.subarray(bytes));
      parse.call(socket, part);
      onParsed(bytes);
    }
    isParsing = false;
    if (isStopped || socket.destroyed) setRest(undefined);
    if ((rest || isStopped) && !socket.destroyed) socket.pause();
  };

  // The added listener makes Node.js read through the stream; before, its parser read by itself.
  socket.on('data', (chunk: Buffer) => {
    if (isStopped) return;
    setRest(rest ? Buffer.concat([rest, chunk]) : chunk);
    proceed();
  });
  socket.removeListener('data', parse as (chunk: Buffer) => void);
  // Node.js resumes the socket when a request is read on or a response has left it.
  socket.on('resume', () => {
    if (isStopped || (rest && !mayParse())) socket.pause();
    else proceed();
  });
  socket.once('close', () => setRest(undefined));

  return {
    get unparsedBytes() {
      return rest?.length ?? 0;
    },
    proceed() {
      if (rest && !isStopped && mayParse()) socket.resume();
    },
    stop() {
      isStopped = true;
      if (isParsing) return;
      setRest(undefined);
      socket.pause();
    },
  };
}
