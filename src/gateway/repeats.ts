import { type Logger } from '../base/logging.js';
import { type AttemptEnd } from './attemptend.js';
import { type GatewayCall } from './calls.js';
import { type RepeatKind, type RetryBudget } from './retrybudget.js';
import { type Target } from './targets.js';

/** Decides whether requests are sent again, and records each decision. */
export interface Repeats {
  /** Records a request of a caller before its first attempt. */
  start(call: RepeatedCall): RequestRepeats;
}

/** Repeats of one request: its attempts that reach a target after the first one that did. */
export interface RequestRepeats {
  /**
   * Pays for the next attempt unless it is the first to arrive or was paid for already; returns
   * false when the budget refuses it. `target` is undefined when the request waits until targets
   * that have turned it away may accept it.
   */
  tryStart(target: Target | undefined, isContinuation: boolean): boolean;
  /**
   * Pays for an attempt that replaces the running one, which has reached its target. Refusals one after
   * the other are recorded once.
   */
  tryReplace(target: Target): boolean;
  /** Records the end of an attempt. */
  observeEnd(target: Target, end: EndOfAttempt): void;
}

/** The part of an attempt's end that tells where it arrived. */
type EndOfAttempt =
  | Extract<AttemptEnd, { kind: 'not-run' }>
  | { readonly kind: Exclude<AttemptEnd['kind'], 'not-run'>; readonly cause?: string };

type RepeatedCall = Pick<GatewayCall, 'head' | 'service'>;

export interface RepeatsOptions {
  readonly log: Logger;
  readonly budget: RetryBudget;
  /** Service of a listed target. */
  serviceOf(targetId: string): string | undefined;
  /** Called after each decision. */
  onDecision(service: string, kind: RepeatKind, isAllowed: boolean): void;
}

export function createRepeats({ log, budget, ...options }: RepeatsOptions): Repeats {
  return {
    start({ head, service }) {
      const { requestId } = head;
      const turnedAwayBy = new Set<Target>();
      let hasArrived = false;
      let isPaid = false;
      let isReplaceRefused = false;
      budget.deposit(service);

      const kindOf = (target: Target | undefined, isContinuation: boolean): RepeatKind => {
        if (isContinuation) return 'continuation';
        const isTried = target ? turnedAwayBy.has(target) : turnedAwayBy.size > 0;
        return isTried ? 'further-round' : 'untried';
      };

      const tryPay = (
        target: Target | undefined,
        isContinuation: boolean,
        isRefusalKnown = false,
      ): boolean => {
        const kind = kindOf(target, isContinuation);
        const { isAllowed, allowed, slackInMs, ...inputs } = budget.tryWithdraw(service, kind);
        if (!isAllowed && isRefusalKnown) return false;
        log.info(
          {
            requestId,
            service,
            kind,
            ...inputs,
            allowed: Math.round(allowed * 10) / 10,
            slackInMs: Math.round(slackInMs),
            areGatewaysKnown: inputs.gateways !== undefined,
          },
          isAllowed ? 'request is sent again' : 'request is not sent again: the budget is used up',
        );
        options.onDecision(service, kind, isAllowed);
        return isAllowed;
      };

      return {
        tryStart(target, isContinuation) {
          if (hasArrived && !isPaid) isPaid = tryPay(target, isContinuation);
          return !hasArrived || isPaid;
        },
        tryReplace(target) {
          const isAllowed = tryPay(target, false, isReplaceRefused);
          isReplaceRefused = !isAllowed;
          return isAllowed;
        },
        observeEnd(target, end) {
          // Nothing was sent to an unreachable target, so what was paid is left for the next one.
          if (end.kind === 'not-run' && end.cause === 'unreachable') return;
          const wasRepeat = hasArrived;
          hasArrived = true;
          isPaid = false;
          if (end.kind !== 'not-run') return;
          turnedAwayBy.add(target);
          const respondingId = end.head?.targetId;
          const arrivalService =
            respondingId === undefined ? undefined : options.serviceOf(respondingId);
          if (wasRepeat && arrivalService !== undefined && arrivalService !== service)
            budget.charge(arrivalService);
        },
      };
    },
  };
}
