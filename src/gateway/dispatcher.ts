import { type IncomingMessage } from 'node:http';
import { type Clock, sleep } from '../base/clock.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type WireProtocol } from '../ports/wire.js';
import { type Answer, type OwnAnswer } from './answer.js';
import { type Attempt, type KeptAnswer, type Progress, startAttempt } from './attempt.js';
import { type CallResult, type GatewayCall } from './calls.js';
import { recheckDelayMs, type DeferrableRequest, shouldDefer } from './deferral.js';
import { type FailureTracker } from './failuretracker.js';
import { continueAtBackup, learnFrom } from './outcomes.js';
import { type Choice, type Placement, type PlacementRequest, type Placer } from './placement.js';
import { type RetryBudget } from './retrybudget.js';
import { type Target } from './targets.js';

/** Brings one request to targets until one answers it or none can. */
export interface Dispatcher {
  dispatch(call: GatewayCall): Promise<CallResult>;
}

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly protocol: WireProtocol;
  readonly placer: Placer;
  readonly reliability: FailureTracker;
  readonly budget: RetryBudget;
  /** Called when this process's counts at targets change. */
  onLoadChange(): void;
}

/** With less time left, no target can answer: a request takes 40 ms on an idle one. */
const minUsefulMs = 20;

/** Attempts of one request, those included that targets did not run. */
const maxAttempts = 6;

/** Pause before a request looks again for a target that is not full or changing. */
const retryPauseMs = 40;

/** Share of the route's objective for which a request waits for a usable target. */
const waitShare = 0.5;

/** Silence that is worth a connection test; most first bytes and all pauses come sooner. */
const silenceMs = 300;

/**
 * Silence after which a repeatable request moves on although its target accepts connections, as a
 * multiple of the route's objective. Callers of streams give up after four times the objective.
 */
const hangObjectives = 2.5;

/** A load of weights makes an engine silent for 0.8 s, which is no reason to move on. */
const minHangMs = 1_000;

/** Time that callers are told to wait; spread, so that they do not return together. */
const minRetryAfterMs = 150;

const retryAfterSpreadMs = 350;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, random, log, protocol, placer, reliability, budget } = options;
  /** Requests that wait for room at the targets. */
  let deferred = 0;

  const retryAfterMs = (): number => minRetryAfterMs + random.next() * retryAfterSpreadMs;

  const remainingMs = ({ deadline, timeout }: GatewayCall): number =>
    Math.min(deadline.remainingMs(), timeout.remainingMs());

  const isRepeatable = ({ route }: GatewayCall): boolean =>
    route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);

  const start = (
    call: GatewayCall,
    placement: Placement,
    progress: Progress,
    ranOn: number,
    onFirstByte: () => void,
  ): Attempt => {
    const { head, route, team } = call;
    const { target } = placement;
    const isStream = route.kind === 'stream';
    // On the last target that it may run on, a request has nothing to gain from moving on.
    const mayRepeat = isRepeatable(call) && ranOn < route.maxTargets - 1;
    const headers = protocol.toTarget(
      call.rawHeaders,
      {
        waitMs: remainingMs(call),
        targetId: target.id,
        team: team?.name,
        salt: placement.salt,
        priority: isStream ? (team?.priority ?? route.priority) : undefined,
        weightsVersion: placement.weightsVersion,
        fetchFrom: placement.fetchFrom,
        saveTo: placement.saveTo,
        backupAt: placement.backup?.registration.address,
        continueFrom: placement.continueFrom,
        resumeAfter: progress.lastEventId,
      },
      call.body?.length ?? 0,
    );
    return startAttempt({
      clock,
      protocol,
      target,
      request: { method: call.method, path: call.path, headers, body: call.body },
      requestId: head.requestId,
      isStream,
      isRepeatable: mayRepeat,
      hasBackup: placement.backup !== undefined,
      answer: call.answer,
      progress,
      remainingMs: remainingMs(call),
      silenceMs,
      hangMs: isStream
        ? Math.max(minHangMs, route.objectiveMs * hangObjectives)
        : route.objectiveMs * hangObjectives,
      tokens: placement.prefillTokens,
      onHead({ load, weightsVersion }) {
        if (load) target.observeLoad(load);
        if (weightsVersion === undefined || head.model === undefined) return;
        target.observeWeights(head.model, weightsVersion);
      },
      onFirstByte,
    });
  };

  /** Sends a failure that a target answered on to the caller. */
  const passKept = (answer: Answer, { res, body }: KeptAnswer): void => {
    answer.begin(res as IncomingMessage);
    if (body.length > 0) answer.write(body);
    answer.end();
  };

  return {
    async dispatch(call) {
      const { answer, route, head, token } = call;
      const progress: Progress = {
        lastEventId: undefined,
        hasEvents: false,
        lastEventAt: 0,
        longestPauseMs: 0,
      };
      const excluded = new Set<Target>();
      const ranOn = new Set<Target>();
      const arrivedAt = clock.now();
      let attempts = 0;
      let firstByteMs: number | undefined;
      let sentAfterMs: number | undefined;
      let kept: KeptAnswer | undefined;
      let last: Placement | undefined;
      let next: Placement | undefined;
      const placementRequest: PlacementRequest = {
        service: call.service,
        head,
        team: call.team,
        needsBackup: route.kind === 'stream' && !route.isResumable,
      };
      budget.deposit();

      const result = (outcome: CallResult['outcome']): CallResult => ({
        outcome,
        attempts,
        target: last?.target.id,
        placement: last && {
          weightsVersion: last.weightsVersion,
          tokensToRead: last.prefillTokens,
          fetchFrom: last.fetchFrom?.host,
        },
        firstByteMs,
        sentAfterMs,
        longestPauseMs: progress.longestPauseMs,
      });

      /** Ends a request that no further attempt can save. */
      const giveUp = (): CallResult => {
        if (token.isCancellationRequested) return result('left');
        if (answer.isBegun) {
          answer.breakOff();
          return result('broken');
        }
        if (kept) {
          passKept(answer, kept);
          return result('passed-failure');
        }
        const isOver = remainingMs(call) < minUsefulMs;
        const mayHaveRun = ranOn.size > 0;
        const notRun: OwnAnswer = attempts > 0 ? 'overloaded' : 'no-target';
        const own: OwnAnswer = mayHaveRun ? (isOver ? 'timed-out' : 'failed') : notRun;
        answer.own(own, retryAfterMs());
        return result(own);
      };

      for (;;) {
        if (token.isCancellationRequested || remainingMs(call) < minUsefulMs) return giveUp();
        const waitedMs = clock.now() - arrivedAt;
        const choice = next ? undefined : placer.choose(placementRequest, excluded);
        if (!next && !choice) {
          if (waitedMs > route.objectiveMs * waitShare || attempts >= maxAttempts) return giveUp();
          // Targets that were full or changing may take the request a moment later.
          excluded.clear();
          for (const target of ranOn) excluded.add(target);
          await sleep(clock, retryPauseMs, token).catch(() => undefined);
          continue;
        }
        if (choice && attempts === 0 && route.kind === 'stream') {
          const sendable: DeferrableRequest = {
            expectedMs: choice.expectedMs,
            objectiveMs: route.objectiveMs,
            waitedMs,
            remainingMs: remainingMs(call),
            outputTokens: head.expectedOutputTokens,
          };
          if (shouldDefer(sendable)) {
            deferred += 1;
            const pauseMs = recheckDelayMs(sendable, deferred, random);
            await sleep(clock, pauseMs, token).catch(() => undefined);
            deferred -= 1;
            continue;
          }
        }
        const placement = next ?? placer.place(placementRequest, choice as Choice);
        next = undefined;
        const { target } = placement;
        sentAfterMs ??= waitedMs;
        last = placement;
        attempts += 1;
        const attempt = start(call, placement, progress, ranOn.size, () => {
          firstByteMs ??= clock.now() - arrivedAt;
        });
        options.onLoadChange();
        const link = token.onCancellationRequested(() => attempt.leave());
        const end = await attempt.ended;
        link.dispose();
        options.onLoadChange();
        learnFrom(reliability, call.head, target, end);
        if (end.kind === 'done') {
          firstByteMs ??= clock.now() - arrivedAt;
          return result('ok');
        }
        if (end.kind === 'left') return result('left');
        excluded.add(target);
        log.info(
          {
            requestId: head.requestId,
            target: target.id,
            attempt: attempts,
            end: end.kind,
            cause: end.cause,
            remainingMs: Math.round(remainingMs(call)),
          },
          'attempt failed',
        );
        if (end.kind === 'not-run') {
          // A refused connection reached no target, so it costs nothing of the budget.
          if (end.cause !== 'unreachable' && !budget.tryWithdraw()) return giveUp();
          if (attempts >= maxAttempts || placement.continueFrom) return giveUp();
          continue;
        }
        ranOn.add(target);
        if (end.kind === 'broken' && remainingMs(call) > minUsefulMs) {
          next = continueAtBackup(reliability, head, placement, progress);
          if (next) {
            budget.charge();
            continue;
          }
        }
        if (end.kind === 'failed' && end.kept) kept = end.kept;
        if (!isRepeatable(call) || ranOn.size >= route.maxTargets) return giveUp();
        if (!budget.tryWithdraw()) return giveUp();
      }
    },
  };
}
