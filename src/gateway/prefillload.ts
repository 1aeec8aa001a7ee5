import { type Clock } from '../base/clock.js';

/**
 * Share of its time that each engine spends on reading prompts, by the requests that all entries
 * placed there. An engine reads a prompt in pieces between the tokens of its runs, so each token of
 * a run waits for a piece while there are prompts to read.
 */
export interface PrefillLoad {
  /** Records prompt tokens that an engine has to read. */
  add(targetId: string, tokens: number): void;
  /** Recent share of time, from 0 to 1. */
  prefillShare(targetId: string): number;
}

/** Span over which the share is taken: short enough to follow a burst, and some dozen prompts long. */
const timeConstantMs = 1_500;

interface PrefillRecord {
  tokens: number;
  updatedAt: number;
}

export function createPrefillLoad(clock: Clock, prefillTokensPerMs: number): PrefillLoad {
  const records = new Map<string, PrefillRecord>();

  const decayedTokens = ({ tokens, updatedAt }: PrefillRecord): number =>
    tokens * Math.exp((updatedAt - clock.now()) / timeConstantMs);

  return {
    add(targetId, tokens) {
      const known = records.get(targetId);
      const remaining = known ? decayedTokens(known) : 0;
      records.set(targetId, { tokens: remaining + tokens, updatedAt: clock.now() });
    },
    prefillShare(targetId) {
      const known = records.get(targetId);
      return known ? Math.min(1, decayedTokens(known) / (timeConstantMs * prefillTokensPerMs)) : 0;
    },
  };
}
