import { Agent, request } from 'node:http';
import { host, key } from './site.mjs';
import { pause } from './util.mjs';

/** Requests of one ordinary caller on a kept connection. */
async function sendOrders({ port, isOver, onResult }, caller) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let count = 0; !isOver(); count += 1) {
    const requestId = `${caller.toString(16).padStart(4, '0')}${count.toString(16).padStart(12, '0')}`;
    const result = await new Promise((resolve) => {
      const req = request({
        agent,
        host: '127.0.0.1',
        port,
        method: 'POST',
        path: '/reserve/x',
        headers: {
          Host: host,
          'X-Request-Id': requestId,
          'X-Deadline-Ms': '1500',
          'X-Api-Key': key,
        },
      });
      const timer = setTimeout(() => req.destroy(new Error('deadline')), 1_500);
      const finish = (status, end) => {
        clearTimeout(timer);
        resolve({ requestId, status, end, isKept: req.reusedSocket });
      };
      req.on('error', (err) => finish(0, err.message));
      req.on('response', (res) => {
        res.resume();
        res.on('error', () => finish(res.statusCode, 'broken'));
        res.on('end', () => finish(res.statusCode, 'complete'));
      });
      req.end('{}');
    });
    onResult(result);
    await pause(result.status === 0 ? 200 : 10);
  }
  agent.destroy();
}

/** Orders that may run once, sent by callers on kept connections until `isOver`. */
export function startOrders({ port, count, isOver }) {
  const results = [];
  const onResult = (result) => results.push(result);
  const callers = Array.from({ length: count }, (_, caller) =>
    sendOrders({ port, isOver, onResult }, caller),
  );
  return { results, ended: Promise.all(callers) };
}

/** Orders of kept connections that ran and whose connection was closed without an answer. */
export function findLost(results, engines) {
  const ran = new Set(engines.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
  return results.filter(
    ({ requestId, status, isKept }) => status === 0 && isKept && ran.has(requestId),
  );
}
