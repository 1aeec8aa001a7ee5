import { type RequestContent } from '../quarantine/content.js';
import { type Quarantine } from '../quarantine/quarantine.js';
import { type GatewayCall } from './calls.js';
import { type Choice, type Placement, type PlacementRequest, type Placer } from './placement.js';
import { isRetryable, remainingMs } from './sender.js';
import { type TargetLimits } from './targetlimits.js';
import { type Target } from './targets.js';

/** Why a silent attempt stays at its target. */
export type StayReason =
  /** The route does not allow a second run, or its last target runs the request. */
  | 'route'
  /** The caller has a part of the response, and another target may turn the rest away. */
  | 'partly-sent'
  | 'quarantined'
  | 'no-target'
  /** The other target would not finish before the caller's deadline or the end of this process. */
  | 'no-time'
  | 'no-budget';

/** A reserved run at another target, or the reason why there is none. */
export type Move =
  | { readonly kind: 'reserved'; readonly placement: Placement }
  | { readonly kind: 'stay'; readonly reason: StayReason };

/** Silent attempt that may move. */
export interface MoveRequest {
  readonly call: GatewayCall;
  readonly content: RequestContent;
  readonly placementRequest: PlacementRequest;
  /** Targets that are not tried again, the one of the silent attempt included. */
  readonly excluded: ReadonlySet<Target>;
  /** Targets that may have run the request, the one of the silent attempt included. */
  readonly ranOnCount: number;
  isTooLate(choice: Choice): boolean;
  /** Withdraws the repeat at the target from the budget. */
  tryWithdraw(target: Target): boolean;
}

export interface MoverOptions {
  readonly placer: Pick<Placer, 'choose' | 'place'>;
  readonly limits: Pick<TargetLimits, 'tryTake'>;
  readonly quarantine: Pick<Quarantine, 'find'>;
}

/** Less time than this is not enough for a run elsewhere, in milliseconds. */
const minRemainingMs = 100;

/**
 * Reserves a run at another target for an attempt that is silent. Everything that the dispatcher
 * requires of a retry is reserved here, so the attempt is given up only when the retry is sent.
 */
export function createMover(options: MoverOptions): (req: MoveRequest) => Move {
  const { placer, limits, quarantine } = options;
  const stay = (reason: StayReason): Move => ({ kind: 'stay', reason });
  return ({ call, placementRequest, ...req }) => {
    const { route, response } = call;
    if (!isRetryable(call) || req.ranOnCount >= route.maxTargets) return stay('route');
    if (response.hasStarted) return stay('partly-sent');
    if (remainingMs(call) < minRemainingMs) return stay('no-time');
    if (quarantine.find(req.content)) return stay('quarantined');
    const choice = placer.choose(placementRequest, req.excluded);
    if (!choice) return stay('no-target');
    if (req.isTooLate(choice)) return stay('no-time');
    if (!req.tryWithdraw(choice.target)) return stay('no-budget');
    if (!limits.tryTake(choice.target)) return stay('no-target');
    return { kind: 'reserved', placement: placer.place(placementRequest, choice) };
  };
}
