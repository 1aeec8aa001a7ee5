/** Jobs of the work queue, and the error with which the queue refuses them. */
import { CicadatideError } from '../base/errors.js';
import { RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';

/** Estimated cost of one request. */
export interface JobCost {
  /** Estimated time that the job occupies its slot on an otherwise idle engine. */
  readonly costMs: number;
  /** Part of the cost that is prefill, whose speed concurrent requests share. */
  readonly prefillMs?: number;
}

/** One request in the work queue. */
export interface QueuedJob extends JobCost {
  readonly team: string;
  /** Higher values go first within a team and kind of job; a waiting job gains 1 per `agingMs`. */
  readonly priority: number;
  /** Milliseconds until the response is due, at the time of the call. */
  readonly remainingMs: number;
  /** Returns true while the job should not start yet; call `poll` of the queue when that changes. */
  readonly isBlocked?: () => boolean;
  /** Updates the estimate when the job is about to start, as the cache changes while it waits. */
  readonly estimate?: () => JobCost;
  /** Called before any other job can start, with the expected time of the first token. */
  readonly onStart?: (firstTokenAt: number) => void;
}

/** Error of a job that the queue refused before it started. */
export const QueueRefusedError = CicadatideError.subclass('QueueRefusedError');

/** Instance of {@link QueueRefusedError}. */
export type QueueRefusedError = Error & {
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
};

/** Minimum retry delay of a queue refusal, about the duration of a short request. */
const minRetryAfterMs = 50;

export function createQueueRefusal(reason: RefusalReason, retryAfterMs: number): Error {
  const detail = `queue refused the request: ${RefusalReason[reason]}`;
  const props = { reason, retryAfterMs: Math.ceil(Math.max(minRetryAfterMs, retryAfterMs)) };
  return new QueueRefusedError(`${detail}; try another target`, { props });
}
