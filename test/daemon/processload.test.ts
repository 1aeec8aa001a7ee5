import { createServer } from 'node:http';
import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { systemClock } from '../../src/base/clock.js';
import { createDelayMeter } from '../../src/base/eventloop.js';
import { createLogger } from '../../src/base/logging.js';
import { watchProcessLoad } from '../../src/daemon/processload.js';
import { createLineStream } from '../standins/lines.js';
import { until } from '../standins/platform/site.js';

it('logs a warning when the event loop has no idle time', async () => {
  const { stream, lines } = createLineStream();
  const delay = createDelayMeter(systemClock);
  const load = watchProcessLoad({
    clock: systemClock,
    log: createLogger('gw-1', 'warn', stream),
    registry: new Registry(),
    callerServer: createServer(),
    delay,
    active: () => 7,
  });
  const end = performance.now() + 1_100;
  while (performance.now() < end);
  await until(() => lines.length > 0);
  load.dispose();
  delay.dispose();
  const { msg, active, connections } = JSON.parse(lines[0] as string) as Record<string, unknown>;
  expect({ msg, active, connections }).toMatchInlineSnapshot(`
    {
      "active": 7,
      "connections": 0,
      "msg": "event loop is busy; sockets wait to be read",
    }
  `);
});
