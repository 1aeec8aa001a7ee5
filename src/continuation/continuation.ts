import { type CancellationToken } from '../base/cancellation.js';
import { type Placement } from '../gateway/placement.js';
import { type BrokenRun, type Copies, type CopyChoice } from './copy.js';
import { type RunEnds } from './runend.js';

/** Goes on elsewhere with broken streams that may run only once. */
export interface Continuations {
  /** Tells where the stream could go on now, without an effect. */
  find(run: BrokenRun): CopyChoice;
  /**
   * Ends the run at its target and places the stream at the engine with its memory; undefined when
   * there is none, or when the run may not have ended before no time remains.
   */
  place(
    run: BrokenRun,
    remainingMs: () => number,
    token: CancellationToken,
  ): Promise<Placement | undefined>;
}

export function createContinuations(copies: Copies, runEnds: RunEnds): Continuations {
  return {
    find: copies.find,
    async place(run, remainingMs, token) {
      const { target } = run.placement;
      const { requestId } = run.head;
      const copy = copies.find(run);
      if (copy.kind === 'none') return undefined;
      const detached = { ...run, requestId, target, copyTo: copy.placement.target };
      const end = await runEnds.confirm(detached, remainingMs, token);
      // The engines may have failed or changed their weights meanwhile.
      const latest = copies.find(run);
      if (end.kind === 'unconfirmed' || latest.kind === 'none') return undefined;
      if (end.kind === 'ended') return latest.placement;
      const { address } = target.registration;
      return { ...latest.placement, continueFrom: { address, handle: end.handle } };
    },
  };
}
