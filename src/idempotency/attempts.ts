/**
 * State of the non-idempotent attempts that an agent has received, or whose result was queried, in
 * this incarnation.
 */
import { type Clock } from '../base/clock.js';
import { AttemptState } from '../gen/cicadatide/v1/agent_pb.js';
import { type HeaderList } from '../ports/service.js';

/** One attempt with the part of its response that has arrived. */
export interface Attempt {
  readonly team: string;
  state: AttemptState;
  status: number;
  headers: HeaderList;
  body: Uint8Array[];
  /** Response bytes received so far, and how many of them are in `body`. */
  receivedBytes: number;
  storedBytes: number;
}

/** Attempts by id. An id that was received before is rejected while it is in the log. */
export interface AttemptLog {
  find(attemptId: string): Attempt | undefined;
  add(attemptId: string, team: string, state: AttemptState): Attempt;
  /** Appends response bytes; once a size limit is exceeded, no more bytes are stored. */
  appendBody(attempt: Attempt, data: Uint8Array): void;
  /** True once ids were dropped: an attempt that is not found may then be a dropped one. */
  readonly hasDroppedIds: boolean;
}

/** Time from the start of an attempt until its response body is discarded. */
const bodyRetentionMs = 600_000;

/** Largest response body that is stored for repeated requests. */
const maxStoredBytes = 1_048_576;

/** Limit of stored response bytes over all attempts. */
const maxTotalStoredBytes = 67_108_864;

/**
 * Limit of stored ids, about 30 MB; a day of calls at two per second. It may be exceeded while the
 * oldest attempt is running.
 */
const maxAttempts = 200_000;

export function createAttemptLog(clock: Clock, limit: number = maxAttempts): AttemptLog {
  const attempts = new Map<string, Attempt>();
  let totalStoredBytes = 0;
  let isAnyIdDropped = false;

  const dropBody = (attempt: Attempt): void => {
    totalStoredBytes -= attempt.storedBytes;
    attempt.storedBytes = 0;
    attempt.body = [];
    // A completed attempt without its body has no response to return, and it did run.
    if (attempt.state === AttemptState.COMPLETED) attempt.state = AttemptState.UNKNOWN;
  };

  return {
    get hasDroppedIds() {
      return isAnyIdDropped;
    },
    find: (attemptId) => attempts.get(attemptId),
    add(attemptId, team, state) {
      const empty = { status: 0, headers: [], body: [], receivedBytes: 0, storedBytes: 0 };
      const attempt: Attempt = { team, state, ...empty };
      attempts.set(attemptId, attempt);
      for (const [oldId, old] of attempts) {
        if (attempts.size <= limit || old.state === AttemptState.RUNNING) break;
        dropBody(old);
        attempts.delete(oldId);
        isAnyIdDropped = true;
      }
      clock.setTimer(bodyRetentionMs, () => dropBody(attempt));
      return attempt;
    },
    appendBody(attempt, data) {
      const isContiguous = attempt.storedBytes === attempt.receivedBytes;
      attempt.receivedBytes += data.length;
      if (!isContiguous || attempt.receivedBytes > maxStoredBytes) return;
      if (totalStoredBytes + data.length > maxTotalStoredBytes) return;
      attempt.body.push(data);
      attempt.storedBytes += data.length;
      totalStoredBytes += data.length;
    },
  };
}
