import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createEraTracker } from '../../src/storeera/eras.js';
import { eraOf, maxEra, maxNumber, numberOf, toVersion } from '../../src/storeera/version.js';
import { createManualClock } from '../standins/clock.js';

describe('versions of a store with eras', () => {
  // Guards against numbers of two eras being compared with each other.
  it('are ordered by era first and keep both parts', () => {
    const pair = fc.tuple(fc.nat({ max: maxEra }), fc.nat({ max: maxNumber }));
    fc.assert(
      fc.property(pair, pair, ([era, number], [otherEra, otherNumber]) => {
        const version = toVersion(era, number);
        const isOlder = era < otherEra || (era === otherEra && number < otherNumber);
        return (
          eraOf(version) === era &&
          numberOf(version) === number &&
          version < toVersion(otherEra, otherNumber) === isOlder
        );
      }),
      { seed: 56 },
    );
  });

  it('refuse parts that are out of range', () => {
    expect(() => toVersion(maxEra + 1, 0)).toThrowErrorMatchingInlineSnapshot(
      `[RangeError: version 0 of era 8192 is out of range; check the store address]`,
    );
    expect(() => toVersion(0, maxNumber + 1)).toThrowErrorMatchingInlineSnapshot(
      `[RangeError: version 1099511627776 of era 0 is out of range; check the store address]`,
    );
  });
});

describe('the eras of a store', () => {
  // Guards against responses that change the state although what they name is no newer era.
  it.each([
    ['rising', ['1', '2', '4']],
    ['late responses', ['2', '3', '2', '3']],
    ['malformed', ['1', 'x', '', '-1', '1.5', '1, 1', '99999999', '1']],
    ['a header that ceases', ['1', undefined, '1']],
    ['no header', [undefined, undefined]],
    ['a header that begins', [undefined, '1']],
  ])('follow %s values', (_name, values) => {
    const eras = createEraTracker({ clock: createManualClock(), log: createNullLogger() });
    let changes = 0;
    eras.onDidChange(() => {
      changes += 1;
    });
    const read = values.map((value) => eras.observe(value) ?? 'discarded');
    expect({ read, current: eras.current, changes }).toMatchSnapshot();
  });

  it('tell how long the newest one is known', async () => {
    const clock = createManualClock();
    const eras = createEraTracker({ clock, log: createNullLogger() });
    eras.observe(undefined);
    expect(eras.ageMs()).toBe(Infinity);
    eras.observe('1');
    await clock.advance(300);
    expect(eras.ageMs()).toBe(300);
    eras.observe('2');
    expect(eras.ageMs()).toBe(0);
  });
});
