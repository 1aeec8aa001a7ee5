import { describe, expect, it } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createCrashDetector, type LostRequest } from '../../src/gateway/crashes.js';
import { type Target } from '../../src/gateway/targets.js';

const lost = (requestId: string): LostRequest => ({
  requestId,
  parts: [],
  content: { partIds: [], id: 'content,1' },
  stage: 'head',
  isLostAgain: false,
});

/** Reports two lost requests of one target; returns the requests of each crash that is detected. */
async function observe(
  isAlive: boolean,
  isLeaving = false,
  failedProbes = 0,
): Promise<readonly string[][]> {
  let probes = 0;
  const crashes: string[][] = [];
  const detector = createCrashDetector({
    log: createNullLogger(),
    onCrash: ({ requests }) => crashes.push(requests.map(({ requestId }) => requestId)),
  });
  const target = {
    id: 't',
    registration: { service: 's' },
    isLeaving,
    connections: {
      async probeAnew() {
        probes += 1;
        return isAlive && probes > failedProbes;
      },
    },
  } as unknown as Target;
  const results = [
    detector.observeLoss(target, lost('a')),
    detector.observeLoss(target, lost('b')),
  ];
  expect(await Promise.all(results)).toEqual(crashes.length > 0 ? [true, true] : [false, false]);
  return crashes;
}

describe('a lost connection', () => {
  it.each<[string, boolean, boolean, readonly string[][], number?]>([
    ['is a crash when the target accepts no other one', false, false, [['a', 'b']]],
    ['is no crash when the target accepts another one', true, false, []],
    ['is no crash when the target is leaving', false, true, []],
    ['is no crash when the packets of one new connection are lost', true, false, [], 1],
  ])('%s', async (_name, isAlive, isLeaving, expected, failedProbes) => {
    expect(await observe(isAlive, isLeaving, failedProbes)).toEqual(expected);
  });
});
