import { type Logger } from '../base/logging.js';
import { type GatewayCall } from './calls.js';
import { type RepeatDecision, type RetryBudget } from './retrybudget.js';

/**
 * Why a request is sent to a target again. `backup`: the engine that has a copy of the KV cache goes
 * on with the stream. `continuation`: another target goes on with a stream that the caller has in
 * part. `untried`: in the first round over the targets. `further-round`: targets that have turned the
 * request away are tried again.
 */
export type RepeatKind = 'backup' | 'continuation' | 'untried' | 'further-round';

/** Decides whether requests are sent again, and records each decision. */
export interface Repeats {
  /** Withdraws one repeat from the budget; returns false when the budget refuses it. */
  tryStart(call: Pick<GatewayCall, 'head' | 'service'>, kind: RepeatKind): boolean;
}

export interface RepeatsOptions {
  readonly log: Logger;
  readonly budget: RetryBudget;
  /** Called after each decision. */
  onDecision(service: string, kind: RepeatKind, isAllowed: boolean): void;
}

export function createRepeats({ log, budget, onDecision }: RepeatsOptions): Repeats {
  const deciders: Readonly<Record<RepeatKind, (service: string) => RepeatDecision>> = {
    backup: (service) => budget.charge(service),
    continuation: (service) => budget.tryWithdraw(service),
    untried: (service) => budget.tryWithdraw(service),
    'further-round': (service) => budget.tryWithdraw(service),
  };

  return {
    tryStart({ head, service }, kind) {
      const { isAllowed, allowed, ...inputs } = deciders[kind](service);
      log.info(
        {
          requestId: head.requestId,
          service,
          kind,
          ...inputs,
          allowed: Math.round(allowed * 10) / 10,
          areGatewaysKnown: inputs.gateways !== undefined,
        },
        isAllowed ? 'request is sent again' : 'request is not sent again: the budget is used up',
      );
      onDecision(service, kind, isAllowed);
      return isAllowed;
    },
  };
}
