import { createServer } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { expect, it } from 'vitest';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
} from '../standins/site.js';

/** As many as the agent runs at once; together more than the buffers of a connection take. */
const answerCount = 16;

const answerBytes = 1_000_000;

/** Does not occur in heads. */
const bodyByte = 1;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

// Guards against a drain that cuts responses which the caller has not read yet.
it('an entry that drains sends its complete responses to a caller that reads late', async () => {
  const service = createServer((req, res) => {
    req.resume();
    res.setHeader('content-type', 'application/octet-stream');
    res.end(req.url?.endsWith('/ready') ? '' : Buffer.alloc(answerBytes, bodyByte));
  });
  await new Promise<void>((resolve) => {
    service.listen(0, '127.0.0.1', resolve);
  });
  const agent = await startSiteAgent({
    name: 'desk-1',
    kind: 'service',
    url: `http://127.0.0.1:${(service.address() as AddressInfo).port}`,
    service: 'desk',
  });
  const entry = await startSiteEntry({
    name: 'entry-1',
    agents: [agent.addresses.internal],
    configuration: siteRecords(['red'], [], ['desk']),
  });
  await waitForRoute(entry.addresses.callers ?? '', 'red', '/services/desk/ready', {});
  const socket = connect(Number(new URL(entry.addresses.callers ?? '').port), '127.0.0.1');
  socket.pause();
  for (let index = 0; index < answerCount; index += 1) {
    const lines = ['POST /services/desk/x HTTP/1.1', 'Host: entry.test', 'Content-Length: 2'];
    lines.push(`Authorization: Bearer ${teamKey('red')}`, `X-Request-Id: request-${index}`);
    socket.write([...lines, 'Content-Type: application/json', '', '{}'].join('\r\n'));
  }
  await pause(2_000);
  const drained = entry.drain();
  await pause(1_000);
  let received = 0;
  socket.on('data', (bytes: Buffer) => {
    for (const byte of bytes) if (byte === bodyByte) received += 1;
  });
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  socket.resume();
  await closed;
  await drained;
  agent.stop();
  service.closeAllConnections();
  service.close();
  expect(received).toBe(answerCount * answerBytes);
});
