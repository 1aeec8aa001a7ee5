import { describe, expect, it } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createTargetDirectory } from '../../src/gateway/targets.js';
import { siteDecoder } from '../../platform/site.js';
import { createManualClock } from '../standins/clock.js';

const entry = (more: Readonly<Record<string, unknown>> = {}): string =>
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
    sinceStoreFailureMs: () => sinceStoreFailureMs,
    onCacheCleared: (id) => emptied.push(id),
  });
  const apply = (key: string, value: string | undefined, isSnapshot = false): void =>
    directory.apply({ rows: [{ key, value, version: 1 }], isSnapshot });
  return {
    clock,
    directory,
    emptied,
    apply,
    usable: () => directory.usable('llm').map(({ id }) => id),
  };
}

describe('the list of targets', () => {
  it('gives a leaving target no requests and forgets a removed one', () => {
    const site = setUp();
    site.apply('a', entry());
    expect(site.usable()).toEqual(['a']);
    site.apply('a', entry({ state: 'draining' }));
    expect(site.usable()).toEqual([]);
    site.apply('a', undefined);
    expect(site.directory.all).toEqual([]);
  });

  it('keeps targets whose entries lapsed while the store was away until it had time to return', async () => {
    const site = setUp(300);
    site.apply('a', entry());
    site.apply('a', undefined);
    expect(site.usable()).toEqual(['a']);
    await site.clock.advance(2_000);
    expect(site.usable()).toEqual([]);
  });

  it('keeps a lapsed target that comes back', async () => {
    const site = setUp(300);
    site.apply('a', entry());
    site.apply('a', undefined);
    site.apply('a', entry());
    await site.clock.advance(5_000);
    expect(site.usable()).toEqual(['a']);
  });

  it('drops targets that a new reading of the table no longer has', () => {
    const site = setUp();
    site.apply('a', entry());
    site.apply('b', entry(), true);
    expect(site.usable()).toEqual(['b']);
  });

  it('takes a new start under the same id as another run with an empty memory', () => {
    const site = setUp();
    site.apply('a', entry());
    const [first] = site.directory.all;
    site.apply('a', entry({ born: 2 }));
    expect(first?.isRemoved).toBe(true);
    expect(site.emptied).toEqual(['a']);
  });

  it.each<[string, string]>([
    ['no JSON', 'not json'],
    ['a list', '[]'],
    ['a missing address', entry({ addr: undefined })],
    ['an address that is none', entry({ addr: 'somewhere' })],
    ['slots as text', entry({ slots: '8' })],
    ['an unknown state', entry({ state: 'resting' })],
    ['a state that is a property of every object', entry({ state: 'constructor' })],
    ['models that are no list', entry({ models: 'm' })],
  ])('believes nothing of an entry with %s', (_name, value) => {
    const site = setUp();
    site.apply('good', entry());
    site.apply('bad', value);
    expect(site.usable()).toEqual(['good']);
    site.apply('good', value);
    expect(site.usable()).toEqual([]);
  });

  it('takes the word of a target before its older entry, and its entry after that', async () => {
    const site = setUp();
    site.apply('a', entry());
    const target = site.directory.find('a');
    target?.observeWeights('m', 2);
    site.apply('a', entry());
    expect(target?.weightsVersion('m')).toBe(2);
    await site.clock.advance(3_500);
    site.apply('a', entry());
    expect(target?.weightsVersion('m')).toBe(1);
  });
});
