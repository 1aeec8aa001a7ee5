/** Runs a dispatched request: waits in the queue, streams chunks, updates the cost model. */
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage, TargetRefusedError } from '../base/errors.js';
import { type DispatchRequest, RefusalReason } from '../gen/cicadatide/v1/agent_pb.js';
import {
  type CompletionKind,
  type EngineEvent,
  type EnginePort,
  type EngineRequest,
} from '../ports/engine.js';
import { blockTokens } from '../routing/blocks.js';
import { type ReplayBuffer } from '../streams/replay.js';
import { type CostModel } from './cost.js';
import { QueueRefusedError } from './job.js';
import { type EngineMonitor } from './monitor.js';
import { type PendingPrefix, type PendingPrefixes } from './pendingprefixes.js';
import { type Planner } from './planner.js';
import { type WorkQueue } from './queue.js';
import { type Slot } from './runningjobs.js';

/** Executes dispatched requests on the engine. */
export interface Execution {
  /** Runs the request and appends its chunks up to the terminal one. */
  execute(req: DispatchRequest, buffer: ReplayBuffer, token: CancellationToken): Promise<void>;
}

export interface ExecutionOptions {
  readonly clock: Clock;
  readonly engine: EnginePort;
  readonly queue: WorkQueue;
  readonly planner: Planner;
  readonly pendingPrefixes: PendingPrefixes;
  readonly costModel: CostModel;
  readonly monitor: Pick<
    EngineMonitor,
    'state' | 'refresh' | 'eventsReceived' | 'expectCacheEvent'
  >;
  /** Reason to refuse the request before it reaches the engine, or UNSPECIFIED. */
  readonly refusalFor: (req: DispatchRequest) => RefusalReason;
}

/** Number of chunks that an attempt may be ahead of its slowest reader. */
const maxUnreadChunks = 256;

interface StartedRequest {
  readonly slot: Slot;
  readonly prefix: PendingPrefix | undefined;
  readonly acceptedAt: number;
  readonly startedAt: number;
}

function toEngineRequest(req: DispatchRequest): EngineRequest {
  return {
    requestId: `${req.requestId}/${req.attempt}`,
    kind: req.kind as CompletionKind,
    body: req.body,
    salt: req.salt,
    weightsVersion: req.weightsVersion,
    priority: req.priority,
    deliveredText: req.deliveredText,
    deliveredTokens: req.deliveredTokens,
  };
}

function appendFailure(
  buffer: ReplayBuffer,
  message: string,
  notRun: boolean,
  refusal = RefusalReason.UNSPECIFIED,
  retryAfterMs = 0,
): void {
  const $typeName = 'cicadatide.v1.StreamFailure';
  const value = { $typeName, message, notRun, refusal, retryAfterMs } as const;
  buffer.append({ case: 'failure', value });
}

export function createExecution(options: ExecutionOptions): Execution {
  const { clock, engine, queue, planner, pendingPrefixes, costModel, monitor, refusalFor } =
    options;

  const waitForSlot = async (
    req: DispatchRequest,
    token: CancellationToken,
  ): Promise<StartedRequest> => {
    const acceptedAt = clock.now();
    let prefix: PendingPrefix | undefined;
    const outputTokens = Math.max(1, req.outputTokens - req.deliveredTokens);
    const { team, model, promptTokens, priority, remainingMs, blockHashes } = req;
    const size = { team, model, promptTokens, outputTokens, priority, remainingMs, blockHashes };
    const job = planner.dispatchedJob(size, (firstTokenAt) => {
      prefix = pendingPrefixes.add(blockHashes, firstTokenAt);
    });
    const slot = await queue.acquire(job, token);
    return { slot, prefix, acceptedAt, startedAt: clock.now() };
  };

  /**
   * Reports actual token counts and durations to the cost model. `prefillMs` excludes the delay by
   * other requests, `decodeMs` the waits for a slow reader.
   */
  const observeCost = (
    req: DispatchRequest,
    end: Extract<EngineEvent, { readonly kind: 'end' }>,
    prefillMs: number,
    decodeMs: number,
  ): void => {
    const { state } = monitor;
    if (!state) return;
    const { team, model } = req;
    const { promptTokens, cachedTokens, outputTokens } = end;
    const size = { team, model, promptTokens, cachedTokens, outputTokens };
    costModel.observe(state, { ...size, prefillMs, decodeMs });
  };

  const runOnEngine = async (
    req: DispatchRequest,
    started: StartedRequest,
    buffer: ReplayBuffer,
    token: CancellationToken,
  ): Promise<void> => {
    const { slot, prefix, acceptedAt, startedAt } = started;
    let firstTokenAt = 0;
    let prefillMs = 0;
    /** Time spent waiting for a slow reader, which is not part of the engine's decode time. */
    let readerWaitMs = 0;
    const eventsBefore = monitor.eventsReceived;
    for await (const event of engine.complete(toEngineRequest(req), token)) {
      if (firstTokenAt === 0) {
        firstTokenAt = clock.now();
        // Precedes `endPrefill`, which starts jobs: those that wait for this prefix can then start.
        prefix?.markComputed();
        prefillMs = slot.endPrefill() ?? 0;
      }
      if (event.kind === 'text') {
        const { text, tokens } = event;
        const value = { $typeName: 'cicadatide.v1.TextDelta', text, tokens } as const;
        buffer.append({ case: 'text', value });
        const waitStartedAt = clock.now();
        await buffer.waitForRoom(maxUnreadChunks, token);
        readerWaitMs += clock.now() - waitStartedAt;
        continue;
      }
      if (firstTokenAt > 0 && req.deliveredTokens === 0) {
        observeCost(req, event, prefillMs, clock.now() - firstTokenAt - readerWaitMs);
      }
      const { finishReason, promptTokens, cachedTokens, outputTokens } = event;
      // The number of tokens in a block is an estimate, so one block may not have been full.
      if (promptTokens - cachedTokens >= 2 * blockTokens) monitor.expectCacheEvent(eventsBefore);
      buffer.append({
        case: 'end',
        value: {
          $typeName: 'cicadatide.v1.StreamEnd',
          ...{ finishReason, promptTokens, cachedTokens, outputTokens },
          queueMs: Math.round(startedAt - acceptedAt),
          firstTokenMs: Math.round(firstTokenAt - startedAt),
        },
      });
      return;
    }
    appendFailure(buffer, 'engine stream ended without its terminal event', false);
  };

  return {
    async execute(req, buffer, token) {
      const refusal = refusalFor(req);
      if (refusal !== RefusalReason.UNSPECIFIED) {
        const message =
          'agent refused the request before the engine received it; try another target';
        appendFailure(buffer, message, true, refusal);
        return;
      }
      let started: StartedRequest;
      try {
        started = await waitForSlot(req, token);
      } catch (err) {
        if (err instanceof QueueRefusedError) {
          const { reason, retryAfterMs } = err as QueueRefusedError;
          appendFailure(buffer, errMessage(err), true, reason, retryAfterMs);
        } else appendFailure(buffer, 'request was cancelled in the queue', true);
        return;
      }
      try {
        await runOnEngine(req, started, buffer, token);
      } catch (err) {
        appendFailure(buffer, errMessage(err), err instanceof TargetRefusedError);
        if (!token.isCancellationRequested) await monitor.refresh();
      } finally {
        started.prefix?.dispose();
        started.slot.dispose();
      }
    },
  };
}
