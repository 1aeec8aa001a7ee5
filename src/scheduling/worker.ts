import { randomUUID } from 'node:crypto';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage, TargetRefusedError } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import {
  type Chunk,
  ChunkSchema,
  type DispatchRequest,
  type OfferRequest,
  type OfferReplySchema,
  RefusalReason,
  type ResumeRequest,
} from '../gen/cicadatide/v1/agent_pb.js';
import { type CompletionKind, type EnginePort } from '../ports/engine.js';
import { blockTokens } from '../routing/blocks.js';
import { createReplayBuffer, type ReplayBuffer } from '../streams/replay.js';
import { createCacheIndex } from './cacheindex.js';
import { type CostEstimate, createCostModel } from './cost.js';
import { createEngineMonitor } from './monitor.js';
import { createReservations } from './offers.js';
import { createWorkQueue, type QueuedJob } from './queue.js';

type OfferInit = MessageInitShape<typeof OfferReplySchema>;

/** Current condition of the target, for the status stream. */
export interface WorkerStatus {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role: string;
  readonly weightsVersion: string;
  readonly incarnation: string;
  readonly queueMs: number;
  readonly running: number;
  readonly places: number;
  readonly targetDown: boolean;
  readonly reportedLoad: number;
}

/** Runs completions on the engine beside this agent. */
export interface EngineWorker extends Disposable {
  readonly status: WorkerStatus;
  /** Number of attempts that are queued or running. */
  readonly active: number;
  offer(req: OfferRequest): OfferInit;
  dispatch(req: DispatchRequest, token: CancellationToken): AsyncIterable<Chunk>;
  /** Returns undefined for an unknown request and for one of another team. */
  resume(req: ResumeRequest, token: CancellationToken): AsyncIterable<Chunk> | undefined;
  cancel(requestId: string, attempt: number, team: string): boolean;
  /** From now on new work is refused. */
  leave(): void;
}

export interface WorkerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly engine: EnginePort;
  readonly target: string;
}

/** Time that an attempt without a reader goes on, so that its caller can resume it. */
const resumeWindowMs = 5_000;

/** Time that a finished attempt is kept for a resuming reader. */
const finishedRetentionMs = 10_000;

/** Chunks that an attempt may run ahead of its reader. */
const maxUnreadChunks = 256;

/** Time in which the stream of a cancelling entry closes, so that its reader is not counted. */
const cancelRecheckMs = 200;

/** What must match before work is admitted; absent fields are not checked. */
interface AdmissionCheck {
  readonly model: string;
  readonly incarnation?: string;
  readonly weightsVersion?: string;
}

interface Run {
  readonly team: string;
  readonly buffer: ReplayBuffer;
  readonly cancel: (reason: string) => void;
}

export function createEngineWorker(options: WorkerOptions): EngineWorker {
  const { clock, log, engine, target } = options;
  const agentIncarnation = randomUUID().slice(0, 8);
  const lifetime = createCancellationSource();
  const index = createCacheIndex();
  const cost = createCostModel();
  const reservations = createReservations(clock);
  const queue = createWorkQueue(1);
  const runs = new Map<string, Run>();
  let leaving = false;

  const monitor = createEngineMonitor({
    clock,
    log,
    engine,
    index,
    onChange: (state) => {
      if (state) queue.setPlaces(state.places);
    },
  });

  const incarnation = (): string => `${agentIncarnation}.${monitor.state?.incarnation ?? 'down'}`;

  const runKey = (requestId: string, attempt: number): string => `${requestId}/${attempt}`;

  const findRun = (requestId: string, attempt: number, team: string): Run | undefined => {
    let found: Run | undefined;
    if (attempt > 0) found = runs.get(runKey(requestId, attempt));
    else {
      // The loser of a hedge is cancelled and may be the newest, so a failed run comes last.
      for (const [key, run] of runs) {
        if (!key.startsWith(`${requestId}/`)) continue;
        if (!found || found.buffer.failed || !run.buffer.failed) found = run;
      }
    }
    return found?.team === team ? found : undefined;
  };

  const estimateJob = (
    req: Pick<OfferRequest, 'promptTokens' | 'outputTokens' | 'team' | 'priority' | 'remainingMs'>,
    cachedTokens: number,
  ): { readonly job: QueuedJob; readonly estimate: CostEstimate } => {
    const { state } = monitor;
    const size = { promptTokens: req.promptTokens, outputTokens: req.outputTokens, cachedTokens };
    const estimate = state ? cost.estimate(state, size) : { prefillMs: 0, decodeMs: 0 };
    const { team, priority, remainingMs } = req;
    const costMs = estimate.prefillMs + estimate.decodeMs;
    return { estimate, job: { team, priority, remainingMs, costMs } };
  };

  const refusalFor = (req: AdmissionCheck): RefusalReason => {
    const { state } = monitor;
    if (leaving) return RefusalReason.LEAVING;
    if (!state) return RefusalReason.TARGET_DOWN;
    if (!state.models.includes(req.model)) return RefusalReason.MODEL;
    if (req.incarnation && req.incarnation !== incarnation()) return RefusalReason.INCARNATION;
    if (req.weightsVersion && req.weightsVersion !== state.weightsVersion) {
      return RefusalReason.VERSION;
    }
    return RefusalReason.UNSPECIFIED;
  };

  const execute = async (
    req: DispatchRequest,
    buffer: ReplayBuffer,
    token: CancellationToken,
  ): Promise<void> => {
    const fail = (message: string, notRun: boolean, refusal = RefusalReason.UNSPECIFIED): void =>
      buffer.append({
        case: 'failure',
        value: {
          $typeName: 'cicadatide.v1.StreamFailure',
          message,
          notRun,
          refusal,
          retryAfterMs: 0,
        },
      });
    const refusal = refusalFor(req);
    if (refusal !== RefusalReason.UNSPECIFIED) {
      fail('agent rejected the request before hand-over', true, refusal);
      return;
    }
    const { job } = estimateJob(req, 0);
    const acceptedAt = clock.now();
    let place: Disposable;
    try {
      place = await queue.acquire(job, token);
    } catch {
      fail('request was cancelled in the queue', true);
      return;
    }
    const startedAt = clock.now();
    let firstTokenAt = 0;
    try {
      const events = engine.complete(
        {
          requestId: runKey(req.requestId, req.attempt),
          kind: req.kind as CompletionKind,
          body: req.body,
          salt: req.salt,
          weightsVersion: req.weightsVersion,
          priority: req.priority,
          deliveredText: req.deliveredText,
          deliveredTokens: req.deliveredTokens,
        },
        token,
      );
      for await (const event of events) {
        if (event.kind === 'text') {
          if (firstTokenAt === 0) firstTokenAt = clock.now();
          buffer.append({
            case: 'text',
            value: {
              $typeName: 'cicadatide.v1.TextDelta',
              text: event.text,
              tokens: event.tokens,
            },
          });
          await buffer.waitForRoom(maxUnreadChunks, token);
          continue;
        }
        buffer.append({
          case: 'end',
          value: {
            $typeName: 'cicadatide.v1.StreamEnd',
            finishReason: event.finishReason,
            promptTokens: event.promptTokens,
            cachedTokens: event.cachedTokens,
            outputTokens: event.outputTokens,
            queueMs: Math.round(startedAt - acceptedAt),
            firstTokenMs: Math.round(firstTokenAt - startedAt),
          },
        });
        return;
      }
      fail('engine stream ended without its terminal event', false);
    } catch (err) {
      fail(errMessage(err), err instanceof TargetRefusedError);
      if (!token.isCancellationRequested) await monitor.refresh();
    } finally {
      place.dispose();
    }
  };

  /** Cancels an attempt once it has had no reader for the resume window. */
  const cancelWhenAbandoned = async (run: Run, token: CancellationToken): Promise<void> => {
    let idleSince = clock.now();
    while (!run.buffer.ended && !token.isCancellationRequested) {
      if (run.buffer.readers > 0) idleSince = clock.now();
      if (clock.now() - idleSince > resumeWindowMs) run.cancel('caller did not resume in time');
      await sleep(clock, resumeWindowMs / 10, token);
    }
  };

  const startRun = (req: DispatchRequest): Run => {
    const key = runKey(req.requestId, req.attempt);
    const runSource = createCancellationSource(lifetime.token);
    const { requestId, attempt } = req;
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
            target,
            model: req.model,
            kind: req.kind,
            failed: buffer.failed,
            ended: buffer.ended,
          },
        }),
      },
    );
    const run: Run = { team: req.team, buffer, cancel: (reason) => runSource.cancel(reason) };
    runs.set(key, run);
    buffer.append({
      case: 'accepted',
      value: {
        $typeName: 'cicadatide.v1.Accepted',
        target,
        weightsVersion: monitor.state?.weightsVersion ?? '',
        incarnation: incarnation(),
      },
    });
    const deadline = clock.setTimer(req.remainingMs, () => runSource.cancel('deadline passed'));
    cancelWhenAbandoned(run, runSource.token).catch(() => undefined);
    execute(req, buffer, runSource.token)
      .catch((err: unknown) => log.error({ requestId, err: errMessage(err) }, 'attempt failed'))
      .finally(() => {
        deadline.dispose();
        runSource.dispose();
        clock.setTimer(finishedRetentionMs, () => runs.delete(key));
      });
    return run;
  };

  return {
    get status() {
      const { state, load } = monitor;
      return {
        models: state?.models ?? [],
        adapters: state?.adapters ?? [],
        role: state?.role ?? '',
        weightsVersion: state?.weightsVersion ?? '',
        incarnation: incarnation(),
        queueMs: Math.round(
          queue.expectedWaitMs({ team: '', priority: 0, costMs: 0, remainingMs: 0 }),
        ),
        running: queue.running,
        places: queue.places,
        targetDown: state === undefined,
        reportedLoad: load.running + load.waiting,
      };
    },
    get active() {
      let count = 0;
      for (const { buffer } of runs.values()) if (!buffer.ended) count += 1;
      return count;
    },
    offer(req) {
      const refusal = refusalFor(req);
      if (refusal !== RefusalReason.UNSPECIFIED) return { refusal, retryAfterMs: 0 };
      const cachedTokens = index.cachedDepth(req.blockHashes, req.blockDepths) * blockTokens;
      const { job, estimate } = estimateJob(req, cachedTokens);
      const waitMs = queue.expectedWaitMs(job) + reservations.pendingMs / queue.places;
      return {
        expectedFirstTokenMs: Math.round(waitMs + estimate.prefillMs),
        cachedTokens,
        weightsVersion: monitor.state?.weightsVersion ?? '',
        incarnation: incarnation(),
        reservationId: reservations.reserve(job.costMs),
      };
    },
    dispatch(req, token) {
      reservations.release(req.reservationId);
      const known = runs.get(runKey(req.requestId, req.attempt));
      const afterSeq = req.delivered.at(-1)?.seq ?? 0;
      return (known ?? startRun(req)).buffer.read(afterSeq, token);
    },
    resume(req, token) {
      const run = findRun(req.requestId, req.attempt, req.team);
      return run?.buffer.read(req.afterSeq, token);
    },
    cancel(requestId, attempt, team) {
      const run = findRun(requestId, attempt, team);
      // A caller that resumed through another entry still reads when its first entry cancels.
      const cancelUnread = (): void => {
        if (run?.buffer.readers === 0) run.cancel('cancelled by the entry');
      };
      cancelUnread();
      if (run && run.buffer.readers > 0) clock.setTimer(cancelRecheckMs, cancelUnread);
      return run !== undefined;
    },
    leave() {
      leaving = true;
    },
    dispose() {
      lifetime.cancel('agent stopped');
      monitor.dispose();
    },
  };
}
