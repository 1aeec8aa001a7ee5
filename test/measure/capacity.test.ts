import { createServer, connect, type AddressInfo } from 'node:net';
import { expect, test } from 'vitest';
import { fitLine } from '../../measure/capacity/figures.js';
import { createTrafficCounter } from '../../measure/capacity/traffic.js';

// Guards against a slope that includes the base cost of a process.
test('the fitted line separates the base cost from the cost per node', () => {
  const line = fitLine([
    [8, 108],
    [32, 132],
    [96, 196],
  ]);
  expect(line.slope).toBeCloseTo(1);
  expect(line.base).toBeCloseTo(100);
});

// Guards against counts that include other ports or only one direction.
test('bytes in both directions are counted by port', async () => {
  const traffic = createTrafficCounter();
  const server = createServer((socket) => socket.on('data', () => socket.end('12345')));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => {
    const client = connect(port, '127.0.0.1', () => client.write('123'));
    client.on('data', () => resolve());
  });
  // Client and server are in this process, so each byte is counted at both ends.
  expect(traffic.bytes(new Set([port]))).toBe(16);
  expect(traffic.bytes(new Set([1]))).toBe(0);
  server.close();
});
