import { Readable } from 'node:stream';
import { Agent, request } from 'undici';
import { toTargetError } from '../../base/connections.js';
import { type Disposable } from '../../base/lifecycle.js';
import { type HeaderList, type ServicePort } from '../../ports/service.js';

const connectTimeoutMs = 1_000;

function toHeaderList(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): HeaderList {
  const list: (readonly [string, string])[] = [];
  for (const [name, value] of Object.entries(headers)) {
    for (const item of [value ?? []].flat()) list.push([name, item]);
  }
  return list;
}

/** Creates the adapter for a service that is called over HTTP. */
export function createHttpService(baseUrl: string): ServicePort & Disposable {
  const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs }, connections: 256 });
  return {
    async send(req, token) {
      const hasBody = req.method !== 'GET' && req.method !== 'HEAD';
      try {
        const res = await request(`${baseUrl}${req.path}`, {
          method: req.method as 'POST',
          dispatcher,
          signal: token.signal,
          headers: req.headers.flatMap(([name, value]) => [name, value]),
          body: hasBody ? Readable.from(req.body) : null,
        });
        return {
          status: res.statusCode,
          headers: toHeaderList(res.headers),
          body: res.body as AsyncIterable<Uint8Array>,
        };
      } catch (err) {
        throw toTargetError(err, 'service');
      }
    },
    dispose() {
      dispatcher.destroy().catch(() => undefined);
    },
  };
}
