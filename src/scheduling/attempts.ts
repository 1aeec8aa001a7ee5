/** Starts, finds and cancels the attempts that run on this agent. */
import { create } from '@bufbuild/protobuf';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Accepted, ChunkSchema, type DispatchRequest } from '../gen/cicadatide/v1/agent_pb.js';
import { createReplayBuffer, type ReplayBuffer } from '../streams/replay.js';

/** One attempt to serve a request, with the replay buffer of its chunks. */
export interface Attempt {
  readonly team: string;
  readonly buffer: ReplayBuffer;
  cancel(reason: string): void;
}

/**
 * Attempts that are queued, running or recently finished. A repeated dispatch of one of them does
 * not run it again.
 */
export interface Attempts extends Disposable {
  /** Number of attempts that are queued or running. */
  readonly active: number;
  /** Returns the attempt of the request; starts it if it does not exist yet. */
  start(req: DispatchRequest): Attempt;
  /**
   * Returns undefined for an unknown attempt and for one of another team. Attempt 0 selects the
   * newest one that has not failed, or the newest one if all failed.
   */
  find(requestId: string, attempt: number, team: string): Attempt | undefined;
  /**
   * Cancels an attempt that has no reader; while it has one, checks once more after a short delay.
   * Returns false when the attempt is unknown or of another team.
   */
  cancel(requestId: string, attempt: number, team: string): boolean;
}

export interface AttemptsOptions {
  readonly clock: Clock;
  /** Fields of the `accepted` chunk, the first one that each attempt appends. */
  readonly acceptedFields: () => Omit<Accepted, '$typeName' | '$unknown'>;
  readonly execute: (
    req: DispatchRequest,
    buffer: ReplayBuffer,
    token: CancellationToken,
  ) => Promise<void>;
  readonly onError: (requestId: string, err: unknown) => void;
}

/** Time that an attempt continues without a reader, so that its caller can resume it. */
const resumeWindowMs = 5_000;

/** Time that a finished attempt stays available to a reader that resumes. */
const finishedRetentionMs = 10_000;

/** Delay in which the stream of the cancelling entry closes, so its reader is not counted. */
const cancelRecheckMs = 200;

export function createAttempts(options: AttemptsOptions): Attempts {
  const { clock, acceptedFields, execute, onError } = options;
  const lifetime = createCancellationSource();
  const attempts = new Map<string, Attempt>();

  const keyOf = (requestId: string, attempt: number): string => `${requestId}/${attempt}`;

  /** Cancels an attempt once it has had no reader for the resume window. */
  const cancelWithoutReader = async (attempt: Attempt, token: CancellationToken): Promise<void> => {
    let idleSince = clock.now();
    while (!attempt.buffer.hasEnded && !token.isCancellationRequested) {
      if (attempt.buffer.readerCount > 0) idleSince = clock.now();
      if (clock.now() - idleSince > resumeWindowMs) attempt.cancel('caller did not resume in time');
      await sleep(clock, resumeWindowMs / 10, token);
    }
  };

  const startAttempt = (req: DispatchRequest): Attempt => {
    const { requestId, attempt, team } = req;
    const source = createCancellationSource(lifetime.token);
    const buffer: ReplayBuffer = createReplayBuffer(
      requestId,
      attempt,
      (fields) => create(ChunkSchema, { requestId, attempt, ...fields }),
      {
        clock,
        delivered: req.delivered,
        progress: () => ({
          case: 'progress',
          value: {
            $typeName: 'cicadatide.v1.Progress',
            target: acceptedFields().target,
            model: req.model,
            kind: req.kind,
            failed: buffer.hasFailed,
            ended: buffer.hasEnded,
          },
        }),
      },
    );
    const started: Attempt = { team, buffer, cancel: (reason) => source.cancel(reason) };
    attempts.set(keyOf(requestId, attempt), started);
    const value = { $typeName: 'cicadatide.v1.Accepted', ...acceptedFields() } as const;
    buffer.append({ case: 'accepted', value });
    const deadline = clock.setTimer(req.remainingMs, () => source.cancel('deadline passed'));
    cancelWithoutReader(started, source.token).catch(() => undefined);
    execute(req, buffer, source.token)
      .catch((err: unknown) => onError(requestId, err))
      .finally(() => {
        deadline.dispose();
        source.dispose();
        clock.setTimer(finishedRetentionMs, () => attempts.delete(keyOf(requestId, attempt)));
      });
    return started;
  };

  const find: Attempts['find'] = (requestId, attempt, team) => {
    let found: Attempt | undefined;
    if (attempt > 0) found = attempts.get(keyOf(requestId, attempt));
    else {
      // Finds the newest attempt that has not failed or, if all have failed, the newest one. The
      // slower attempt of a hedge is cancelled, so it fails, and it may be the newest.
      for (const [key, candidate] of attempts) {
        if (!key.startsWith(`${requestId}/`)) continue;
        if (!found || found.buffer.hasFailed || !candidate.buffer.hasFailed) found = candidate;
      }
    }
    return found?.team === team ? found : undefined;
  };

  return {
    get active() {
      let count = 0;
      for (const { buffer } of attempts.values()) if (!buffer.hasEnded) count += 1;
      return count;
    },
    start: (req) => attempts.get(keyOf(req.requestId, req.attempt)) ?? startAttempt(req),
    find,
    cancel(requestId, attempt, team) {
      const found = find(requestId, attempt, team);
      // A caller that resumed through another entry still reads when the first entry cancels.
      const cancelUnread = (): void => {
        if (found?.buffer.readerCount === 0) found.cancel('cancelled by the entry');
      };
      cancelUnread();
      if (found && found.buffer.readerCount > 0) clock.setTimer(cancelRecheckMs, cancelUnread);
      return found !== undefined;
    },
    dispose: () => lifetime.cancel('agent stopped'),
  };
}
