import { type Clock } from '../base/clock.js';
import { type ResponseMonitor } from '../base/responselimits.js';
import { type WireProtocol } from '../ports/wire.js';
import { type Attempt, type AttemptOptions, startAttempt } from './attempt.js';
import { type Progress } from './attemptend.js';
import { type GatewayCall } from './calls.js';
import { defaultPriority, lowestPriority } from './inflight.js';
import { type Placement } from './placement.js';
import { type TargetLimits } from './targetlimits.js';

/**
 * Time without bytes after which a connection test is made. Most first bytes arrive sooner, and
 * pauses within streams are shorter unless the engine loads weights.
 */
const probeAfterMs = 300;

/**
 * Time without bytes after which an attempt may move although its target accepts connections, as a
 * multiple of the route's objective; for the conditions see `AttemptOptions.hangTimeoutMs`. Callers
 * of streams time out after four times the objective.
 */
const hangTimeoutFactor = 2.5;

/** Lower bound of a stream's hang timeout: an engine that loads weights sends nothing for 0.8 s. */
const minHangTimeoutMs = 1_000;

/** Time until the caller's deadline or the route's timeout, in milliseconds. */
export const remainingMs = ({ deadline, timeout }: GatewayCall): number =>
  Math.min(deadline.remainingMs(), timeout.remainingMs());

/** The request may run again at another target. */
export const isRetryable = ({ route }: GatewayCall): boolean =>
  route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);

/** Priority at the target; 0 is the most urgent. */
export const priorityOf = ({ team, route }: Pick<GatewayCall, 'team' | 'route'>): number =>
  Math.min(lowestPriority, team?.priority ?? route.priority);

/** Sends a request to the target of its placement; `ranOnCount` targets may have run it before. */
export type RequestSender = (
  call: GatewayCall,
  placement: Placement,
  progress: Progress,
  ranOnCount: number,
  listener: Pick<
    AttemptOptions,
    'onFirstByte' | 'onEvents' | 'onUnderway' | 'isReplaced' | 'tryMove'
  >,
) => Attempt;

export function createRequestSender(
  clock: Clock,
  protocol: WireProtocol,
  limits: Pick<TargetLimits, 'observe' | 'observePause'>,
  responseMonitor: ResponseMonitor,
): RequestSender {
  return (call, placement, progress, ranOnCount, listener) => {
    const { head, route, team } = call;
    const { target } = placement;
    const isStream = route.kind === 'stream';
    // A request on the last target that it may run on can't be retried elsewhere.
    const mayRetry = isRetryable(call) && ranOnCount < route.maxTargets - 1;
    const headers = protocol.toTarget(
      call.rawHeaders,
      {
        waitMs: remainingMs(call),
        targetId: target.id,
        team: team?.name,
        salt: placement.salt,
        priority: isStream ? priorityOf(call) : undefined,
        weightsVersion: placement.weightsVersion,
        fetchFrom: placement.fetchFrom,
        saveTo: placement.saveTo,
        backupTo: placement.backup?.registration.address,
        continueFrom: placement.continueFrom,
        resumeAfter: progress.lastEventId,
      },
      call.body?.length ?? 0,
    );
    return startAttempt({
      clock,
      protocol,
      responseMonitor,
      target,
      request: {
        method: call.method,
        path: call.path,
        headers,
        body: call.body,
        isRepeatable: mayRetry,
      },
      requestId: head.requestId,
      isStream,
      isWatched: mayRetry || placement.backup !== undefined,
      callerResponse: call.response,
      progress,
      remainingMs: remainingMs(call),
      probeAfterMs,
      hangTimeoutMs: isStream
        ? Math.max(minHangTimeoutMs, route.objectiveMs * hangTimeoutFactor)
        : route.objectiveMs * hangTimeoutFactor,
      prefillTokens: placement.prefillTokens,
      priority: isStream ? priorityOf(call) : defaultPriority,
      onHead({ load, weightsVersion, limitPerSecond, retryAfterMs, isLeaving, targetId }, status) {
        // Another target may have the address by now; what it says of itself is not about this one.
        const isOther = status === 421 || (targetId !== undefined && targetId !== target.id);
        if (targetId !== undefined && targetId !== target.id) target.connections.observeReplaced();
        if (!isOther) {
          limits.observe(target, limitPerSecond);
          if (status === 503 && retryAfterMs !== undefined)
            limits.observePause(target, retryAfterMs);
          if (isLeaving) target.observeLeaving();
        }
        if (load) target.observeLoad(load);
        if (weightsVersion === undefined || head.model === undefined) return;
        target.weights.observe(head.model, weightsVersion);
      },
      onWeightsChange(version) {
        if (head.model !== undefined) target.weights.observeChange(head.model, version);
      },
      ...listener,
    });
  };
}
