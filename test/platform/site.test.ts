import { describe, expect, it } from 'vitest';
import { siteDecoder } from '../../platform/site.js';
import { configuration } from '../standins/platform/site.js';

const decode = (value: unknown) =>
  siteDecoder.configuration('config', typeof value === 'string' ? value : JSON.stringify(value));

describe('the configuration of the operator', () => {
  it('is decoded into the types of the project', () => {
    const split = [
      { service: 'llm', weight: 90 },
      { service: 'desk', weight: 10 },
    ];
    const [first] = configuration(1).routes;
    const store = { name: 'keep', kvStoreAddr: '10.0.0.9:80', zone: 'north', kvCapacity: 5_000 };
    const changed = configuration(7, {
      routes: [{ ...first, service: undefined, split }],
      services: [...configuration(1).services, store],
    });
    expect(decode(changed)).toMatchSnapshot();
  });

  it.each<[string, unknown]>([
    ['invalid JSON', '{"version":'],
    ['an array instead of an object', '[1]'],
    ['a version that is a string', { ...configuration(1), version: '1' }],
    ['a route without a host', { ...configuration(1), routes: [{ name: 'x' }] }],
    ['routes that are not a list', { ...configuration(1), routes: {} }],
    ['a service without a name', { ...configuration(1), services: [{}] }],
    ['teams that are not a list', { ...configuration(1), tenants: 'all' }],
    [
      'an API key that is not a string',
      { ...configuration(1), tenants: [{ name: 'a', apiKeys: [1] }] },
    ],
  ])('is rejected with %s', (_name, value) => {
    expect(decode(value)).toBeUndefined();
  });

  it.each(['keyed', 'constructor'])(
    'is not held back by a route of the unknown kind %s, which runs at most once',
    (kind) => {
      const routes = configuration(4).routes.map((route) => ({ ...route, kind, attempts: 3 }));
      const decoded = decode({ ...configuration(4), routes });
      expect(decoded?.routes.map((route) => [route.kind, route.maxTargets])).toEqual(
        routes.map(() => ['unsafe', 3]),
      );
    },
  );

  // Guards against a limit that is lost or guessed, and against a bad one that takes others along.
  it('has the valid limits of teams and a warning for each invalid value', () => {
    const team = (name: string, limit: object) => ({ name, apiKeys: [name], ...limit });
    const tokens = { unit: 'tokens', ratePerS: 29_000, burst: 29_000, uncachedTokens: 700 };
    const tenants = [
      team('valid', tokens),
      team('requests', { ratePerS: 2.5 }),
      team('none', { ratePerS: 0, burst: 5, unit: 'tokens' }),
      team('negative', { ...tokens, ratePerS: -1 }),
      team('text', { ...tokens, burst: '29000' }),
      team('null', { ...tokens, uncachedTokens: null }),
      team('unit', { ...tokens, unit: 'calls' }),
      team('unit-type', { ...tokens, unit: ['tokens'] }),
      team('inherited', { ...tokens, unit: 'constructor' }),
      team('long', { ...tokens, burst: 'x'.repeat(500) }),
      team('two', { ratePerS: {}, burst: true }),
    ];
    const decoded = decode({ ...configuration(4), tenants });
    const limits = decoded?.teams?.map(({ name, rateLimit }) => [name, rateLimit]);
    expect({ limits, warnings: decoded?.warnings }).toMatchSnapshot();
  });

  it('ignores unknown fields', () => {
    expect(decode({ ...configuration(4), later: { a: 1 } })?.version).toBe(4);
  });
});

describe('desired weights', () => {
  const value = JSON.stringify({ model: 'm', version: 3 });

  it('are decoded only from the row of their model', () => {
    expect(siteDecoder.weights('version/m', value)).toEqual({ model: 'm', version: 3 });
    expect(siteDecoder.weights('version/other', value)).toBeUndefined();
    expect(siteDecoder.weights('config', value)).toBeUndefined();
    expect(siteDecoder.weights('version/m', '{"model":"m","version":2.5}')).toBeUndefined();
  });
});

describe('the registration of a target', () => {
  const value = JSON.stringify({
    service: 'desk',
    addr: '127.0.0.1:1',
    zone: 'north',
    slots: 4,
    state: 'ready',
  });

  // Guards against requests that fail because they can't name their target in a header.
  it('is invalid under an id that no header may have', () => {
    expect(siteDecoder.target('desk-1', value)?.id).toBe('desk-1');
    expect(siteDecoder.target('desk\u0001', value)).toBeUndefined();
  });
});
