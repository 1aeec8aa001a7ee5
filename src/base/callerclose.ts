import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type CancellationSource, createCancellationSource } from './cancellation.js';

/**
 * Creates a source that is cancelled when the caller closes its connection before the answer is
 * finished. `isOver` tells of an answer that was handed over whole or broken off on purpose.
 */
export function cancelOnClose(
  { socket }: IncomingMessage,
  res: ServerResponse,
  isOver: () => boolean = () => false,
): CancellationSource {
  const source = createCancellationSource();
  const onLeft = (): void => {
    if (!res.writableFinished && !isOver()) source.cancel('the caller left');
  };
  // The end of what the caller sends is known some iterations of the event loop before the close.
  socket.once('end', onLeft);
  res.once('close', () => {
    socket.off('end', onLeft);
    onLeft();
  });
  return source;
}
