import { type Clock, sleep } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type GatewayCall } from './calls.js';
import {
  decideDeferral,
  type DeferralBacklog,
  type DeferralDecision,
  hasRoom,
  recheckDelayMs,
  refusalRetryAfterMs,
} from './deferral.js';
import { createDeferralLoad } from './deferralload.js';
import { createDeferralPressure, type DeferralPressure } from './deferralpressure.js';
import {
  closedLateShare,
  decideAdmission,
  type EngineRequest,
  hasEngineRoom,
} from './deferralrule.js';
import { createMinimumShares } from './deferralshares.js';
import { type Choice } from './placement.js';
import { priorityOf } from './sender.js';

/**
 * Holds or refuses the streams of one process while the engines are full; see `decideAdmission`, and
 * `decideDeferral` for services whose engines have no known memory.
 */
export interface StreamAdmission extends Pick<DeferralPressure, 'pack' | 'merge'> {
  /** Starts the admission of one request. Disposing the result ends its deferral. */
  start(call: GatewayCall): PendingStream;
  /** Returns what `decide` would now, and the middle of the range of Retry-After; changes nothing. */
  preview(call: AdmissibleCall, choice: ExpectedTiming, timing: PendingTiming): AdmissionPreview;
}

/** Properties of a call that the admission depends on. */
export type AdmissibleCall = Pick<
  GatewayCall,
  'route' | 'team' | 'service' | 'tightestObjectiveMs'
> & {
  readonly head: Pick<GatewayCall['head'], 'expectedOutputTokens'>;
};

export type ExpectedTiming = Pick<
  Choice,
  'expectedMs' | 'crowdedTokenMs' | 'aheadMs' | 'workMs'
> & {
  /** Undefined when the memory of the target is not known. */
  readonly memory: unknown;
};

export interface AdmissionPreview {
  readonly decision: DeferralDecision;
  readonly backlog: DeferralBacklog;
  /** Retry-After of a refused request in milliseconds; undefined for other decisions. */
  readonly retryAfterMs: number | undefined;
}

export interface PendingStream extends Disposable {
  /**
   * Decides on sending the request to the best target now. When it returns `defer`, the request has
   * waited and placement is to be tried again. After `refuse` the request must not be sent.
   */
  decide(choice: Choice, timing: PendingTiming): Promise<DeferralDecision>;
  /** Records the time to the first byte of the request, in milliseconds. */
  observeFirstByte(firstByteMs: number): void;
  /** Time after which a refused caller may return, in milliseconds. */
  readonly retryAfterMs: number;
}

export interface PendingTiming {
  readonly waitedMs: number;
  /** Time until the caller's deadline or the route's timeout. */
  readonly remainingMs: number;
}

export interface StreamAdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Engines of the site in relation to the gateways that share them. */
  enginesPerGateway(): number;
  /** Called for each refused request. */
  onRefusal?(route: string, reason: RefusalReason): void;
}

/** Middle of each range, instead of a random number. */
const middle: Random = { next: () => 0.5, integer: (bound) => Math.floor(bound / 2) };

/**
 * Why a request was refused: `urgent-late` because more urgent ones are late, `backlog` because too
 * many wait, `waited` because it found no room in its time.
 */
export type RefusalReason = 'urgent-late' | 'backlog' | 'waited';

const refusalReason = (urgentLateShare: number, isDeferred: boolean): RefusalReason => {
  if (urgentLateShare >= closedLateShare) return 'urgent-late';
  return isDeferred ? 'waited' : 'backlog';
};

const classKeyOf = ({ service, route }: AdmissibleCall): string => `${service}/${route.name}`;

export function createStreamAdmission(options: StreamAdmissionOptions): StreamAdmission {
  const { clock, random, log } = options;
  const load = createDeferralLoad(clock, options.enginesPerGateway);
  const pressure = createDeferralPressure(clock);
  const minimumShares = createMinimumShares();

  const requestOf = (
    call: AdmissibleCall,
    { expectedMs, crowdedTokenMs, aheadMs, workMs }: ExpectedTiming,
    { waitedMs, remainingMs }: PendingTiming,
  ): EngineRequest => {
    const { head, route, service, tightestObjectiveMs } = call;
    const priority = priorityOf(call);
    return {
      expectedMs,
      objectiveMs: route.objectiveMs,
      tightestObjectiveMs,
      waitedMs,
      patienceMs: route.patienceMs,
      remainingMs,
      outputTokens: head.expectedOutputTokens,
      crowdedTokenMs,
      aheadMs,
      workMs,
      urgentLateShare: pressure.lateShare(service, priority),
      classLateShare: pressure.lateShare(service, priority + 1),
      isBelowMinimum: minimumShares.isBelow(classKeyOf(call)),
    };
  };

  return {
    pack: pressure.pack,
    merge: pressure.merge,
    preview(call, choice, timing) {
      const backlog = load.peekBacklog(classKeyOf(call));
      const decide = choice.memory === undefined ? decideDeferral : decideAdmission;
      const decision = decide(requestOf(call, choice, timing), false, backlog);
      const retryAfterMs = decision === 'refuse' ? refusalRetryAfterMs(backlog, middle) : undefined;
      return { decision, backlog, retryAfterMs };
    },
    start(call) {
      const { head, route, token, service } = call;
      const priority = priorityOf(call);
      const classKey = classKeyOf(call);
      const { name, objectiveMs } = route;
      let deferral: Disposable | undefined;
      let retryAfterMs = 0;
      let isArrived = false;
      let isObserved = false;
      const observe = (isLate: boolean): void => {
        if (isObserved) return;
        isObserved = true;
        pressure.observe(service, priority, isLate);
      };
      return {
        get retryAfterMs() {
          return retryAfterMs;
        },
        observeFirstByte: (firstByteMs) => observe(firstByteMs > objectiveMs),
        async decide(choice, timing) {
          const isEngine = choice.memory !== undefined;
          if (!isArrived) minimumShares.arrive(classKey);
          isArrived = true;
          const request = requestOf(call, choice, timing);
          const { expectedMs, waitedMs, aheadMs } = request;
          const backlog = load.backlog(classKey);
          const isDeferred = deferral !== undefined;
          const decide = isEngine ? decideAdmission : decideDeferral;
          const decision = decide(request, isDeferred, backlog);
          const isRoom = isEngine ? hasEngineRoom(request) : hasRoom(request);
          if (decision !== 'send') observe(true);
          if (decision === 'defer') {
            deferral ??= load.defer(classKey);
            const pauseMs = recheckDelayMs(request, load.total, random);
            await sleep(clock, pauseMs, token).catch(() => undefined);
            return decision;
          }
          if (decision === 'refuse') {
            retryAfterMs = refusalRetryAfterMs(backlog, random);
            const reason = refusalReason(request.urgentLateShare, isDeferred);
            options.onRefusal?.(name, reason);
            log.info(
              {
                requestId: head.requestId,
                expectedMs: Math.round(expectedMs),
                waitedMs: Math.round(waitedMs),
                route: name,
                reason,
                priority,
                aheadMs: Math.round(aheadMs),
                urgentLateShare: Math.round(request.urgentLateShare * 100) / 100,
                deferred: backlog.deferred,
                roomPerSecond: Math.round(backlog.roomPerMs * 1_000),
                retryAfterMs: Math.round(retryAfterMs),
              },
              'request refused, because it would not be served in time',
            );
          } else {
            if (isRoom && isDeferred) load.recordRoom(classKey);
            minimumShares.send(classKey, isRoom);
          }
          deferral?.dispose();
          return decision;
        },
        dispose: () => deferral?.dispose(),
      };
    },
  };
}
