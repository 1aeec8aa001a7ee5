import { randomUUID } from 'node:crypto';
import { createCancellationSource } from '../base/cancellation.js';
import { errMessage } from '../base/errors.js';
import { type RetryBudgets } from '../limits/retrybudget.js';
import { type AgentView } from '../membership/directory.js';
import { type AttemptDependencies, startAttempt, toDispatch } from './attempt.js';
import { type PlacementPolicy } from './policies.js';
import { type CompletionRequest } from './request.js';

/** Measures targets on probation with copies of requests. */
export interface Prober {
  /**
   * Sends a copy of a request to a slow target, if the target accepts it and the budget allows it,
   * and reads the first chunks of text. The caller's own attempt runs on another target, so no
   * caller waits for a probe.
   */
  probe(req: CompletionRequest, agent: AgentView): void;
}

export interface ProberOptions {
  readonly deps: AttemptDependencies;
  readonly policy: PlacementPolicy;
  /** Budgets that limit probes in the same way as other extra attempts. */
  readonly budgets: Pick<RetryBudgets, 'of'>;
}

/** A probe that is not complete after this time is recorded as late and cancelled. */
const probeTimeoutMs = 10_000;

/** Chunks that a probe reads; enough to judge the time between tokens. */
const probeChunks = 8;

export function createProber({ deps, policy, budgets }: ProberOptions): Prober {
  const { clock, log, health } = deps;

  const run = async (req: CompletionRequest, agent: AgentView): Promise<void> => {
    const source = createCancellationSource();
    const choice = await policy.choose(req, [agent], source.token, 'probe');
    if (choice.kind !== 'chosen' || !budgets.of(req.model).tryWithdraw()) return;
    // A separate request id keeps the probe apart from the caller's resumable attempts. It starts
    // with the caller's id, so that logs and records attribute the work to the right team.
    const probeReq = { ...req, requestId: `${req.requestId}.probe-${randomUUID()}` };
    const { weightsVersion, expectedFirstTokenMs } = choice;
    const init = toDispatch(probeReq, choice, {
      attempt: 1,
      weightsVersion,
      remainingMs: probeTimeoutMs,
      deliveredText: '',
      deliveredTokens: 0,
      delivered: [],
    });
    const attempt = startAttempt(deps, choice, init, source.token);
    const timer = clock.setTimer(probeTimeoutMs, () => {
      health.observeLate(attempt.target, expectedFirstTokenMs, probeTimeoutMs);
      attempt.cancel('probe timed out');
    });
    for (let chunk = 0; chunk < probeChunks; chunk += 1) {
      const step = await attempt.next();
      if (step.kind !== 'text') break;
    }
    timer.dispose();
    attempt.cancel('probe is complete');
  };

  return {
    probe(req, agent) {
      run(req, agent).catch((err: unknown) => {
        log.debug({ address: agent.address, err: errMessage(err) }, 'probe failed');
      });
    },
  };
}
