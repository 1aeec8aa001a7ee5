import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage, TargetRefusedError } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type Target } from '../gateway/targets.js';
import { type EngineReport, type RunControl, type StopRunReply } from '../ports/wire.js';

/** A run that may still work, although its connection is gone. */
export interface DetachedRun {
  readonly requestId: string;
  readonly target: Target;
  /** Engine to which its memory is sent. */
  readonly copyTo: Target;
  /** Clock time at which the run was sent to its target. */
  readonly startedAt: number;
}

/** Where the memory of an ended run is; `handle` names it at the target that ran it. */
export type RunEnd =
  | { readonly kind: 'moved'; readonly handle: string }
  | { readonly kind: 'ended' }
  /** The engine may still work on the request. */
  | { readonly kind: 'unconfirmed' };

/**
 * Makes sure that a run has ended before another engine goes on with it. A closed connection does not
 * show that: some engines work on, and the request would run twice.
 */
export interface RunEnds {
  /**
   * Stops the run and resolves once the engine, or its absence, shows that it has ended; to
   * `unconfirmed` when the token is cancelled or no time remains.
   */
  confirm(run: DetachedRun, remainingMs: () => number, token: CancellationToken): Promise<RunEnd>;
}

export interface RunEndOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly control: RunControl;
}

/** Delay before the second call to an engine that did not answer the first; later ones double. */
const firstRetryMs = 50;

/** Reports lag by some hundred milliseconds, so more frequent calls would show little. */
const maxRetryMs = 400;

/** A report may not show a run yet that began this short a time before, in milliseconds. */
const reportLagMs = 1_000;

/** A lost packet delays a connection by more than its timeout, so one refusal proves nothing. */
const refusalsWhenGone = 2;

/** True when a report shows that the engine doesn't work on the request, nor will again. */
function isWithoutRun({ runIds, running, waiting }: EngineReport, requestId: string): boolean {
  // A run that was preempted may wait without being listed.
  return waiting === 0 && (runIds ? !runIds.has(requestId) : running === 0);
}

const endOf: Readonly<Record<StopRunReply['kind'], (reply: StopRunReply) => RunEnd | undefined>> = {
  moved: (reply) => (reply.kind === 'moved' ? reply : undefined),
  stopped: () => ({ kind: 'ended' }),
  'no-run': () => ({ kind: 'ended' }),
  replaced: () => ({ kind: 'ended' }),
  unknown: () => undefined,
};

export function createRunEnds({ clock, log, control }: RunEndOptions): RunEnds {
  /** Reports that were requested and have not arrived; all runs at a target share one. */
  const reports = new Map<Target, Promise<EngineReport | undefined>>();

  const fetchReport = (
    target: Target,
    token: CancellationToken,
  ): Promise<EngineReport | undefined> => {
    const { address } = target.registration;
    const report =
      reports.get(target) ??
      control
        .fetchReport(address, target.id, token)
        .catch(() => undefined)
        .finally(() => reports.delete(target));
    reports.set(target, report);
    return report;
  };

  /** Resolves to undefined when the run may go on, to `refused` when the call could not be sent. */
  const stop = async (
    { requestId, target, copyTo }: DetachedRun,
    token: CancellationToken,
  ): Promise<RunEnd | 'refused' | undefined> => {
    const order = { requestId, copyTo: copyTo.registration.address };
    try {
      const reply = await control.stopRun(target.registration.address, target.id, order, token);
      return endOf[reply.kind](reply);
    } catch (err) {
      if (err instanceof TargetRefusedError) return 'refused';
      log.debug({ requestId, target: target.id, err: errMessage(err) }, 'run could not be stopped');
      return undefined;
    }
  };

  return {
    async confirm(run, remainingMs, token) {
      const { requestId, target, startedAt } = run;
      const askedAt = clock.now();
      let refusals = 0;
      let retryMs = firstRetryMs;
      const conclude = (end: RunEnd, evidence: string): RunEnd => {
        const tookMs = Math.round(clock.now() - askedAt);
        const { kind } = end;
        log.info({ requestId, target: target.id, end: kind, evidence, tookMs }, 'run was stopped');
        return end;
      };
      while (!token.isCancellationRequested && remainingMs() > 0) {
        const reply = await stop(run, token);
        if (token.isCancellationRequested) break;
        if (reply === 'refused') {
          refusals += 1;
          if (refusals >= refusalsWhenGone) return conclude({ kind: 'ended' }, 'unreachable');
          continue;
        }
        refusals = 0;
        if (reply) return conclude(reply, 'reply');
        if (clock.now() - startedAt >= reportLagMs) {
          const report = await fetchReport(target, token);
          if (report && isWithoutRun(report, requestId))
            return conclude({ kind: 'ended' }, 'report');
        }
        await sleep(clock, Math.min(retryMs, Math.max(0, remainingMs())), token).catch(
          () => undefined,
        );
        retryMs = Math.min(maxRetryMs, retryMs * 2);
      }
      log.warn(
        { requestId, target: target.id, tookMs: Math.round(clock.now() - askedAt) },
        'a broken stream does not go on, because its engine may still work on it',
      );
      return { kind: 'unconfirmed' };
    },
  };
}
