import { expect, it } from 'vitest';
import { createLogger } from '../../src/base/logging.js';
import { createResponseMonitor, type OversizedResponse } from '../../src/base/responselimits.js';
import { createHttpClient } from '../../src/base/httpclient.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { createLineStream } from '../standins/lines.js';
import { sendPrompt } from '../standins/platform/caller.js';
import {
  type EndlessName,
  endlessResponses,
  type EndlessTarget,
  startEndlessTarget,
} from '../standins/platform/endlesstarget.js';
import { startPlatformSite, until } from '../standins/platform/site.js';

const portOf = ({ registration }: EndlessTarget): number =>
  Number(String(registration['addr']).split(':')[1]);

const completeStatuses: Readonly<Partial<Record<EndlessName, string>>> = {
  afterResponse: 'status 200',
};

it('names the target, the bytes and the limit of a response that is given up', async () => {
  const site = await startPlatformSite();
  const target = await startEndlessTarget('desk', 'headerValue');
  const { stream, lines } = createLineStream();
  try {
    site.store.put('servers', 'desk-1', target.registration);
    const gateway = await site.startGateway('gw-1', createLogger('gw-1', 'info', stream));
    const { status } = await sendPrompt(gateway, 'r', 'order');
    expect(status).toBe(502);
    const records = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
    const record = records.find(({ msg }) => String(msg).startsWith('response was given up'));
    expect(record).toMatchObject({
      call: 'request',
      host: '127.0.0.1',
      port: portOf(target),
      cause: 'Parse Error: Header overflow',
    });
    expect(record?.['receivedBytes']).toBeGreaterThan(16_000);
    // Evidence of a crash would quarantine the prompt.
    const attempt = records.find(({ msg }) => msg === 'attempt failed');
    expect(attempt).toMatchObject({ end: 'failed', cause: record?.['cause'] });
    expect(attempt).not.toHaveProperty('lostAt');
    const metrics = await fetch(`${gateway.addresses.operators}/metrics`);
    expect(await metrics.text()).toContain('oversized_responses_total{call="request"} 1\n');
  } finally {
    await site.close();
    await target.close();
  }
});

it('reports oversized responses to calls of the adapters', async () => {
  const target = await startEndlessTarget('desk', 'headerFields');
  try {
    const reported: OversizedResponse[] = [];
    const monitor = createResponseMonitor();
    monitor.listen((response) => reported.push(response));
    const httpClient = createHttpClient(monitor);
    const address = { host: '127.0.0.1', port: portOf(target) };
    const call = { call: 'order', address, method: 'GET', path: '/', timeoutMs: 2_000 } as const;
    await expect(httpClient(call, noCancellation)).rejects.toThrow();
    expect(reported).toMatchObject([{ call: 'order', address }]);
    expect(reported[0]?.receivedBytes).toBeGreaterThan(16_000);
  } finally {
    await target.close();
  }
});

// Guards against calls of the adapters that go on until their time limit, or for ever.
it.each(Object.keys(endlessResponses) as EndlessName[])(
  'ends a call of an adapter at once when its response has no end (%s)',
  async (name) => {
    const target = await startEndlessTarget('desk', name);
    try {
      const address = { host: '127.0.0.1', port: portOf(target) };
      for (const call of ['report', 'order', 'cache-events', 'store'] as const) {
        const req = { call, address, method: 'GET', path: '/', timeoutMs: 20_000 } as const;
        const httpClient = createHttpClient();
        const ended = await httpClient(req, noCancellation).then(
          ({ status }) => `status ${status}`,
          () => 'failed',
        );
        // A response that is complete was not the endless part.
        expect(ended).toBe(completeStatuses[name] ?? 'failed');
      }
      await until(() => target.openConnections === 0);
    } finally {
      await target.close();
    }
  },
);
