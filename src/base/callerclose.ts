import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type CancellationSource, createCancellationSource } from './cancellation.js';

/**
 * Creates a source that is cancelled when the caller closes its connection before the response is
 * finished. `isResponseEnded` returns true for a response that was sent in full or aborted on
 * purpose.
 */
export function cancelOnClose(
  { socket }: IncomingMessage,
  res: ServerResponse,
  isResponseEnded: () => boolean = () => false,
): CancellationSource {
  const source = createCancellationSource();
  const onDisconnect = (): void => {
    if (!res.writableFinished && !isResponseEnded()) source.cancel('caller disconnected');
  };
  // The socket's end event arrives some event loop iterations before the response's close event.
  socket.once('end', onDisconnect);
  res.once('close', () => {
    socket.off('end', onDisconnect);
    onDisconnect();
  });
  return source;
}
