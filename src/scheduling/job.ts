/** Requests as the queue sees them, and its refusals. */
import { CicadatideError } from '../base/errors.js';
import { RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';

/** Estimated cost of one request. */
export interface JobCost {
  /** Estimated time that the job holds its place on an otherwise idle engine. */
  readonly costMs: number;
  /** Part of the cost that is prefill, which concurrent requests share. */
  readonly prefillMs?: number;
}

/** What the queue knows of one request. */
export interface QueuedJob extends JobCost {
  readonly team: string;
  /** Higher values go first. */
  readonly priority: number;
  /** Milliseconds until the answer is due, at the time of the call. */
  readonly remainingMs: number;
  /** True while the job should not start yet; the queue is polled when it may go on. */
  readonly isHeld?: () => boolean;
  /** Estimates the job again when its turn comes, as the cache changes while it waits. */
  readonly estimate?: () => JobCost;
  /** Called before any other job can start, with the expected time of the first token. */
  readonly onStart?: (firstTokenAt: number) => void;
}

/** The queue refused a job before it started. */
export const QueueRefusedError = CicadatideError.subclass('QueueRefusedError');

/** Instance of {@link QueueRefusedError}. */
export type QueueRefusedError = Error & {
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
};

/** Shortest delay worth telling a caller, about one short request. */
const minRetryAfterMs = 50;

/** Creates the error of one refusal. */
export function createQueueRefusal(reason: RefusalReason, retryAfterMs: number): Error {
  const detail = `queue refused the request: ${RefusalReason[reason]}`;
  const props = { reason, retryAfterMs: Math.ceil(Math.max(minRetryAfterMs, retryAfterMs)) };
  return new QueueRefusedError(`${detail}; try another target`, { props });
}
