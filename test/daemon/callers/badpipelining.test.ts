import { connect } from 'node:net';
import { expect, it } from 'vitest';
import { startEngine } from '../../standins/engine.js';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
} from '../../standins/site.js';

const model = 'test-model';

// Guards against a refusal that an entry writes into a stream of the same connection.
it('puts no refusal of bad bytes into a running stream', async () => {
  const engine = await startEngine({ model, places: 4, decodeTokensPerSecond: 100 });
  const agent = await startSiteAgent({ name: 'engine-1', url: engine.url });
  const entry = await startSiteEntry({
    name: 'entry-1',
    agents: [agent.addresses.internal],
    configuration: siteRecords(['red'], [model], []),
  });
  const callers = entry.addresses.callers ?? '';
  await waitForRoute(callers, 'red', '/v1/completions', { model, prompt: 'x', max_tokens: 1 });
  const body = JSON.stringify({ model, prompt: 'x', max_tokens: 60, stream: true });
  const head = [
    'POST /v1/completions HTTP/1.1',
    'Host: entry',
    `Authorization: Bearer ${teamKey('red')}`,
    `Content-Length: ${body.length}`,
  ];
  const socket = connect(Number(new URL(callers).port), '127.0.0.1');
  let received = '';
  const closed = new Promise((resolve) => {
    socket.on('error', () => undefined);
    socket.on('close', resolve);
  });
  socket.on('data', (bytes: Buffer) => {
    if (received === '') socket.write('not a request\r\n\r\n');
    received += bytes.toString('latin1');
  });
  socket.write([...head, '', body].join('\r\n'));
  await closed;
  entry.stop();
  agent.stop();
  await engine.close();
  expect(received).toContain('HTTP/1.1 200');
  expect(received).not.toContain('HTTP/1.1 4');
}, 20_000);
