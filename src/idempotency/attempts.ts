/** What an agent knows of the non-idempotent attempts that it has seen in this incarnation. */
import { type Clock } from '../base/clock.js';
import { AttemptState } from '../gen/cicadatide/v1/agent_pb.js';
import { type HeaderList } from '../ports/service.js';

/** One attempt and, once it has completed, its response. */
export interface Attempt {
  readonly team: string;
  state: AttemptState;
  status: number;
  headers: HeaderList;
  body: Uint8Array[];
  /** Bytes of the response so far, and how many of them are in `body`. */
  bytes: number;
  keptBytes: number;
}

/** Attempts by id. An id that was seen once is refused until the agent ends. */
export interface AttemptLog {
  find(attemptId: string): Attempt | undefined;
  add(attemptId: string, team: string, state: AttemptState): Attempt;
  /** Adds response bytes; a response above the bound is not kept. */
  keep(attempt: Attempt, data: Uint8Array): void;
  /** True once ids were dropped: an unseen attempt may then be a dropped one. */
  readonly hasForgotten: boolean;
}

/** Time that a response body is kept in memory. */
const bodyRetentionMs = 600_000;

/** Largest response body that is kept for repeats. */
const maxKeptBytes = 1_048_576;

/** Response bytes that are kept over all attempts. */
const maxTotalBytes = 67_108_864;

/** Ids that are remembered, about 30 MB; a day of calls at two per second. */
const maxAttempts = 200_000;

export function createAttemptLog(clock: Clock, limit: number = maxAttempts): AttemptLog {
  const attempts = new Map<string, Attempt>();
  let totalBytes = 0;
  let forgotten = false;

  const dropBody = (attempt: Attempt): void => {
    totalBytes -= attempt.keptBytes;
    attempt.keptBytes = 0;
    attempt.body = [];
    // Without its body a completed attempt can't be answered, and it certainly did run.
    if (attempt.state === AttemptState.COMPLETED) attempt.state = AttemptState.UNKNOWN;
  };

  return {
    get hasForgotten() {
      return forgotten;
    },
    find: (attemptId) => attempts.get(attemptId),
    add(attemptId, team, state) {
      const empty = { status: 0, headers: [], body: [], bytes: 0, keptBytes: 0 };
      const attempt: Attempt = { team, state, ...empty };
      attempts.set(attemptId, attempt);
      for (const [oldId, old] of attempts) {
        if (attempts.size <= limit || old.state === AttemptState.RUNNING) break;
        dropBody(old);
        attempts.delete(oldId);
        forgotten = true;
      }
      clock.setTimer(bodyRetentionMs, () => dropBody(attempt));
      return attempt;
    },
    keep(attempt, data) {
      const isGapless = attempt.keptBytes === attempt.bytes;
      attempt.bytes += data.length;
      if (!isGapless || attempt.bytes > maxKeptBytes) return;
      if (totalBytes + data.length > maxTotalBytes) return;
      attempt.body.push(data);
      attempt.keptBytes += data.length;
      totalBytes += data.length;
    },
  };
}
