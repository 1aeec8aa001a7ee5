import { afterEach, beforeEach, expect, it } from 'vitest';
import { createLogger } from '../../src/base/logging.js';
import { sendAndDisconnectWhileBusy } from '../standins/disconnectingcallers.js';
import { createLineStream } from '../standins/lines.js';
import { model, type PlatformSite, startPlatformSite, until } from '../standins/platform/site.js';
import { startService } from '../standins/service.js';
import {
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
} from '../standins/site.js';

const callerCount = 10;

const busyMs = 600;

const portOf = (url: string | undefined): number => Number(new URL(url ?? '').port);

let site: PlatformSite;

beforeEach(async () => {
  site = await startPlatformSite();
});

afterEach(() => site.close());

const prompt = {
  'X-Model': model,
  'X-Token-Count': '900,40',
  'X-Prompt-Prefix': 'a:500,b:400',
};

// Guards against running requests whose caller disconnected before the busy process read them.
it.each(['order', 'fit', 'reply'])(
  'a gateway forwards no request (%s) whose caller disconnected while the process was busy',
  async (route) => {
    const targets = [
      await site.startTarget('desk', { id: 'desk-1' }),
      await site.startTarget('llm', { id: 'llm-1', model }),
    ];
    const { stream, lines } = createLineStream();
    const gateway = await site.startGateway('gw-1', createLogger('gw-1', 'info', stream));
    const requests = Array.from({ length: callerCount }, (_, id) => ({
      port: portOf(gateway.addresses.callers),
      path: `/${route}/x`,
      headers: {
        Host: 'site.test',
        'X-Request-Id': `${route}-${id}`,
        'X-Deadline-Ms': '4000',
        'X-Api-Key': 'key-a',
        ...(route === 'order' ? {} : prompt),
      },
      body: 'body',
    }));
    await sendAndDisconnectWhileBusy(requests, busyMs);
    await until(
      () => lines.filter((line) => line.includes('request ended')).length === callerCount,
    );
    expect(targets.flatMap(({ runs }) => runs.map(({ requestId }) => requestId))).toEqual([]);
  },
);

it('an entry forwards no call whose caller disconnected while the process was busy', async () => {
  const service = await startService();
  const agent = await startSiteAgent({
    name: 'desk-1',
    kind: 'service',
    url: service.url,
    service: 'desk',
  });
  const entry = await startSiteEntry({
    name: 'entry-1',
    agents: [agent.addresses.internal],
    configuration: siteRecords(['red'], [], ['desk']),
  });
  await waitForRoute(entry.addresses.callers ?? '', 'red', '/services/desk/ready', {});
  const runsBefore = new Map(service.runs);
  const requests = Array.from({ length: callerCount }, (_, id) => ({
    port: portOf(entry.addresses.callers),
    path: '/services/desk/reserve',
    headers: {
      Host: 'entry.test',
      Authorization: `Bearer ${teamKey('red')}`,
      'X-Request-Id': `request-${id}`,
      'Content-Type': 'application/json',
    },
    body: '{}',
  }));
  await sendAndDisconnectWhileBusy(requests, busyMs);
  await until(() => entry.active === 0);
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  expect(service.runs).toEqual(runsBefore);
  entry.stop();
  agent.stop();
  await service.close();
});
