import { describe, expect, it } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createTargetDirectory } from '../../src/gateway/targets.js';
import { toVersion } from '../../src/storeera/version.js';
import { siteDecoder } from '../../platform/site.js';
import { createManualClock } from '../standins/clock.js';

const checkInMs = 1_000;

interface State {
  readonly state?: string;
  readonly born?: number;
  readonly weights?: number;
}

function setUp() {
  const clock = createManualClock();
  const eras = { current: 1 };
  let number = 0;
  let failedAt = -Infinity;
  const directory = createTargetDirectory({
    clock,
    log: createNullLogger(),
    decoder: siteDecoder,
    eras,
    checkInMs,
    sinceStoreFailureMs: () => clock.now() - failedAt,
    onCacheCleared: () => undefined,
  });
  const rowOf = ({ state = 'ready', born = 1, weights = 1 }: State, version: number) => ({
    key: 'a',
    value: JSON.stringify({
      service: 'llm',
      addr: '10.0.0.1:80',
      zone: 'north',
      slots: 8,
      state,
      models: [{ name: 'm', version: weights }],
      born,
    }),
    version,
  });
  const apply = (isSnapshot: boolean, state: State | undefined, version: number): void =>
    directory.apply({
      rows: state ? [rowOf(state, version)] : [],
      isSnapshot,
      maxAgeMs: 0,
    });
  const next = (): number => {
    number += 1;
    return toVersion(eras.current, number);
  };
  return {
    clock,
    /** The target writes its row. */
    write: (state: State) => apply(false, state, next()),
    remove: () =>
      directory.apply({
        rows: [{ key: 'a', value: undefined, version: next() }],
        isSnapshot: false,
        maxAgeMs: 0,
      }),
    /** The store comes back with the row of the copy, or without one. */
    restore(state: State | undefined) {
      eras.current += 1;
      failedAt = clock.now();
      number = 1;
      apply(true, state, toVersion(eras.current, number));
    },
    /** The same table is read once more. */
    readAgain: (state: State | undefined) => apply(true, state, toVersion(eras.current, number)),
    usable: () =>
      directory.usable('llm').map(({ id, registration }) => `${id}${registration.startedAt}`),
    weights: () => directory.find('a')?.weights.version('m'),
  };
}

describe('targets of a store that came back from an older copy', () => {
  // Guards against requests to a target that was known to be leaving (DRAIN).
  it('go on leaving although the copy says that they are ready', () => {
    const site = setUp();
    site.write({});
    site.write({ state: 'draining' });
    site.restore({});
    expect(site.usable()).toEqual([]);
    site.write({ state: 'ready' });
    expect(site.usable()).toEqual([]);
    site.write({ born: 2 });
    expect(site.usable()).toEqual(['a2']);
  });

  it('may end their leaving within one era', () => {
    const site = setUp();
    site.write({ state: 'draining' });
    site.write({});
    expect(site.usable()).toEqual(['a1']);
    site.restore({});
    expect(site.usable()).toEqual(['a1']);
  });

  // Guards against requests to a target whose removal was known (DRAIN).
  it.each(['the feed', 'a snapshot'])('stay removed until %s has no row either', async (source) => {
    const site = setUp();
    site.write({});
    site.remove();
    site.restore({});
    await site.clock.advance(3 * checkInMs);
    site.readAgain({});
    expect(site.usable()).toEqual([]);
    // The store drops the row of a silent target.
    if (source === 'the feed') site.remove();
    else site.readAgain(undefined);
    await site.clock.advance(10 * checkInMs);
    expect(site.usable()).toEqual([]);
  });

  it.each([
    ['they write their row again', async (site: ReturnType<typeof setUp>) => site.write({})],
    [
      'their row does not expire',
      async (site: ReturnType<typeof setUp>) => site.clock.advance(4 * checkInMs),
    ],
  ])('return after a removal when %s', async (_name, happen) => {
    const site = setUp();
    site.write({});
    site.remove();
    site.restore({});
    expect(site.usable()).toEqual([]);
    await happen(site);
    expect(site.usable()).toEqual(['a1']);
  });

  it('are not replaced by an incarnation that they had replaced', async () => {
    const site = setUp();
    site.write({ born: 1 });
    site.write({ born: 2 });
    site.restore({ born: 1 });
    await site.clock.advance(10 * checkInMs);
    expect(site.usable()).toEqual(['a2']);
  });

  it('that the copy lacks have the time to register again', async () => {
    const site = setUp();
    site.write({});
    site.restore(undefined);
    await site.clock.advance(2_000);
    expect(site.usable()).toEqual(['a1']);
    await site.clock.advance(1_000);
    expect(site.usable()).toEqual([]);
  });

  // Guards against parts that are labelled with older weights than those that made them (STALE).
  it('keep the weights that they had loaded', async () => {
    const site = setUp();
    site.write({ weights: 1 });
    site.write({ weights: 2 });
    await site.clock.advance(5_000);
    site.restore({ weights: 1 });
    expect(site.weights()).toBe(2);
    site.write({ weights: 3 });
    expect(site.weights()).toBe(3);
  });
});
