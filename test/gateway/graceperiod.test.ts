import { expect, it } from 'vitest';
import { fitsGrace, type StoppingRequest } from '../../src/gateway/graceperiod.js';

const call: StoppingRequest = {
  kind: 'unsafe',
  remainingMs: 30_000,
  objectiveMs: 200,
  expectedMs: 20,
  outputTokens: 100,
  crowdedTokenMs: 10,
};

it.each<[string, Partial<StoppingRequest>, number, boolean]>([
  ['a call with time to spare', {}, 1_700, true],
  ['a call that may take longer than the grace', {}, 1_500, false],
  ['a call whose caller leaves before the end', { remainingMs: 1_000 }, 1_100, true],
  ['a stream that is complete before the end', { kind: 'stream' }, 2_300, true],
  ['a stream that is not', { kind: 'stream' }, 1_700, false],
  ['a short stream', { kind: 'stream', outputTokens: 10 }, 700, true],
  ['any request in normal operation', { kind: 'stream', outputTokens: 100_000 }, Infinity, true],
])('the remaining grace is checked for %s', (_name, overrides, graceMs, expected) => {
  expect(fitsGrace({ ...call, ...overrides }, graceMs)).toBe(expected);
});
