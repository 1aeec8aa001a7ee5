/** What a gateway knows about the target of an attempt when no bytes arrive from it. */
export interface SilenceFacts {
  /** Time since the last byte of the response, or since the request was sent, in milliseconds. */
  readonly silentMs: number;
  /** Time since the target last sent bytes of any response or accepted a connection. */
  readonly sinceReachableMs: number;
  /** The target began to respond to this request or to one that was sent clearly later. */
  readonly answersOthers: boolean;
}

/** Whether the target accepts connections; `unknown` when it was not tried since it fell silent. */
export type Reachability = 'yes' | 'no' | 'unknown';

export interface SilenceState extends Pick<SilenceFacts, 'silentMs' | 'answersOthers'> {
  readonly acceptsConnections: Reachability;
  /** Another incarnation has the address of the target, so the run has ended. */
  readonly isReplaced: boolean;
}

export interface SilenceLimits {
  /** Silence after which the target counts as reachable only if it accepts a connection. */
  readonly probeAfterMs: number;
  /** Silence after which the run moves to another target that is reserved for it. */
  readonly hangTimeoutMs: number;
}

/**
 * What to do with a silent run. `give-up`: its target is gone. `move`: its target answers others, so
 * the run may hang; it is given up only once another target and the budget for the repeat are
 * reserved.
 */
export type SilenceStep = 'wait' | 'probe' | 'give-up' | 'move';

/**
 * Decides on a run whose target sends nothing. A target that loads weights, prefills a long prompt
 * or preempted the run is silent too and goes on later, so silence alone ends no run.
 */
export function nextSilenceStep(
  { silentMs, answersOthers, acceptsConnections, isReplaced }: SilenceState,
  { probeAfterMs, hangTimeoutMs }: SilenceLimits,
): SilenceStep {
  if (silentMs < probeAfterMs) return 'wait';
  if (isReplaced || acceptsConnections === 'no') return 'give-up';
  if (acceptsConnections === 'unknown') return 'probe';
  return silentMs >= hangTimeoutMs && answersOthers ? 'move' : 'wait';
}
