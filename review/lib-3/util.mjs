import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

/** Waits for a time in milliseconds. */
export const pause = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Polls until the condition holds; returns false when it did not within the time. */
export async function until(condition, timeoutMs = 15_000) {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await condition()) return true;
    await pause(20);
  }
  return false;
}

/** Finds a free TCP port of the loopback address. */
export const freePort = () =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** Finds a free UDP port of the loopback address. */
export const freeUdpPort = () =>
  new Promise((resolve, reject) => {
    const socket = createSocket('udp4');
    socket.once('error', reject);
    socket.bind(0, '127.0.0.1', () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
