import { type Progress } from '../gateway/attemptend.js';
import { type FailureTracker } from '../gateway/failuretracker.js';
import { type Placement } from '../gateway/placement.js';
import { type Target } from '../gateway/targets.js';
import { type CallerHead } from '../ports/wire.js';

/** A stream whose run at a target broke off. */
export interface BrokenRun {
  readonly head: CallerHead;
  readonly placement: Placement;
  readonly progress: Progress;
  /** Clock time at which the run was sent to its target. */
  readonly startedAt: number;
}

/**
 * Why a broken stream can't go on from the copy of its KV cache. `no-event`: no event with an id was
 * sent to the caller. `weights-unsettled`: the weights of one of the two engines changed since the run
 * began, or may have, so a part of the copy or of the response would come from other weights.
 */
export type NoCopyReason = 'no-backup' | 'backup-down' | 'no-event' | 'weights-unsettled';

export type CopyChoice =
  | { readonly kind: 'placed'; readonly placement: Placement }
  | { readonly kind: 'none'; readonly reason: NoCopyReason };

/** Copies of the KV cache of streams that may run only once, which their engines make. */
export interface Copies {
  /** Places the stream at the engine that has the copy; it continues the same execution there. */
  find(run: BrokenRun): CopyChoice;
}

export interface CopiesOptions {
  readonly failureTracker: Pick<FailureTracker, 'isDown'>;
  /** True while the target loads other weights or is about to. */
  isChangingWeights(target: Target): boolean;
}

export function createCopies(options: CopiesOptions): Copies {
  const { failureTracker, isChangingWeights } = options;
  const none = (reason: NoCopyReason): CopyChoice => ({ kind: 'none', reason });

  const isSettled = (
    target: Target,
    model: string,
    { placement: { weightsVersion }, startedAt }: BrokenRun,
  ): boolean =>
    target.weights.version(model) === weightsVersion &&
    target.weights.unsettledAt(model) < startedAt &&
    !isChangingWeights(target);

  return {
    find(run) {
      const { head, placement, progress } = run;
      const { target, backup, salt, weightsVersion, memory } = placement;
      if (!backup || head.model === undefined) return none('no-backup');
      if (backup.isRemoved || backup.isLeaving || failureTracker.isDown(backup))
        return none('backup-down');
      if (progress.lastEventId === undefined) return none('no-event');
      if (!isSettled(target, head.model, run) || !isSettled(backup, head.model, run))
        return none('weights-unsettled');
      return {
        kind: 'placed',
        placement: {
          target: backup,
          salt,
          weightsVersion,
          fetchFrom: undefined,
          saveTo: undefined,
          backup: undefined,
          prefillTokens: 0,
          expectedMs: 0,
          soleWork: undefined,
          work: undefined,
          memory: memory && { ...memory, heldTokens: undefined },
          continueFrom: { address: backup.registration.address, handle: head.requestId },
        },
      };
    },
  };
}
