import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type Connections } from './exchange.js';
import {
  nextSilenceStep,
  type Reachability,
  type SilenceFacts,
  type SilenceLimits,
  type SilenceStep,
} from './silence.js';

/** Attempt whose target may fall silent. */
export interface WatchedAttempt extends SilenceLimits {
  readonly clock: Clock;
  readonly connections: Pick<Connections, 'probe' | 'sinceReachableMs'>;
  /** The caller reads too slowly, so no bytes are taken from the target. */
  isPaused(): boolean;
  facts(): SilenceFacts;
  /** True when another incarnation has the address of the target. */
  isReplaced(): boolean;
  /** Reserves a run elsewhere; false when the attempt has to stay. */
  tryMove(silence: SilenceFacts): boolean;
  giveUp(cause: string): void;
}

/** Least time between two checks of a target that sends nothing. */
const minCheckIntervalMs = 150;

/** Ends an attempt whose target is gone, or that hangs while another target is reserved for it. */
export function watchSilence(attempt: WatchedAttempt): Disposable {
  const { clock, connections, probeAfterMs } = attempt;
  let timer: Disposable | undefined;
  let isDisposed = false;

  const nextStep = (reachability: Reachability): SilenceStep => {
    if (attempt.isPaused()) return 'wait';
    const isReplaced = attempt.isReplaced();
    return nextSilenceStep(
      { ...attempt.facts(), acceptsConnections: reachability, isReplaced },
      attempt,
    );
  };

  /** Tries twice, because a lost packet delays a connection by more than the timeout of a probe. */
  const acceptsConnections = async (): Promise<boolean> =>
    (await connections.probe()) || (!isDisposed && (await connections.probe()));

  const check = async (): Promise<void> => {
    const isReachable = connections.sinceReachableMs() < probeAfterMs;
    let step = nextStep(isReachable ? 'yes' : 'unknown');
    if (step === 'probe') step = nextStep((await acceptsConnections()) ? 'yes' : 'no');
    if (isDisposed) return;
    const silence = attempt.facts();
    if (step === 'give-up') {
      const isReplaced = attempt.isReplaced();
      attempt.giveUp(isReplaced ? 'target was replaced' : 'target does not accept connections');
      return;
    }
    if (step === 'move' && attempt.tryMove(silence)) {
      attempt.giveUp(`no bytes received for ${Math.round(silence.silentMs)} ms`);
      return;
    }
    const waitMs = Math.max(minCheckIntervalMs, probeAfterMs - silence.silentMs);
    timer = clock.setTimer(waitMs, runCheck);
  };

  function runCheck(): void {
    check().catch((err: unknown) => attempt.giveUp(errMessage(err)));
  }

  timer = clock.setTimer(probeAfterMs, runCheck);
  return toDisposable(() => {
    isDisposed = true;
    timer?.dispose();
  });
}
