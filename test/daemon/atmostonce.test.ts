import { type AddressInfo, createServer } from 'node:net';
import { expect, test } from 'vitest';
import { createPeerConnector } from '../../src/adapters/connect/connector.js';
import { isConnectionRefused } from '../../src/base/connections.js';
import { startProxy } from '../standins/proxy.js';
import { startService } from '../standins/service.js';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
} from '../standins/site.js';

// Guards against a second execution, or a lost outcome, when the connection stops before the reply.
test('a call whose connection becomes unresponsive gets its response and runs only once', async () => {
  const service = await startService(300);
  const spec = { name: 'desk-1', kind: 'service', url: service.url, service: 'desk' } as const;
  const agent = await startSiteAgent(spec);
  const proxy = await startProxy(agent.addresses.internal);
  const configuration = siteRecords(['red'], [], ['desk']);
  const entry = await startSiteEntry({ name: 'entry-1', agents: [proxy.url], configuration });
  const callers = entry.addresses.callers ?? '';
  await waitForRoute(callers, 'red', '/services/desk/ready', {});
  const headers = { authorization: `Bearer ${teamKey('red')}`, 'idempotency-key': 'order-1' };
  const call = fetch(`${callers}/services/desk/orders`, { method: 'POST', headers, body: 'reels' });
  while (!service.runs.get('order-1')) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  proxy.silence();
  const res = await call;
  expect({ status: res.status, runs: service.runs.get('order-1') }).toEqual({
    status: 200,
    runs: 1,
  });
  expect(await res.json()).toMatchObject({ received: 'reels', run: 1 });
  entry.stop();
  agent.stop();
  await Promise.all([proxy.close(), service.close()]);
});

// Guards against treating a connection that closed after the request was sent as never used.
test('only a refused connection proves that nothing was sent', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const fail = async (): Promise<unknown> => {
    const connection = createPeerConnector('credential').agent(address);
    const err: unknown = await connection.client
      .result({ attemptId: 'a' })
      .catch((e: unknown) => e);
    connection.dispose();
    return err;
  };
  expect(isConnectionRefused(await fail())).toBe(false);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  expect(isConnectionRefused(await fail())).toBe(true);
});
