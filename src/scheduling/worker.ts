/** Engine worker of an agent: combines offers, queueing, execution and the cache index. */
import { randomUUID } from 'node:crypto';
import { type MessageInitShape } from '@bufbuild/protobuf';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import {
  type Chunk,
  type DispatchRequest,
  type OfferRequest,
  type OfferReplySchema,
  RefusalReason,
  type ResumeRequest,
} from '../gen/cicadatide/v1/agent_pb.js';
import { type EnginePort } from '../ports/engine.js';
import { createAttempts } from './attempts.js';
import { createCacheIndex } from './cacheindex.js';
import { createCostModel } from './cost.js';
import { createExecution } from './execution.js';
import { createEngineMonitor } from './monitor.js';
import { createReservations } from './reservations.js';
import { createPendingPrefixes } from './pendingprefixes.js';
import { createPlanner } from './planner.js';
import { createWorkQueue } from './queue.js';

type OfferInit = MessageInitShape<typeof OfferReplySchema>;

/** Current status of the target, for the status stream. */
export interface WorkerStatus {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role: string;
  readonly weightsVersion: string;
  readonly incarnation: string;
  readonly queueMs: number;
  readonly running: number;
  readonly places: number;
  /** True while the engine is not reachable or new work is paused. */
  readonly targetDown: boolean;
  /** True while new work is paused for an order. */
  readonly paused: boolean;
  readonly reportedLoad: number;
}

/** Offers, runs and resumes completions on the engine of this agent. */
export interface EngineWorker extends Disposable {
  readonly status: WorkerStatus;
  /** Number of attempts that are queued or running. */
  readonly active: number;
  offer(req: OfferRequest): OfferInit;
  dispatch(req: DispatchRequest, token: CancellationToken): AsyncIterable<Chunk>;
  /** Returns undefined for an unknown attempt and for one of another team. */
  resume(req: ResumeRequest, token: CancellationToken): AsyncIterable<Chunk> | undefined;
  cancel(requestId: string, attempt: number, team: string): boolean;
  /** Refuses new work from now on. */
  leave(): void;
  /**
   * Refuses new work until the result is disposed and the engine's state has been polled again.
   * Work that was accepted before continues.
   */
  pause(): Disposable;
}

export interface WorkerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly engine: EnginePort;
  readonly target: string;
  /** Weight of a team relative to the others; 1 by default. */
  readonly teamWeight?: (team: string) => number;
  /** Number of requests to run at once; the engine's own number when undefined. */
  readonly configuredSlots?: () => number | undefined;
}

/** Fields that must match before work is admitted; absent or empty optional ones are skipped. */
interface AdmissionCheck {
  readonly model: string;
  readonly incarnation?: string;
  readonly weightsVersion?: string;
}

export function createEngineWorker(options: WorkerOptions): EngineWorker {
  const { clock, log, engine, target, teamWeight = () => 1, configuredSlots } = options;
  const agentIncarnation = randomUUID().slice(0, 8);
  const pendingPrefixes = createPendingPrefixes(clock);
  const cacheIndex = createCacheIndex({
    onEvicted: pendingPrefixes.evict,
    onReplaced: pendingPrefixes.clear,
  });
  const costModel = createCostModel(clock);
  const reservations = createReservations(clock);
  const queue = createWorkQueue({ clock, slots: 1, teamWeight });
  let isLeaving = false;
  let pauseCount = 0;

  const monitor = createEngineMonitor({
    clock,
    log,
    engine,
    cacheIndex,
    onStateUpdate: (state) => {
      if (state) queue.setSlots(configuredSlots?.() ?? state.places);
      else pendingPrefixes.clear();
    },
  });

  const currentState = () => monitor.state;
  const planner = createPlanner({ clock, cacheIndex, pendingPrefixes, costModel, currentState });
  const incarnation = (): string => `${agentIncarnation}.${monitor.state?.incarnation ?? 'down'}`;
  const weightsVersion = (): string => monitor.state?.weightsVersion ?? '';

  const refusalFor = (req: AdmissionCheck): RefusalReason => {
    const { state } = monitor;
    // After a dispatch refused for this reason, an entry retries without delay, up to twice without
    // text in between, and avoids the target only from the second such refusal of the request on.
    if (isLeaving || pauseCount > 0) return RefusalReason.LEAVING;
    if (!state) return RefusalReason.TARGET_DOWN;
    if (!state.models.includes(req.model)) return RefusalReason.MODEL;
    if (req.incarnation && req.incarnation !== incarnation()) return RefusalReason.INCARNATION;
    if (req.weightsVersion && req.weightsVersion !== state.weightsVersion) {
      return RefusalReason.VERSION;
    }
    return RefusalReason.UNSPECIFIED;
  };

  const { execute } = createExecution({
    ...{ clock, engine, queue, planner, pendingPrefixes, costModel, monitor, refusalFor },
  });
  const attempts = createAttempts({
    clock,
    execute,
    acceptedFields: () => ({
      target,
      weightsVersion: weightsVersion(),
      incarnation: incarnation(),
    }),
    onError: (requestId, err) => log.error({ requestId, err: errMessage(err) }, 'attempt failed'),
  });

  return {
    get status() {
      const { state, load } = monitor;
      return {
        models: state?.models ?? [],
        adapters: state?.adapters ?? [],
        role: state?.role ?? '',
        weightsVersion: weightsVersion(),
        incarnation: incarnation(),
        queueMs: Math.round(queue.backlogMs),
        running: queue.running,
        places: queue.slots,
        targetDown: state === undefined || pauseCount > 0,
        paused: pauseCount > 0,
        reportedLoad: load.running + load.waiting,
      };
    },
    get active() {
      return attempts.active;
    },
    offer(req) {
      const refusal = refusalFor(req);
      if (refusal !== RefusalReason.UNSPECIFIED) return { refusal, retryAfterMs: 0 };
      const retryAfterMs = Math.ceil(queue.backlogMs);
      if (queue.isFull) return { refusal: RefusalReason.QUEUE_FULL, retryAfterMs };
      const plan = planner.plan(req);
      const job = planner.offeredJob(req, plan);
      const forecast = queue.forecast(job, reservations.reservedJobs);
      if (!forecast.onTime) return { refusal: RefusalReason.DEADLINE, retryAfterMs };
      const earliestFirstTokenMs = plan.readyInMs + plan.cost.prefillMs;
      return {
        expectedFirstTokenMs: Math.round(Math.max(forecast.firstTokenMs, earliestFirstTokenMs)),
        prefillMs: Math.round(plan.cost.prefillMs),
        cachedTokens: plan.cachedTokens,
        weightsVersion: weightsVersion(),
        incarnation: incarnation(),
        reservationId: reservations.reserve(job),
      };
    },
    dispatch(req, token) {
      reservations.use(req.reservationId);
      const afterSeq = req.delivered.at(-1)?.seq ?? 0;
      return attempts.start(req).buffer.read(afterSeq, token);
    },
    resume: (req, token) =>
      attempts.find(req.requestId, req.attempt, req.team)?.buffer.read(req.afterSeq, token),
    cancel: attempts.cancel,
    leave() {
      isLeaving = true;
    },
    pause() {
      pauseCount += 1;
      const resume = (): void => {
        pauseCount -= 1;
      };
      // Without a new state, work would be accepted for the weights from before the order.
      return toDisposable(() => {
        monitor.refresh().then(resume, resume);
      });
    },
    dispose() {
      attempts.dispose();
      monitor.dispose();
    },
  };
}
