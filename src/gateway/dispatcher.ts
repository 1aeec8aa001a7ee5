import { type Clock, sleep } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type ResponseMonitor } from '../base/responselimits.js';
import { type Continuations } from '../continuation/continuation.js';
import { type BrokenRun } from '../continuation/copy.js';
import { type EngineMemory } from '../enginememory/memory.js';
import { type WireProtocol } from '../ports/wire.js';
import { type CallerResponse, type LocalResponse } from './response.js';
import { type Progress } from './attemptend.js';
import { type CallResult, type GatewayCall } from './calls.js';
import { type CrashDetector } from './crashes.js';
import { createEndings, type DispatchState, minRemainingMs } from './endings.js';
import { fitsGrace } from './graceperiod.js';
import { createMover } from './moves.js';
import { type FailureTracker } from './failuretracker.js';
import { describeFailure, recordAttemptEnd } from './outcomes.js';
import { createRequestContent } from '../quarantine/content.js';
import { type Quarantine, type Quarantined } from '../quarantine/quarantine.js';
import { type Choice, type Placement, type PlacementRequest, type Placer } from './placement.js';
import { type Repeats } from './repeats.js';
import { createRequestSender, isRetryable, priorityOf, remainingMs } from './sender.js';
import { type SpeedModel } from './speeds.js';
import { type StreamAdmission } from './streamadmission.js';
import { type TargetLimits } from './targetlimits.js';
import { type Target } from './targets.js';
import { type TargetSpeedModel } from '../targetspeeds/targetspeeds.js';

/** Forwards one request to targets until one succeeds or no further attempt is possible. */
export interface Dispatcher {
  dispatch(call: GatewayCall): Promise<CallResult>;
}

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly protocol: WireProtocol;
  readonly placer: Placer;
  readonly failureTracker: FailureTracker;
  readonly crashDetector: CrashDetector;
  readonly quarantine: Pick<Quarantine, 'find' | 'claimTrial' | 'trackWaiting' | 'observeAnswer'>;
  readonly repeats: Repeats;
  readonly limits: TargetLimits;
  readonly responseMonitor: ResponseMonitor;
  readonly speeds: Pick<SpeedModel, 'observe'>;
  readonly targetSpeeds: Pick<TargetSpeedModel, 'start'>;
  readonly streamAdmission: StreamAdmission;
  readonly memory: Pick<EngineMemory, 'hold'>;
  readonly continuations: Continuations;
  /** Time for which this process serves requests, in milliseconds; Infinity until it stops. */
  remainingGraceMs(): number;
  /** Called when this process's in-flight requests at targets change. */
  onLoadChange(): void;
}

/**
 * Attempts of one request, including those that targets did not run, after which it is not sent
 * again if the last one did not run or no target is usable. `maxTargets` limits the other retries.
 */
const maxAttempts = 6;

/** Delay before placement is retried when no target is usable or all were tried. */
const placementRetryDelayMs = 40;

/**
 * Fraction of the route's objective until which a request waits for a usable target, measured from
 * the start of its dispatch and including earlier attempts, or for a stream that has begun from the
 * end of its last run.
 */
const targetWaitFraction = 0.5;

/** JSON has no infinite numbers; the field is left out instead. */
const finiteOrNone = (value: number): number | undefined =>
  Number.isFinite(value) ? value : undefined;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, random, log, protocol, placer, failureTracker, streamAdmission } = options;
  const { quarantine, limits } = options;
  const sendRequest = createRequestSender(clock, protocol, limits, options.responseMonitor);
  const reserveMove = createMover({ placer, limits, quarantine });

  return {
    async dispatch(call) {
      const { response, route, head, token } = call;
      const content = createRequestContent({ ...call, parts: head.parts });
      const progress: Progress = {
        lastEventId: undefined,
        contentType: undefined,
        hasEvents: false,
        lastEventAt: 0,
        longestPauseMs: 0,
      };
      const excluded = new Set<Target>();
      const arrivedAt = clock.now();
      let needsTargetSince = arrivedAt;
      const state: DispatchState = {
        progress,
        ranOn: new Set(),
        attempts: 0,
        firstByteMs: undefined,
        sentAfterMs: undefined,
        failureResponse: undefined,
        lastPlacement: undefined,
      };
      const { ranOn } = state;
      let continuation: Placement | undefined;
      let isStayLogged = false;
      const pendingStream = route.kind === 'stream' ? streamAdmission.start(call) : undefined;
      const placementRequest: PlacementRequest = {
        service: call.service,
        head,
        team: call.team,
        priority: priorityOf(call),
        needsBackup: route.kind === 'stream' && !route.isResumable,
      };
      // The next attempt is a trial, which is sent in spite of a quarantine.
      let isTrial = false;
      let isLostAgain = false;
      const repeats = options.repeats.start(call);

      const endings = createEndings({
        ...{ log, random, call, content, state },
        onFinish: () => pendingStream?.dispose(),
      });
      const { finish, finishUnserved } = endings;

      const isTooLate = ({ expectedMs, crowdedTokenMs }: Choice): boolean => {
        const { kind, objectiveMs } = route;
        const outputTokens = head.expectedOutputTokens;
        const timing = { expectedMs, crowdedTokenMs, remainingMs: remainingMs(call) };
        const stopping = { ...timing, kind, objectiveMs, outputTokens };
        return !fitsGrace(stopping, options.remainingGraceMs());
      };

      /** What can go on with the request after its run failed, for the log. */
      const describeSuccessor = (run: BrokenRun): Readonly<Record<string, unknown>> => {
        if (continuation) return { goesOn: 'other-target' };
        const copy = options.continuations.find(run);
        if (copy.kind === 'placed') return { goesOn: 'backup' };
        const mayRetry = isRetryable(call) && ranOn.size + 1 < route.maxTargets;
        const hasOther = mayRetry && placer.choose(placementRequest, excluded) !== undefined;
        const noCopy = run.placement.backup && copy.reason;
        return { goesOn: hasOther ? 'other-target' : 'none', noCopy };
      };

      if (placer.exceedsMemory(placementRequest)) return endings.finishRefused('exceeds-memory');
      for (;;) {
        if (token.isCancellationRequested || remainingMs(call) < minRemainingMs)
          return finishUnserved();
        const quarantined: Quarantined | undefined = isTrial ? undefined : quarantine.find(content);
        if (quarantined) {
          // Only a few trials are made, so none is claimed that could not be sent.
          const sendable = placer.choose(placementRequest, excluded);
          const maySend = sendable !== undefined && !isTooLate(sendable);
          isTrial = maySend && (await quarantine.claimTrial(quarantined, token));
          if (!isTrial) return endings.finishQuarantined(quarantined);
        }
        const waitedMs = clock.now() - arrivedAt;
        const choice = continuation ? undefined : placer.choose(placementRequest, excluded);
        if (!continuation && !choice) {
          const waitMs = placer.waitMs(placementRequest, ranOn);
          const maxWaitMs = route.objectiveMs * targetWaitFraction;
          const waitedForTargetMs = clock.now() - needsTargetSince;
          if (waitedForTargetMs + waitMs > maxWaitMs || state.attempts >= maxAttempts)
            return finishUnserved(waitMs);
          if (!repeats.tryStart(undefined, progress.hasEvents)) return finishUnserved(waitMs);
          // Targets that were full or changing their weights may accept the request a moment later.
          excluded.clear();
          for (const target of ranOn) excluded.add(target);
          await sleep(clock, placementRetryDelayMs, token).catch(() => undefined);
          continue;
        }
        if (choice && state.attempts === 0 && pendingStream) {
          const timing = { waitedMs, remainingMs: remainingMs(call) };
          const decision = await pendingStream.decide(choice, timing);
          if (decision === 'defer') continue;
          if (decision === 'refuse')
            return endings.finishRefused('overloaded', pendingStream.retryAfterMs);
        }
        if (choice && isTooLate(choice)) return endings.finishRefused('not-ready');
        if (choice && !repeats.tryStart(choice.target, progress.hasEvents)) return finishUnserved();
        // Another request may have used the permit since the choice.
        if (choice && !limits.tryTake(choice.target)) continue;
        const placement = continuation ?? placer.place(placementRequest, choice as Choice);
        continuation = undefined;
        const { target } = placement;
        state.sentAfterMs ??= waitedMs;
        state.lastPlacement = placement;
        state.attempts += 1;
        const startedAt = clock.now();
        const work =
          placement.work && !progress.hasEvents
            ? options.targetSpeeds.start(target, placement.work)
            : undefined;
        const observeFirstByte = (): void => {
          work?.observeFirstByte(
            target.loadAgeMs() <= clock.now() - startedAt ? target.load?.slowness : undefined,
          );
          if (!placement.soleWork) return;
          const attemptMs = clock.now() - startedAt;
          options.speeds.observe(call.service, { ...placement.soleWork, firstByteMs: attemptMs });
        };
        const held = placement.memory && options.memory.hold(target.id, placement.memory.demand);
        let waiting: Disposable | undefined;
        const attempt = sendRequest(call, placement, progress, ranOn.size, {
          isReplaced: () => failureTracker.isReplaced(target),
          tryMove({ silentMs, answersOthers }) {
            const move = reserveMove({
              ...{ call, content, placementRequest, isTooLate },
              excluded: new Set([...excluded, target]),
              ranOnCount: ranOn.size + 1,
              tryWithdraw: (other) => repeats.tryReplace(other),
            });
            if (move.kind === 'reserved') continuation = move.placement;
            else if (!isStayLogged) {
              const silence = { silentMs: Math.round(silentMs), answersOthers };
              const { requestId } = head;
              const fields = { requestId, target: target.id, ...silence, reason: move.reason };
              log.info(fields, 'silent attempt stays at its target');
              isStayLogged = true;
            }
            return move.kind === 'reserved';
          },
          onFirstByte() {
            state.firstByteMs ??= clock.now() - arrivedAt;
            pendingStream?.observeFirstByte(state.firstByteMs);
            observeFirstByte();
          },
          onEvents: (count) => held?.observeOutput(count),
          onUnderway() {
            waiting?.dispose();
            quarantine.observeAnswer(content);
          },
        });
        if (!isTrial)
          waiting = quarantine.trackWaiting(content, () =>
            attempt.recall('its content is quarantined'),
          );
        options.onLoadChange();
        const cancelListener = token.onCancellationRequested(() => attempt.cancel());
        const attemptEnd = await attempt.ended;
        cancelListener.dispose();
        waiting?.dispose();
        if (attemptEnd.kind === 'done') held?.complete();
        held?.dispose();
        options.onLoadChange();
        recordAttemptEnd(failureTracker, call.head, target, attemptEnd);
        repeats.observeEnd(target, attemptEnd);
        if (attemptEnd.kind === 'done') {
          state.firstByteMs ??= clock.now() - arrivedAt;
          if (route.kind !== 'stream') observeFirstByte();
          work?.dispose();
          return finish('ok');
        }
        work?.dispose();
        if (attemptEnd.kind === 'left') return finish('left');
        excluded.add(target);
        const run: BrokenRun = { head, placement, progress, startedAt };
        log.info(
          {
            requestId: head.requestId,
            service: call.service,
            target: target.id,
            attempt: state.attempts,
            end: attemptEnd.kind,
            cause: attemptEnd.cause,
            ...describeFailure(attemptEnd, progress, response.hasStarted),
            ...(attemptEnd.kind !== 'not-run' && describeSuccessor(run)),
            remainingMs: Math.round(remainingMs(call)),
            remainingGraceMs: finiteOrNone(Math.round(options.remainingGraceMs())),
          },
          'attempt failed',
        );
        if ('lostAt' in attemptEnd && attemptEnd.lostAt) {
          const { lostAt: stage } = attemptEnd;
          const { requestId, parts } = head;
          const lost = { requestId, parts, content, stage, isLostAgain };
          const isCrash = options.crashDetector.observeLoss(target, lost);
          // The crash may quarantine this prompt, so it is recorded before the prompt is sent again.
          if (stage !== 'underway') isLostAgain = (await isCrash) || isLostAgain;
        }
        if (attemptEnd.kind === 'not-run') {
          if (state.attempts >= maxAttempts || placement.continueFrom) return finishUnserved();
          continue;
        }
        ranOn.add(target);
        isTrial = false;
        if (!response.mayResumeAfter(progress.lastEventId)) return finishUnserved();
        if (response.hasStarted) needsTargetSince = clock.now();
        if (continuation) continue;
        if (attemptEnd.kind === 'broken' && remainingMs(call) > minRemainingMs) {
          continuation = await options.continuations.place(run, () => remainingMs(call), token);
          const isPermitted = continuation && limits.tryTake(continuation.target);
          if (isPermitted && repeats.tryStart(continuation?.target, true)) continue;
          continuation = undefined;
        }
        if (attemptEnd.kind === 'failed' && attemptEnd.response) {
          state.failureResponse?.dispose();
          state.failureResponse = attemptEnd.response;
        }
        if (!isRetryable(call) || ranOn.size >= route.maxTargets) return finishUnserved();
      }
    },
  };
}
