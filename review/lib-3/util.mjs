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

/** Ports below those that the system gives to outgoing connections. */
const firstPort = 20_000;
const portCount = 12_000;

const taken = new Set();

const isFree = (port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      const socket = createSocket('udp4');
      const finish = (result) => server.close(() => resolve(result));
      socket.once('error', () => finish(false));
      socket.bind(port, '127.0.0.1', () => socket.close(() => finish(true)));
    });
  });

/** Finds a port of the loopback address that is free for TCP and UDP. */
export async function freePort() {
  for (;;) {
    const port = firstPort + Math.floor(Math.random() * portCount);
    if (taken.has(port) || !(await isFree(port))) continue;
    taken.add(port);
    return port;
  }
}
