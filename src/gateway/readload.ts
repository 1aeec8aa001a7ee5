import { type Clock } from '../base/clock.js';

/**
 * Share of its time that each engine spends on reading prompts, by the requests that all entries
 * placed there. An engine reads a prompt in pieces between the tokens of its runs, so each token of
 * a run waits for a piece while there are prompts to read.
 */
export interface ReadLoad {
  /** Records prompt tokens that an engine has to read. */
  add(targetId: string, tokens: number): void;
  /** Recent share of time, from 0 to 1. */
  share(targetId: string): number;
}

/** Span over which the share is taken: short enough to follow a burst, and some dozen prompts long. */
const spanMs = 1_500;

interface Reading {
  tokens: number;
  at: number;
}

export function createReadLoad(clock: Clock, tokensPerMs: number): ReadLoad {
  const readings = new Map<string, Reading>();

  const decayed = ({ tokens, at }: Reading): number =>
    tokens * Math.exp((at - clock.now()) / spanMs);

  return {
    add(targetId, tokens) {
      const known = readings.get(targetId);
      const before = known ? decayed(known) : 0;
      readings.set(targetId, { tokens: before + tokens, at: clock.now() });
    },
    share(targetId) {
      const known = readings.get(targetId);
      return known ? Math.min(1, decayed(known) / (spanMs * tokensPerMs)) : 0;
    },
  };
}
