import { describe, expect, it } from 'vitest';
import { nextSilenceStep, type SilenceState, type SilenceStep } from '../../src/gateway/silence.js';

const limits = { probeAfterMs: 300, hangTimeoutMs: 1_000 };

const hanging: SilenceState = {
  silentMs: 1_200,
  answersOthers: true,
  acceptsConnections: 'yes',
  isReplaced: false,
};

describe('a run whose target sends nothing', () => {
  it.each<[string, Partial<SilenceState>, SilenceStep]>([
    ['waits during a short pause', { silentMs: 200, acceptsConnections: 'no' }, 'wait'],
    ['has its target probed', { silentMs: 300, acceptsConnections: 'unknown' }, 'probe'],
    ['waits while its target accepts connections', { silentMs: 900 }, 'wait'],
    ['may move from a target that answers others', {}, 'move'],
    ['waits at an overloaded target', { silentMs: 60_000, answersOthers: false }, 'wait'],
    ['is probed before it may move', { acceptsConnections: 'unknown' }, 'probe'],
    ['is given up without connections', { silentMs: 300, acceptsConnections: 'no' }, 'give-up'],
    ['is given up at a replaced target', { silentMs: 300, isReplaced: true }, 'give-up'],
  ])('%s', (_name, change, step) => {
    expect(nextSilenceStep({ ...hanging, ...change }, limits)).toBe(step);
  });
});
