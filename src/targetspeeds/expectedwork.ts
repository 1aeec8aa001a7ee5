import { type Candidate, estimateFirstByteMs } from '../gateway/scoring.js';
import { type TargetSpeeds } from '../gateway/speeds.js';
import { type ExpectedWork } from './trackedwork.js';

/**
 * Weight of a request that waits for a slot, in the learned speed of its target: the wait depends on
 * requests of unknown length.
 */
const queuedSampleWeight = 0.4;

/**
 * Work that a target of the usual speed would have. The other prompts that it prefills reduce the
 * weight, because the time at which they end is known only roughly; while it fetches or loads, the
 * duration tells nothing of its speed.
 */
export function expectedWork(
  candidate: Candidate,
  speeds: TargetSpeeds,
  slowness: number | undefined,
): ExpectedWork {
  const { tokensToFetch, isChangingWeights, inFlightRequests, slots } = candidate;
  const usual = { ...candidate, speedFactor: 1, slowness: 1 };
  const expectedMs = estimateFirstByteMs(usual, speeds);
  const concurrency = inFlightRequests + 1;
  if (tokensToFetch > 0 || isChangingWeights)
    return { expectedMs, concurrency, slowness, weight: 0 };
  const ownMs = expectedMs - candidate.tokensAhead / speeds.prefillTokensPerMs;
  const pendingMs = candidate.pendingPrefillTokens / speeds.prefillTokensPerMs;
  const share = ownMs / (ownMs + pendingMs);
  const weight = share ** 2 * (concurrency > slots ? queuedSampleWeight : 1);
  return { expectedMs, concurrency, slowness, weight };
}
