import { Writable } from 'node:stream';
import { expect, it } from 'vitest';
import { createLogger } from '../../src/base/logging.js';
import { type GatewayCall } from '../../src/gateway/calls.js';
import { createRepeats } from '../../src/gateway/repeats.js';
import { createRetryBudget } from '../../src/gateway/retrybudget.js';
import { createManualClock } from '../standins/clock.js';

const call = { head: { requestId: 'r-1' }, service: 'desk' } as GatewayCall;

// Guards against repeats that logs and metrics do not explain.
it('logs and counts each decision with its service, kind and inputs', () => {
  const lines: unknown[] = [];
  const counted: string[] = [];
  const write = (line: Buffer, _encoding: string, done: () => void): void => {
    const { msg, name, instance, hostname, pid, level, time, v, ...fields } = JSON.parse(
      line.toString(),
    ) as Record<string, unknown>;
    lines.push([msg, fields]);
    done();
  };
  const limits = { ratio: 0.1, slack: 5, windowMs: 10_000 };
  const budget = createRetryBudget({
    clock: createManualClock(),
    limits,
    gatewayCount: () => 4,
  });
  budget.deposit('desk');
  const repeats = createRepeats({
    log: createLogger('gw-1', 'info', new Writable({ write })),
    budget,
    onDecision: (...decision) => counted.push(decision.join(' ')),
  });
  repeats.tryStart(call, 'untried');
  repeats.tryStart(call, 'further-round');
  repeats.tryStart(call, 'backup');
  expect({ lines, counted }).toMatchInlineSnapshot(`
    {
      "counted": [
        "desk untried true",
        "desk further-round false",
        "desk backup true",
      ],
      "lines": [
        [
          "request is sent again",
          {
            "allowed": 1.1,
            "areGatewaysKnown": true,
            "gateways": 4,
            "kind": "untried",
            "repeats": 0,
            "requestId": "r-1",
            "requests": 1,
            "service": "desk",
          },
        ],
        [
          "request is not sent again: the budget is used up",
          {
            "allowed": 1.1,
            "areGatewaysKnown": true,
            "gateways": 4,
            "kind": "further-round",
            "repeats": 1,
            "requestId": "r-1",
            "requests": 1,
            "service": "desk",
          },
        ],
        [
          "request is sent again",
          {
            "allowed": 1.1,
            "areGatewaysKnown": true,
            "gateways": 4,
            "kind": "backup",
            "repeats": 1,
            "requestId": "r-1",
            "requests": 1,
            "service": "desk",
          },
        ],
      ],
    }
  `);
});
