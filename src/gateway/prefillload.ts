import { type Clock } from '../base/clock.js';

/**
 * Estimates the fraction of its time that each engine spends on prefill, from the requests that all
 * gateways placed there. An engine interleaves prefill chunks with token generation, so each
 * generated token waits for a chunk while there are prompts to prefill.
 */
export interface PrefillLoad {
  /** Records prompt tokens that an engine has to prefill. */
  add(targetId: string, tokens: number): void;
  /** Recent fraction of time, from 0 to 1. */
  prefillShare(targetId: string, prefillTokensPerMs: number): number;
}

/** Time constant of the decay: short enough to follow a burst, yet some dozen prefills long. */
const timeConstantMs = 1_500;

interface PrefillRecord {
  tokens: number;
  updatedAt: number;
}

export function createPrefillLoad(clock: Clock): PrefillLoad {
  const records = new Map<string, PrefillRecord>();

  const decayedTokens = ({ tokens, updatedAt }: PrefillRecord): number =>
    tokens * Math.exp((updatedAt - clock.now()) / timeConstantMs);

  return {
    add(targetId, tokens) {
      const known = records.get(targetId);
      const remaining = known ? decayedTokens(known) : 0;
      records.set(targetId, { tokens: remaining + tokens, updatedAt: clock.now() });
    },
    prefillShare(targetId, prefillTokensPerMs) {
      const known = records.get(targetId);
      return known ? Math.min(1, decayedTokens(known) / (timeConstantMs * prefillTokensPerMs)) : 0;
    },
  };
}
