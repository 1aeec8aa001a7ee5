import { Agent, request } from 'node:http';
import { host } from './site.mjs';

let count = 0;

/** A connection that a client keeps open for its requests. */
export const keptConnection = () => new Agent({ keepAlive: true, maxSockets: 1 });

/**
 * Sends a request as a client of the platform and resolves with what came back: the status (0 for a
 * connection that was closed without one), the body, and whether the response was complete by its
 * framing.
 */
export function send(gateway, path, options = {}) {
  const { headers = {}, method = 'POST', body, agent = false, deadlineMs = 12_000 } = options;
  count += 1;
  const requestId = options.requestId ?? `c${String(count).padStart(4, '0')}`;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const chunks = [];
    const result = { requestId, sentAt, status: 0, headers: {}, isComplete: false };
    const finish = (changes) =>
      resolve({ ...result, ...changes, body: Buffer.concat(chunks), endedAt: performance.now() });
    const req = request({
      agent,
      host: '127.0.0.1',
      port: gateway.front,
      method,
      path,
      headers: {
        Host: host,
        'X-Request-Id': requestId,
        'X-Deadline-Ms': String(deadlineMs),
        'X-Api-Key': 'key-a',
        ...headers,
      },
    });
    const limit = setTimeout(() => req.destroy(new Error('deadline of the client')), deadlineMs);
    req.on('error', (err) => {
      clearTimeout(limit);
      finish({ error: err.message });
    });
    req.on('response', (res) => {
      Object.assign(result, { status: res.statusCode, headers: res.headers });
      res.on('data', (chunk) => {
        chunks.push(chunk);
        options.onData?.(chunk);
      });
      res.on('error', () => undefined);
      res.on('close', () => {
        clearTimeout(limit);
        finish({ isComplete: res.complete });
      });
    });
    req.end(body);
  });
}
