import { expect, it } from 'vitest';
import { watchSilence } from '../../src/gateway/silencewatch.js';
import { createManualClock } from '../standins/clock.js';

// Guards against a sound run that is given up because one packet got lost.
it.each([
  ['stays at its target when one connection attempt fails and the next succeeds', 1, undefined],
  ['is given up when two fail', 2, 'target does not accept connections'],
])('a silent run %s', async (_name, failedProbes, expected) => {
  const clock = createManualClock();
  const startedAt = clock.now();
  let probes = 0;
  let cause: string | undefined;
  const watch = watchSilence({
    clock,
    connections: {
      async probe() {
        probes += 1;
        return probes > failedProbes;
      },
      sinceReachableMs: () => clock.now() - startedAt,
    },
    probeAfterMs: 300,
    hangTimeoutMs: 10_000,
    isPaused: () => false,
    facts: () => ({ silentMs: clock.now() - startedAt, sinceReachableMs: 0, answersOthers: false }),
    isReplaced: () => false,
    tryMove: () => false,
    giveUp(reason) {
      cause ??= reason;
    },
  });
  await clock.advance(2_000);
  watch.dispose();
  expect(cause).toBe(expected);
});
