import { Writable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { createLogger, createNullLogger } from '../../src/base/logging.js';
import { type GatewayCall } from '../../src/gateway/calls.js';
import { createRepeats, type RequestRepeats } from '../../src/gateway/repeats.js';
import { createRetryBudget } from '../../src/gateway/retrybudget.js';
import { type Target } from '../../src/gateway/targets.js';
import { type TargetHead } from '../../src/ports/wire.js';
import { createManualClock } from '../standins/clock.js';

const call = { head: { requestId: 'r-1' }, service: 'desk' } as GatewayCall;

const first = { id: 't-1' } as Target;
const second = { id: 't-2' } as Target;

const full = { kind: 'not-run', cause: 'full' } as const;
const unreachable = { kind: 'not-run', cause: 'unreachable' } as const;
const failed = { kind: 'failed', cause: 'reset' } as const;

/** Another target has the address of the chosen one. */
const misdirectedTo = (targetId: string) =>
  ({ kind: 'not-run', cause: 'misdirected', head: { targetId } as TargetHead }) as const;

async function setUp(slack: number, log = createNullLogger()) {
  const clock = createManualClock();
  const limits = { ratio: 0, slack, windowMs: 10_000 };
  const budget = createRetryBudget({ clock, limits, gatewayCount: () => 4 });
  await clock.advance(limits.windowMs);
  const decisions: string[] = [];
  const repeats = createRepeats({
    log,
    budget,
    serviceOf: (id) => (id === 'print-1' ? 'print' : undefined),
    onDecision: (...decision) => decisions.push(decision.join(' ')),
  });
  return { repeats, decisions, start: (): RequestRepeats => repeats.start(call), budget };
}

// Guards against repeats that logs and metrics do not explain.
it('logs and counts each decision with its service, kind and inputs', async () => {
  const lines: unknown[] = [];
  const write = (line: Buffer, _encoding: string, done: () => void): void => {
    const { msg, name, instance, hostname, pid, level, time, v, ...fields } = JSON.parse(
      line.toString(),
    ) as Record<string, unknown>;
    lines.push([msg, fields]);
    done();
  };
  const { decisions, start } = await setUp(
    5,
    createLogger('gw-1', 'info', new Writable({ write })),
  );
  const request = start();
  request.observeEnd(first, full);
  request.tryStart(second, false);
  request.observeEnd(second, full);
  request.tryStart(undefined, false);
  expect({ lines, decisions }).toMatchInlineSnapshot(`
    {
      "decisions": [
        "desk untried true",
        "desk further-round false",
      ],
      "lines": [
        [
          "request is sent again",
          {
            "allowed": 1,
            "areGatewaysKnown": true,
            "gateways": 4,
            "kind": "untried",
            "repeats": 0,
            "requestId": "r-1",
            "requests": 1,
            "service": "desk",
            "slackInMs": 0,
          },
        ],
        [
          "request is not sent again: the budget is used up",
          {
            "allowed": 0.5,
            "areGatewaysKnown": true,
            "gateways": 4,
            "kind": "further-round",
            "repeats": 1,
            "requestId": "r-1",
            "requests": 1,
            "service": "desk",
            "slackInMs": 0,
          },
        ],
      ],
    }
  `);
});

// Guards against a line every 150 ms for each silent attempt while the budget is used up.
it('records the refusal to replace a silent attempt once, however often it is asked', async () => {
  const { decisions, start, budget } = await setUp(5);
  const request = start();
  for (let checks = 0; checks < 3; checks += 1)
    expect(request.tryReplace(second)).toBe(checks === 0);
  expect(decisions).toEqual(['desk untried true', 'desk untried false']);
  const other = start();
  for (let checks = 0; checks < 3; checks += 1) expect(other.tryReplace(second)).toBe(false);
  expect(decisions).toHaveLength(3);
  expect(budget.tryWithdraw('desk', 'untried').repeats).toBe(1);
});

describe('repeats of a request', () => {
  it('are only the attempts after the first one that arrived', async () => {
    const { decisions, start } = await setUp(100);
    const request = start();
    expect(request.tryStart(first, false)).toBe(true);
    request.observeEnd(first, unreachable);
    expect(request.tryStart(second, false)).toBe(true);
    expect(decisions).toEqual([]);
    request.observeEnd(second, failed);
    expect(request.tryStart(first, false)).toBe(true);
    request.observeEnd(first, unreachable);
    expect(request.tryStart(first, false)).toBe(true);
    expect(decisions).toEqual(['desk untried true']);
  });

  it('are paid for once although a permit of the target or a wait comes between', async () => {
    const { decisions, start } = await setUp(100);
    const request = start();
    request.observeEnd(first, full);
    for (let tries = 0; tries < 3; tries += 1)
      expect(request.tryStart(undefined, false)).toBe(true);
    expect(request.tryStart(second, false)).toBe(true);
    expect(decisions).toEqual(['desk further-round true']);
  });

  it('differ by kind: parts of a stream, targets not tried, targets that turned it away', async () => {
    const { decisions, start } = await setUp(1_000);
    const request = start();
    for (const [target, isContinuation] of [
      [second, false],
      [first, false],
      [undefined, false],
      [second, true],
    ] as const) {
      request.observeEnd(first, full);
      request.tryStart(target, isContinuation);
    }
    expect(decisions).toEqual([
      'desk untried true',
      'desk further-round true',
      'desk further-round true',
      'desk continuation true',
    ]);
  });

  it('are counted when they replace a running attempt, also one that was paid for', async () => {
    const { decisions, start } = await setUp(40);
    const request = start();
    expect(request.tryReplace(second)).toBe(true);
    request.observeEnd(first, failed);
    expect(request.tryStart(second, false)).toBe(true);
    expect(request.tryReplace(first)).toBe(true);
    expect(decisions).toEqual(['desk untried true', 'desk untried true', 'desk untried true']);
  });

  it('are refused for continuations too when the budget is used up', async () => {
    const { start } = await setUp(40);
    let sent = 0;
    for (let index = 0; index < 100; index += 1) {
      const request = start();
      request.observeEnd(first, { kind: 'broken', cause: 'reset' });
      if (request.tryStart(second, true)) sent += 1;
    }
    expect(sent).toBe(9);
  });

  it('count at the service whose target got them, if they were sent to a reused address', async () => {
    const { budget, start } = await setUp(1_000);
    const repeatsOf = (service: string): number =>
      budget.tryWithdraw(service, 'further-round').repeats;
    const request = start();
    request.observeEnd(first, misdirectedTo('print-1'));
    request.observeEnd(second, misdirectedTo('unknown'));
    expect(repeatsOf('print')).toBe(0);
    request.observeEnd(second, misdirectedTo('print-1'));
    expect(repeatsOf('print')).toBe(2);
  });
});
