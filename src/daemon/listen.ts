import { type Server } from 'node:http';
import { type AddressInfo } from 'node:net';
import { type HostPort } from '../base/address.js';

/** Starts an HTTP listener and returns its URL with the port in use. */
export async function listenHttp(server: Server, bind: HostPort): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(bind.port, bind.host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  const { port } = server.address() as AddressInfo;
  return `http://${bind.host}:${port}`;
}

/** Stops accepting connections and closes the idle ones; resolves when all are closed. */
export function closeHttp(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
