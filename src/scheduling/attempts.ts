/** Attempts of this agent: starting, resuming and cancelling them. */
import { create } from '@bufbuild/protobuf';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Accepted, ChunkSchema, type DispatchRequest } from '../gen/cicadatide/v1/agent_pb.js';
import { createReplayBuffer, type ReplayBuffer } from '../streams/replay.js';

/** One attempt with its replay buffer. */
export interface Attempt {
  readonly team: string;
  readonly buffer: ReplayBuffer;
  cancel(reason: string): void;
}

/** Attempts that are queued, running or recently finished. Each runs at most once. */
export interface Attempts extends Disposable {
  /** Number of attempts that are queued or running. */
  readonly active: number;
  /** Returns the attempt of this request, which is started unless it is known already. */
  start(req: DispatchRequest): Attempt;
  /** Returns undefined for an unknown attempt and for one of another team; 0 is the newest. */
  find(requestId: string, attempt: number, team: string): Attempt | undefined;
  /** Cancels an attempt unless another reader has taken it over; false when it is unknown. */
  cancel(requestId: string, attempt: number, team: string): boolean;
}

export interface AttemptsOptions {
  readonly clock: Clock;
  /** Fields of the first chunk of each attempt. */
  readonly accepted: () => Omit<Accepted, '$typeName' | '$unknown'>;
  readonly execute: (
    req: DispatchRequest,
    buffer: ReplayBuffer,
    token: CancellationToken,
  ) => Promise<void>;
  readonly onError: (requestId: string, err: unknown) => void;
}

/** Time that an attempt without a reader goes on, so that its caller can resume it. */
const resumeWindowMs = 5_000;

/** Time that a finished attempt is kept for a resuming reader. */
const finishedRetentionMs = 10_000;

/** Time in which the stream of a cancelling entry closes, so that its reader is not counted. */
const cancelRecheckMs = 200;

export function createAttempts(options: AttemptsOptions): Attempts {
  const { clock, accepted, execute, onError } = options;
  const lifetime = createCancellationSource();
  const attempts = new Map<string, Attempt>();

  const keyOf = (requestId: string, attempt: number): string => `${requestId}/${attempt}`;

  /** Cancels an attempt once it has had no reader for the resume window. */
  const cancelWhenAbandoned = async (run: Attempt, token: CancellationToken): Promise<void> => {
    let idleSince = clock.now();
    while (!run.buffer.hasEnded && !token.isCancellationRequested) {
      if (run.buffer.readerCount > 0) idleSince = clock.now();
      if (clock.now() - idleSince > resumeWindowMs) run.cancel('caller did not resume in time');
      await sleep(clock, resumeWindowMs / 10, token);
    }
  };

  const begin = (req: DispatchRequest): Attempt => {
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
            target: accepted().target,
            model: req.model,
            kind: req.kind,
            failed: buffer.hasFailed,
            ended: buffer.hasEnded,
          },
        }),
      },
    );
    const run: Attempt = { team, buffer, cancel: (reason) => source.cancel(reason) };
    attempts.set(keyOf(requestId, attempt), run);
    const value = { $typeName: 'cicadatide.v1.Accepted', ...accepted() } as const;
    buffer.append({ case: 'accepted', value });
    const deadline = clock.setTimer(req.remainingMs, () => source.cancel('deadline passed'));
    cancelWhenAbandoned(run, source.token).catch(() => undefined);
    execute(req, buffer, source.token)
      .catch((err: unknown) => onError(requestId, err))
      .finally(() => {
        deadline.dispose();
        source.dispose();
        clock.setTimer(finishedRetentionMs, () => attempts.delete(keyOf(requestId, attempt)));
      });
    return run;
  };

  const find: Attempts['find'] = (requestId, attempt, team) => {
    let found: Attempt | undefined;
    if (attempt > 0) found = attempts.get(keyOf(requestId, attempt));
    else {
      // The loser of a hedge is cancelled and may be the newest, so a failed attempt comes last.
      for (const [key, run] of attempts) {
        if (!key.startsWith(`${requestId}/`)) continue;
        if (!found || found.buffer.hasFailed || !run.buffer.hasFailed) found = run;
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
    start: (req) => attempts.get(keyOf(req.requestId, req.attempt)) ?? begin(req),
    find,
    cancel(requestId, attempt, team) {
      const run = find(requestId, attempt, team);
      // A caller that resumed through another entry still reads when its first entry cancels.
      const cancelUnread = (): void => {
        if (run?.buffer.readerCount === 0) run.cancel('cancelled by the entry');
      };
      cancelUnread();
      if (run && run.buffer.readerCount > 0) clock.setTimer(cancelRecheckMs, cancelUnread);
      return run !== undefined;
    },
    dispose: () => lifetime.cancel('agent stopped'),
  };
}
