import { request } from 'node:http';

let nextId = 1;

/** Sends one request on a new connection, as a client of the platform does. */
export function sendRequest({ port, host, path, key, deadlineMs, method = 'POST', headers = {} }) {
  const requestId = `${process.pid.toString(16)}${(nextId += 1).toString(16).padStart(8, '0')}`;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let text = '';
    let isSettled = false;
    const finish = (end) => {
      if (isSettled) return;
      isSettled = true;
      resolve({ requestId, status, text, end, tookMs: performance.now() - sentAt });
    };
    const req = request({
      agent: false,
      host: '127.0.0.1',
      port,
      method,
      path,
      headers: {
        Host: host,
        'X-Request-Id': requestId,
        'X-Deadline-Ms': String(deadlineMs),
        'X-Api-Key': key,
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      req.destroy();
      finish('deadline');
    }, deadlineMs);
    req.on('error', () => {
      clearTimeout(timer);
      finish('broken');
    });
    req.on('response', (res) => {
      status = res.statusCode;
      res.on('data', (chunk) => {
        text += chunk.toString('utf8');
      });
      res.on('error', () => finish('broken'));
      res.on('end', () => {
        clearTimeout(timer);
        finish(res.complete ? 'complete' : 'broken');
      });
    });
    req.end(method === 'GET' ? undefined : '{}');
  });
}

/** Sends a streaming request with a prompt whose last part is its own, or all parts (`isUnique`). */
export const sendPrompt = ({ model, tokens = [900, 4], isUnique = false, ...options }) =>
  sendRequest({
    ...options,
    headers: {
      'X-Model': model,
      'X-Token-Count': tokens.join(','),
      'X-Prompt-Prefix': `${isUnique ? (nextId * 104729).toString(16) : 'aa'}:${tokens[0] - 400},${(nextId * 7919).toString(16)}:400`,
    },
  });
