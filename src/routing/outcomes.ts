import { refusal, type RefusalError } from '../base/refusals.js';
import { type Chunk, RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import { type AttemptFailure } from './attempt.js';
import { type PlacementRefusal } from './policies.js';

/** Progress of one request over its attempts. */
export interface Progress {
  /** Number of the newest attempt. */
  attempt: number;
  /** Failed attempts and placements since the last delivered text. */
  failuresSinceText: number;
  /** Refusals for a stale view since the last delivered text. */
  staleViewRefusals: number;
  deliveredText: string;
  deliveredTokens: number;
  /** Newest chunks of all attempts; a continuation keeps them for a resuming caller. */
  chunks: Chunk[];
  /** Weights of the delivered text, or an empty string. */
  weightsVersion: string;
  /** Dispatched attempts of which it is not certain that they did not run. */
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

/** Wait advised when no agent named one. */
const defaultRetryAfterMs = 1_000;

/** The entry's view of the target was old; the target itself is well. */
const staleViewReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.INCARNATION,
  RefusalReason.VERSION,
  RefusalReason.LEAVING,
  RefusalReason.EXPIRED,
]);

/** Another attempt a moment later would be refused for the same reason. */
const persistentReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.QUEUE_FULL,
  RefusalReason.DEADLINE,
]);

/** Tells whether an attempt was refused only because the entry's view was old. */
export function isStaleViewRefusal({ notRun, reasons }: AttemptFailure): boolean {
  return notRun && reasons.length > 0 && reasons.every((reason) => staleViewReasons.has(reason));
}

/** Tells whether a retry within milliseconds is pointless. */
export function isPersistentRefusal({ reasons }: Pick<AttemptFailure, 'reasons'>): boolean {
  return reasons.some((reason) => persistentReasons.has(reason));
}

/** Failure that stands for a placement without a choice. */
export function failureOf({ reasons, retryAfterMs }: PlacementRefusal): AttemptFailure {
  const names = reasons.map((reason) => RefusalReason[reason]).join(', ');
  const message = names ? `no target accepts the request (${names})` : 'no target answers';
  return { message, notRun: true, reasons, retryAfterMs, isPlacementFailure: true };
}

/** Failure when no known target serves the route. */
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
  return refusal('deadline', 'the deadline passed before the answer was complete', { work });
}

/** Refusal after the last attempt; `not-run` only when no attempt can have run. */
export function finalRefusal(progress: Progress, failure: AttemptFailure): RefusalError {
  const { message, reasons } = failure;
  if (progress.deliveredTokens > 0 || progress.deliveredText !== '') {
    return refusal('targetFailed', `the answer broke off and cannot be continued: ${message}`);
  }
  if (progress.possiblyRunAttempts > 0) return refusal('targetFailed', message);
  const retryAfterMs = failure.retryAfterMs ?? defaultRetryAfterMs;
  if (reasons.length > 0 && reasons.every((reason) => reason === RefusalReason.DEADLINE)) {
    return refusal('deadline', 'no target can answer in the remaining time', { retryAfterMs });
  }
  if (failure === noTargetFailure) return refusal('noTarget', message, { retryAfterMs });
  return refusal('overloaded', message, { retryAfterMs });
}
