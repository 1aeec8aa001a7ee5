import { describe, expect, it } from 'vitest';
import { createCancellationSource } from '../../src/base/cancellation.js';
import { TargetFailedError, TargetRefusedError } from '../../src/base/errors.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createRunEnds, type RunEnd } from '../../src/continuation/runend.js';
import { type Target } from '../../src/gateway/targets.js';
import { type EngineReport, type StopRunReply } from '../../src/ports/wire.js';
import { createManualClock } from '../standins/clock.js';

const target = {
  id: 't',
  registration: { address: { host: '127.0.0.1', port: 1 } },
} as unknown as Target;

type Reply = StopRunReply['kind'] | 'refused' | 'lost';

const replies: Readonly<Record<Reply, () => StopRunReply>> = {
  moved: () => ({ kind: 'moved', handle: 'h' }),
  stopped: () => ({ kind: 'stopped' }),
  'no-run': () => ({ kind: 'no-run' }),
  replaced: () => ({ kind: 'replaced' }),
  unknown: () => ({ kind: 'unknown' }),
  refused() {
    throw new TargetRefusedError('refused');
  },
  lost() {
    throw new TargetFailedError('lost');
  },
};

const report = (more: Partial<EngineReport>): EngineReport => ({
  weights: new Map(),
  isExecutingOrder: false,
  acceptedOrders: 0,
  running: 1,
  waiting: 0,
  ...more,
});

/** Asks for the end of a run that began 5 s before; the last reply repeats. Returns the end, and when. */
async function confirm(
  sequence: readonly Reply[],
  reports: Partial<EngineReport> | undefined,
  { ranForMs = 5_000, cancelAfterMs = Infinity } = {},
): Promise<RunEnd & { readonly afterMs: number }> {
  const clock = createManualClock();
  await clock.advance(5_000);
  const askedAt = clock.now();
  let calls = 0;
  const runEnds = createRunEnds({
    clock,
    log: createNullLogger(),
    control: {
      async stopRun() {
        const reply = sequence[Math.min(calls, sequence.length - 1)] as Reply;
        calls += 1;
        return replies[reply]();
      },
      async fetchReport() {
        if (!reports) throw new TargetFailedError('no report');
        return report(reports);
      },
    },
  });
  const source = createCancellationSource();
  const remainingMs = (): number => askedAt + 3_000 - clock.now();
  const run = { requestId: 'r', target, copyTo: target, startedAt: askedAt - ranForMs };
  const result = { end: undefined as RunEnd | undefined, at: 0 };
  const done = runEnds.confirm(run, remainingMs, source.token).then((end) => {
    result.end = end;
    result.at = clock.now();
  });
  for (let step = 0; step < 400 && !result.end; step += 1) {
    if (clock.now() - askedAt >= cancelAfterMs) source.cancel('left');
    await clock.advance(10);
  }
  await done;
  return { ...(result.end as RunEnd), afterMs: result.at - askedAt };
}

const unconfirmed = { kind: 'unconfirmed', afterMs: 3_000 };

// Guards against a request that goes on at an engine while the one before still works on it (TWICE).
describe('the end of a run whose connection is gone', () => {
  it.each<[string, readonly Reply[], Partial<EngineReport> | undefined, object]>([
    ['its engine stopped it', ['moved'], undefined, { kind: 'moved', handle: 'h', afterMs: 0 }],
    ['its memory had no room', ['stopped'], undefined, { kind: 'ended', afterMs: 0 }],
    ['its engine has no such run', ['no-run'], undefined, { kind: 'ended', afterMs: 0 }],
    ['its engine was replaced', ['replaced'], undefined, { kind: 'ended', afterMs: 0 }],
    ['its engine refuses connections', ['refused'], undefined, { kind: 'ended', afterMs: 0 }],
    ['the first reply was lost', ['lost', 'no-run'], undefined, { kind: 'ended', afterMs: 50 }],
    [
      'a report lists it no more',
      ['lost'],
      { runIds: new Set(['x']) },
      { kind: 'ended', afterMs: 0 },
    ],
    ['a report without a list has no run', ['lost'], { running: 0 }, { kind: 'ended', afterMs: 0 }],
    ['one connection was refused', ['refused', 'lost'], undefined, unconfirmed],
    ['its engine does not reply', ['lost'], undefined, unconfirmed],
    ['its engine refuses to stop it', ['unknown'], { runIds: new Set(['r']) }, unconfirmed],
    ['a report has some runs', ['lost'], { running: 1 }, unconfirmed],
    ['it may wait in the queue', ['lost'], { runIds: new Set(), waiting: 1 }, unconfirmed],
  ])('is decided when %s', async (_name, sequence, reports, expected) => {
    expect(await confirm(sequence, reports)).toEqual(expected);
  });

  it('is not taken from a report that may be older than the run', async () => {
    const end = await confirm(['lost'], { running: 0 }, { ranForMs: 100 });
    expect(end).toMatchObject({ kind: 'ended' });
    expect(end.afterMs).toBeGreaterThanOrEqual(900);
  });

  it('is no longer waited for when the caller leaves', async () => {
    const end = await confirm(['lost'], undefined, { cancelAfterMs: 500 });
    expect(end.kind).toBe('unconfirmed');
    expect(end.afterMs).toBeLessThan(600);
  });
});
