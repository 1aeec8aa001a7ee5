import { type Socket } from 'node:net';
import { type Clock } from '../base/clock.js';

/** Time for the last bytes to leave before a connection is destroyed; within a site they take 2 ms. */
const lingerMs = 250;

/**
 * Ends a connection that is read no more. Such a socket does not notice that its peer has closed the
 * connection too, so it is destroyed a little later.
 */
export function closeSoon(clock: Clock, socket: Socket): void {
  socket.end();
  const linger = clock.setTimer(lingerMs, () => socket.destroy());
  socket.once('close', () => linger.dispose());
}
