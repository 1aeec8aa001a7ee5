import { type CallerHead } from '../ports/wire.js';
import { type AttemptEnd, type Progress } from './attemptend.js';
import { type FailureTracker } from './failuretracker.js';
import { type Target } from './targets.js';

/** Records what the end of an attempt shows about its target. */
export function recordAttemptEnd(
  failureTracker: FailureTracker,
  head: CallerHead,
  target: Target,
  attemptEnd: AttemptEnd,
): void {
  if (attemptEnd.kind === 'done') failureTracker.observe(target, 'ok');
  if (attemptEnd.kind === 'failed' || attemptEnd.kind === 'broken')
    failureTracker.observe(target, 'failed');
  if (attemptEnd.kind !== 'not-run') return;
  if (attemptEnd.cause === 'unreachable') failureTracker.observe(target, 'unreachable');
  if (attemptEnd.cause !== 'misdirected') return;
  const respondingTargetId = attemptEnd.head?.targetId;
  if (respondingTargetId !== undefined && respondingTargetId !== target.id) {
    failureTracker.observe(target, 'replaced');
  } else if (head.model !== undefined && attemptEnd.head?.weightsVersion === undefined) {
    // The target serves another version and does not report which; its next response does.
    target.weights.clear(head.model);
  }
}

/** Fields of the log line of an attempt without a whole answer; times in milliseconds. */
export function describeFailure(
  attemptEnd: AttemptEnd,
  { hasEvents, lastEventId }: Progress,
  hasStarted: boolean,
): Readonly<Record<string, unknown>> {
  const callerHas = { callerHasHead: hasStarted, callerHasEvents: hasEvents, lastEventId };
  if (attemptEnd.kind !== 'failed' && attemptEnd.kind !== 'broken') return callerHas;
  const { lostAt, silence } = attemptEnd;
  return {
    ...callerHas,
    lostAt,
    silentMs: Math.round(silence.silentMs),
    sinceReachableMs: Math.round(silence.sinceReachableMs),
    answersOthers: silence.answersOthers,
  };
}
