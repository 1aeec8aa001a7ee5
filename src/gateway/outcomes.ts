import { type CallerHead } from '../ports/wire.js';
import { type AttemptEnd, type Progress } from './attempt.js';
import { type FailureTracker } from './failuretracker.js';
import { type Placement } from './placement.js';
import { type Target } from './targets.js';

/** Takes over what the end of an attempt says of its target. */
export function learnFrom(
  reliability: FailureTracker,
  head: CallerHead,
  target: Target,
  end: AttemptEnd,
): void {
  if (end.kind === 'done') reliability.observe(target, 'ok');
  if (end.kind === 'failed' || end.kind === 'broken') reliability.observe(target, 'failed');
  if (end.kind !== 'not-run') return;
  if (end.cause === 'unreachable') reliability.observe(target, 'unreachable');
  if (end.cause !== 'misdirected') return;
  const answeredBy = end.head?.targetId;
  if (answeredBy !== undefined && answeredBy !== target.id) {
    reliability.observe(target, 'replaced');
  } else if (head.model !== undefined && end.head?.weightsVersion === undefined) {
    // The target has other weights and does not say which; its next answer does.
    target.clearWeightsVersion(head.model);
  }
}

/**
 * Goes on with a stream that broke off at the engine that has a copy of its run. It counts as the
 * same run, so also a request that may run only once can go on. An engine that changed its weights
 * meanwhile made the rest of the copy with others.
 */
export function continueAtBackup(
  reliability: FailureTracker,
  head: CallerHead,
  { target, backup, salt, weightsVersion }: Placement,
  progress: Progress,
): Placement | undefined {
  if (!backup || backup.isRemoved || reliability.isDown(backup)) return undefined;
  if (progress.lastEventId === undefined || head.model === undefined) return undefined;
  const isSameVersion =
    target.weightsVersion(head.model) === weightsVersion &&
    backup.weightsVersion(head.model) === weightsVersion;
  if (!isSameVersion) return undefined;
  return {
    target: backup,
    salt,
    weightsVersion,
    fetchFrom: undefined,
    saveTo: undefined,
    backup: undefined,
    prefillTokens: 0,
    continueFrom: { address: backup.registration.address, handle: head.requestId },
  };
}
