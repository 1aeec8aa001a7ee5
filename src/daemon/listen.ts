import { type Server } from 'node:http';
import { type AddressInfo } from 'node:net';
import { type HostPort, toListenError } from '../base/address.js';

/** Starts an HTTP listener and returns its URL with the port in use. */
export async function listenHttp(server: Server, bind: HostPort): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    const onError = (err: Error): void => reject(toListenError(bind, err));
    server.once('error', onError);
    server.listen(bind.port, bind.host, () => {
      server.off('error', onError);
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
