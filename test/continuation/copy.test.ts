import { describe, expect, it } from 'vitest';
import { type BrokenRun, createCopies } from '../../src/continuation/copy.js';
import { type Placement } from '../../src/gateway/placement.js';
import { type Target } from '../../src/gateway/targets.js';
import { createTargetWeights } from '../../src/gateway/targetweights.js';
import { singleEra } from '../../src/storeera/eras.js';
import { createManualClock } from '../standins/clock.js';

function createEngine(clock: ReturnType<typeof createManualClock>): Target {
  return {
    registration: { address: { host: '127.0.0.1', port: 1 } },
    isRemoved: false,
    isLeaving: false,
    weights: createTargetWeights(clock, singleEra, new Map([['m', 1]]), () => undefined),
  } as unknown as Target;
}

interface Case {
  readonly source: Target;
  readonly backup: Target;
  readonly changing: Set<Target>;
}

/** What the stream does that began 100 ms before these observations. */
async function findAfter(observe: (engines: Case) => void, more: Partial<BrokenRun> = {}) {
  const clock = createManualClock();
  const engines = {
    source: createEngine(clock),
    backup: createEngine(clock),
    changing: new Set<Target>(),
  };
  const { source, backup, changing } = engines;
  const startedAt = clock.now();
  await clock.advance(100);
  observe(engines);
  const copies = createCopies({
    failureTracker: { isDown: () => false },
    isChangingWeights: (target) => changing.has(target),
  });
  const placement = {
    target: source,
    backup,
    salt: 's',
    weightsVersion: 1,
  } as unknown as Placement;
  const found = copies.find({
    head: { requestId: 'r', model: 'm' } as BrokenRun['head'],
    progress: { lastEventId: '4' } as BrokenRun['progress'],
    ...{ placement, startedAt },
    ...more,
  });
  return found.kind === 'none' ? found.reason : found.placement.continueFrom;
}

describe('the copy of a broken stream', () => {
  it('is used while no sign shows a change of weights', async () => {
    expect(await findAfter(() => undefined)).toEqual({
      address: { host: '127.0.0.1', port: 1 },
      handle: 'r',
    });
  });

  // Guards against memory of other weights than those of the engine that goes on.
  it.each<[string, (engines: Case) => void]>([
    ['its engine named new weights', ({ source }) => source.weights.observe('m', 2)],
    ['its engine got an order', ({ source }) => source.weights.observeOrder()],
    ['its engine is changing its weights', ({ source, changing }) => changing.add(source)],
    ['the backup named new weights', ({ backup }) => backup.weights.observe('m', 2)],
    ['the backup is changing its weights', ({ backup, changing }) => changing.add(backup)],
    [
      'the weights of its engine changed and went back',
      ({ source }) => {
        source.weights.observe('m', 2);
        source.weights.observe('m', 1);
      },
    ],
  ])('is not used when %s', async (_name, observe) => {
    expect(await findAfter(observe)).toBe('weights-unsettled');
  });

  it('is not used when the caller has no event after which the stream could go on', async () => {
    const progress = { lastEventId: undefined } as BrokenRun['progress'];
    expect(await findAfter(() => undefined, { progress })).toBe('no-event');
  });
});
