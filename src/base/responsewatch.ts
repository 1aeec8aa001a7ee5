import { type ClientRequest, type IncomingMessage } from 'node:http';
import { type Socket } from 'node:net';
import { createHandlerGuard } from './handlerguard.js';
import { type Disposable } from './lifecycle.js';
import { isFinalStatus } from './responsehead.js';
import { ResponseLimitError } from './responselimits.js';

/** Watches the bytes of one response. */
export interface ResponseWatch extends Disposable {
  /** Bytes received so far, including heads and framing. */
  readonly receivedBytes: number;
}

/** Informational (1xx) responses that may precede the final one. Targets usually send none. */
const maxInformationalResponses = 16;

/**
 * Limit of the bytes that belong to no body: heads, blank lines before them, sizes and extensions of
 * chunks, and trailers. Node's parser limits one head to 16 KiB and skips the other bytes without
 * limit. Chunks may have as many bytes of framing as of content beyond this.
 */
const maxOverheadBytes = 32_768;

/**
 * Limit of the framing of chunks, which is checked while a read is being parsed: a read of 64 KiB in
 * one-byte chunks takes the process 20 ms. An event of one token has at least 15 bytes.
 */
const maxChunkFramingBytes = 4_096;

/** Least framing of a chunk: its size in one digit and two line ends. */
const minChunkFramingBytes = 5;

/**
 * Calls `fail` when a response has no final status, and with a {@link ResponseLimitError} when it has
 * too many bytes that are no body. `fail` has to close the connection and dispose the watch.
 */
export function watchResponse(req: ClientRequest, fail: (err: Error) => void): ResponseWatch {
  let socket: Socket | undefined;
  let response: IncomingMessage | undefined;
  /** Bytes of earlier responses on the connection. */
  let bytesBefore = 0;
  let bodyBytes = 0;
  let framingBytes = 0;
  let informationalResponses = 0;
  let isDisposed = false;
  const guard = createHandlerGuard((err) => {
    if (!isDisposed) fail(err);
  });

  const receivedBytes = (): number => (socket?.bytesRead ?? 0) - bytesBefore;

  const giveUp = (cause: string): void => {
    isDisposed = true;
    fail(new ResponseLimitError(cause));
  };

  // Runs after the parser has processed the same bytes.
  const onRead = guard(() => {
    if (isDisposed || response?.complete) return;
    const body = bodyBytes + (response?.readableLength ?? 0);
    if (receivedBytes() - body <= maxOverheadBytes + body) return;
    giveUp(`response has more than ${maxOverheadBytes} bytes that are no body`);
  });

  req.on(
    'socket',
    guard((assigned) => {
      if (isDisposed) return;
      socket = assigned;
      bytesBefore = assigned.bytesRead;
      assigned.on('data', onRead);
    }),
  );
  req.on(
    'information',
    guard(() => {
      informationalResponses += 1;
      if (isDisposed || informationalResponses <= maxInformationalResponses) return;
      giveUp(`more than ${maxInformationalResponses} informational responses without a final one`);
    }),
  );
  const refuseStatus = (status: number | undefined): void => {
    if (!isDisposed) fail(new Error(`response has status ${status}, which is not a final one`));
  };
  // Without a listener Node closes the connection and reports neither a response nor an error.
  req.on(
    'upgrade',
    guard((res, upgraded) => {
      upgraded.destroy();
      refuseStatus(res.statusCode);
    }),
  );
  req.on(
    'response',
    guard((res) => {
      response = res;
      if (!isFinalStatus(res.statusCode)) {
        refuseStatus(res.statusCode);
        return;
      }
      const isChunked = res.headers['transfer-encoding'] !== undefined;
      res.on(
        'data',
        guard((chunk: Buffer) => {
          bodyBytes += chunk.length;
          if (!isChunked) return;
          framingBytes += minChunkFramingBytes;
          if (isDisposed || framingBytes <= maxChunkFramingBytes + bodyBytes) return;
          giveUp(`chunks have more than ${maxChunkFramingBytes} bytes of framing`);
        }),
      );
      // Without it, chunks in the read that also has the head are only delivered after all of them.
      res.read(0);
    }),
  );
  return {
    get receivedBytes() {
      return receivedBytes();
    },
    dispose() {
      isDisposed = true;
      socket?.off('data', onRead);
    },
  };
}
