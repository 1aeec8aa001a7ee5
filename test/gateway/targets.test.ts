import { describe, expect, it } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createTargetDirectory } from '../../src/gateway/targets.js';
import { singleEra } from '../../src/storeera/eras.js';
import { siteDecoder } from '../../platform/site.js';
import { createManualClock } from '../standins/clock.js';

const registrationRow = (more: Readonly<Record<string, unknown>> = {}): string =>
  JSON.stringify({
    service: 'llm',
    addr: '10.0.0.1:80',
    zone: 'north',
    slots: 8,
    state: 'ready',
    models: [{ name: 'm', version: 1 }],
    born: 1,
    ...more,
  });

function setUp(sinceStoreFailureMs = Infinity) {
  const clock = createManualClock();
  const emptied: string[] = [];
  const directory = createTargetDirectory({
    clock,
    log: createNullLogger(),
    decoder: siteDecoder,
    eras: singleEra,
    checkInMs: 1_000,
    sinceStoreFailureMs: () => sinceStoreFailureMs,
    onCacheCleared: (id) => emptied.push(id),
  });
  const apply = (key: string, value: string | undefined, isSnapshot = false): void =>
    directory.apply({ rows: [{ key, value, version: 1 }], isSnapshot, maxAgeMs: 0 });
  return {
    clock,
    directory,
    emptied,
    apply,
    usable: () => directory.usable('llm').map(({ id }) => id),
  };
}

describe('createTargetDirectory', () => {
  it('excludes a leaving target from new requests and drops a removed one', () => {
    const site = setUp();
    site.apply('a', registrationRow());
    expect(site.usable()).toEqual(['a']);
    site.apply('a', registrationRow({ state: 'draining' }));
    expect(site.usable()).toEqual([]);
    site.apply('a', undefined);
    expect(site.directory.all).toEqual([]);
  });

  it('keeps a target that expired in a store outage until the grace time ends', async () => {
    const site = setUp(300);
    site.apply('a', registrationRow());
    site.apply('a', undefined);
    expect(site.usable()).toEqual(['a']);
    await site.clock.advance(2_000);
    expect(site.usable()).toEqual([]);
  });

  it('keeps an expired target that registers again within the grace time', async () => {
    const site = setUp(300);
    site.apply('a', registrationRow());
    site.apply('a', undefined);
    site.apply('a', registrationRow());
    await site.clock.advance(5_000);
    expect(site.usable()).toEqual(['a']);
  });

  it('drops targets that a new snapshot of the table does not contain', () => {
    const site = setUp();
    site.apply('a', registrationRow());
    site.apply('b', registrationRow(), true);
    expect(site.usable()).toEqual(['b']);
  });

  it('treats a restart under the same id as a new incarnation with an empty cache', () => {
    const site = setUp();
    site.apply('a', registrationRow());
    const [first] = site.directory.all;
    site.apply('a', registrationRow({ born: 2 }));
    expect(first?.isRemoved).toBe(true);
    expect(site.emptied).toEqual(['a']);
  });

  it.each<[string, string]>([
    ['invalid JSON', 'not json'],
    ['a list', '[]'],
    ['a missing address', registrationRow({ addr: undefined })],
    ['an invalid address', registrationRow({ addr: 'somewhere' })],
    ['slots as text', registrationRow({ slots: '8' })],
    ['an unknown state', registrationRow({ state: 'resting' })],
    ['a state that is a property of every object', registrationRow({ state: 'constructor' })],
    ['models that are not a list', registrationRow({ models: 'm' })],
  ])('ignores a registration with %s and removes its target', (_name, value) => {
    const site = setUp();
    site.apply('good', registrationRow());
    site.apply('bad', value);
    expect(site.usable()).toEqual(['good']);
    site.apply('good', value);
    expect(site.usable()).toEqual([]);
  });

  it('prefers an observed version to an older registered one for a limited time', async () => {
    const site = setUp();
    site.apply('a', registrationRow());
    const target = site.directory.find('a');
    target?.weights.observe('m', 2);
    site.apply('a', registrationRow());
    expect(target?.weights.version('m')).toBe(2);
    await site.clock.advance(3_500);
    site.apply('a', registrationRow());
    expect(target?.weights.version('m')).toBe(1);
  });

  it('counts tokens by priority until the prompt is prefilled', () => {
    const site = setUp();
    site.apply('a', registrationRow());
    const target = site.directory.find('a');
    const urgent = target?.startRequest(800, 0);
    target?.startRequest(9_000, 2);
    expect(target?.inFlight).toEqual({ requests: 2, prefillTokens: [800, 0, 9_000] });
    urgent?.markPrefilled();
    urgent?.dispose();
    expect(target?.inFlight).toEqual({ requests: 1, prefillTokens: [0, 0, 9_000] });
  });

  // An engine at its limit serves urgent requests first, which is no sign that it hangs.
  it('does not count a response to a more urgent request as overtaking', () => {
    const site = setUp();
    site.apply('a', registrationRow());
    const target = site.directory.find('a');
    target?.observeResponseStart(5_000, 0);
    expect(target?.newestRespondedSentAt(0)).toBe(5_000);
    expect(target?.newestRespondedSentAt(2)).toBe(-Infinity);
    target?.observeResponseStart(4_000, 5);
    expect(target?.newestRespondedSentAt(2)).toBe(4_000);
    expect(target?.newestRespondedSentAt(9)).toBe(-Infinity);
  });
});
