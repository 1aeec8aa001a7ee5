import { refusal, type RefusalError } from '../base/refusals.js';
import { type Chunk, RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import { type AttemptFailure } from './attempt.js';
import { type PlacementRefusal } from './policies.js';

/** Progress of one request over its attempts. */
export interface Progress {
  /** Number of the newest attempt. */
  attempt: number;
  /**
   * Failed attempts and placements since the last delivered text. Refusals for a stale view that
   * are retried without delay do not count.
   */
  failuresSinceText: number;
  /** Refusals for a stale view since the last delivered text. */
  staleViewRefusals: number;
  deliveredText: string;
  deliveredTokens: number;
  /** Newest chunks of all attempts; a continuation sends them along for callers that resume. */
  chunks: Chunk[];
  /** Weights of the delivered text, or an empty string. */
  weightsVersion: string;
  /** Dispatched attempts that are not certain to have been rejected before they ran. */
  possiblyRunAttempts: number;
  readonly failedAddresses: Set<string>;
}

export function createProgress(): Progress {
  return {
    attempt: 0,
    failuresSinceText: 0,
    staleViewRefusals: 0,
    deliveredText: '',
    deliveredTokens: 0,
    chunks: [],
    weightsVersion: '',
    possiblyRunAttempts: 0,
    failedAddresses: new Set(),
  };
}

/** Retry delay advised to the caller when no agent advised one. */
const defaultRetryAfterMs = 1_000;

/** Reasons that show an outdated view at the entry and no fault of the target. */
const staleViewReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.INCARNATION,
  RefusalReason.VERSION,
  RefusalReason.LEAVING,
  RefusalReason.EXPIRED,
]);

/** Reasons for which another attempt a moment later would be refused as well. */
const persistentReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.QUEUE_FULL,
  RefusalReason.DEADLINE,
]);

/** Returns whether an attempt was refused only because the entry's view was outdated. */
export function isStaleViewRefusal({ notRun, reasons }: AttemptFailure): boolean {
  return notRun && reasons.length > 0 && reasons.every((reason) => staleViewReasons.has(reason));
}

/** Returns whether a retry within milliseconds is pointless. */
export function isPersistentRefusal({ reasons }: Pick<AttemptFailure, 'reasons'>): boolean {
  return reasons.some((reason) => persistentReasons.has(reason));
}

/** Converts a refused placement to a failure. */
export function failureOf({ reasons, retryAfterMs }: PlacementRefusal): AttemptFailure {
  const names = reasons.map((reason) => RefusalReason[reason]).join(', ');
  const message = names
    ? `no target accepts the request (${names})`
    : 'no target replied to the offer request';
  return { message, notRun: true, reasons, retryAfterMs, isPlacementFailure: true };
}

/** Failure when no usable target serves the route or has the weights of the delivered text. */
export const noTargetFailure: AttemptFailure = {
  message: 'no target is ready for this route',
  notRun: true,
  reasons: [RefusalReason.TARGET_DOWN],
  retryAfterMs: defaultRetryAfterMs,
  isPlacementFailure: true,
};

/** Refusal after the request's deadline has passed. */
export function expiredRefusal(progress: Progress): RefusalError {
  const work = progress.possiblyRunAttempts > 0 ? 'unknown' : 'not-run';
  return refusal('deadline', 'the deadline passed before the response was complete', { work });
}

/** Refusal after the last attempt; `not-run` only when no attempt can have run. */
export function finalRefusal(progress: Progress, failure: AttemptFailure): RefusalError {
  const { message, reasons } = failure;
  if (progress.deliveredTokens > 0 || progress.deliveredText !== '') {
    return refusal(
      'targetFailed',
      `the response was interrupted and cannot be continued: ${message}`,
    );
  }
  if (progress.possiblyRunAttempts > 0) return refusal('targetFailed', message);
  const retryAfterMs = failure.retryAfterMs ?? defaultRetryAfterMs;
  if (reasons.length > 0 && reasons.every((reason) => reason === RefusalReason.DEADLINE)) {
    return refusal('deadline', 'no target can respond in the remaining time', { retryAfterMs });
  }
  if (failure === noTargetFailure) return refusal('noTarget', message, { retryAfterMs });
  return refusal('overloaded', message, { retryAfterMs });
}
