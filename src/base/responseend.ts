import { type ClientRequest, type IncomingMessage } from 'node:http';
import { type Socket } from 'node:net';
import { createHandlerGuard } from './handlerguard.js';

/** A response without a length or a transfer coding ends with its connection. */
export function isCloseDelimited({ headers }: Pick<IncomingMessage, 'headers'>): boolean {
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  return length === undefined && coding === undefined;
}

/**
 * Node reports a reset that arrives together with the last bytes as a normal end of the connection.
 * The operating system has no peer address for a connection that was reset. The address must not be
 * read earlier, because Node caches the first result.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Calls `fail` before the end of a response that ends with its connection, when that end doesn't show
 * that the response is whole: the connection was reset, or its server closed it without having read
 * the request, which resets it with the next bytes that are sent. Call it when the head arrives.
 */
export function watchResponseEnd(
  req: ClientRequest,
  res: IncomingMessage,
  fail: (err: Error) => void,
): void {
  if (!isCloseDelimited(res)) return;
  const onConnectionEnd = (): void => {
    if (isReset(res.socket)) fail(new Error('connection was reset'));
    else if (!req.writableFinished)
      fail(new Error('connection ended before the server had read the request'));
  };
  res.socket.prependOnceListener('end', createHandlerGuard(fail)(onConnectionEnd));
}
