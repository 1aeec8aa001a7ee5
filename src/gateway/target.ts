import { type Clock } from '../base/clock.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type TargetRegistration } from '../ports/site.js';
import { type TargetLoad } from '../ports/wire.js';
import { type StoreEras } from '../storeera/eras.js';
import { type ConnectionPool } from './connectionpool.js';
import { type Connections, createConnections } from './exchange.js';
import { type InFlightLoad, lowestPriority } from './inflight.js';
import { createTargetWeights, type TargetWeights } from './targetweights.js';

/** One target: its registration and what this process observed of it. */
export interface Target {
  readonly id: string;
  readonly registration: TargetRegistration;
  readonly connections: Connections;
  /** True once the target is no longer listed. */
  readonly isRemoved: boolean;
  /** The target will stop soon, by its registration or by a response; it gets no more requests. */
  readonly isLeaving: boolean;
  /** This process's own requests there. */
  readonly inFlight: InFlightLoad;
  readonly load: TargetLoad | undefined;
  /** Age of `load` in milliseconds. */
  loadAgeMs(): number;
  readonly weights: Omit<TargetWeights, 'register'>;
  observeLoad(load: TargetLoad): void;
  /** Records that a response said that the target is leaving, which holds until its next start. */
  observeLeaving(): void;
  /**
   * When the newest request was sent to which the target began a response, of those that are not
   * more urgent than `priority`: an engine lets more urgent ones overtake.
   */
  newestRespondedSentAt(priority: number): number;
  observeResponseStart(sentAt: number, priority: number): void;
  /** Counts a request with its tokens to prefill as in flight until the result is disposed. */
  startRequest(tokens: number, priority: number): InFlightRequest;
}

/** One counted request. */
export interface InFlightRequest extends Disposable {
  /** Marks the prompt as prefilled, so that its tokens no longer count. */
  markPrefilled(): void;
}

export interface TargetOptions {
  readonly eras: Pick<StoreEras, 'current'>;
  /** Called with the time that a new connection to a target took. */
  onConnected?(durationMs: number): void;
  /** State that the connections to all targets share; each target has its own if absent. */
  readonly pool?: ConnectionPool;
}

/** Target with the methods of its directory. */
export interface ListedTarget extends Target {
  /**
   * Applies the row of the target. A target that announced its end in an earlier era of the store goes
   * on leaving, because the row may be older than the announcement.
   */
  updateRegistration(registration: TargetRegistration): void;
  close(): void;
}

export function createTarget(
  clock: Clock,
  initial: TargetRegistration,
  onWeightsChange: () => void,
  onLeaving: () => void,
  { eras, onConnected, pool }: TargetOptions,
): ListedTarget {
  let registration = initial;
  /** Era in which a row first said that the target is leaving. */
  let leavingEra = initial.isLeaving ? eras.current : Infinity;
  let isRemoved = false;
  let hasAnnouncedLeaving = false;
  /** When the newest request with a response was sent, by priority. */
  const respondedSentAt: number[] = [];
  let requests = 0;
  let prefillTokens: readonly number[] = [];
  let load: TargetLoad | undefined;
  let loadAt = -Infinity;
  const weights = createTargetWeights(clock, eras, initial.weights, onWeightsChange);
  const connections = createConnections(clock, initial.address, {
    dataCentre: initial.dataCentre,
    service: initial.service,
    ...(pool && { pool }),
    ...(onConnected && { onConnected }),
  });
  return {
    id: initial.id,
    get registration() {
      return registration;
    },
    connections,
    get isRemoved() {
      return isRemoved;
    },
    get isLeaving() {
      return hasAnnouncedLeaving || registration.isLeaving;
    },
    get inFlight() {
      return { requests, prefillTokens };
    },
    get load() {
      return load;
    },
    loadAgeMs: () => clock.now() - loadAt,
    weights,
    observeLoad(value) {
      load = value;
      loadAt = clock.now();
    },
    observeLeaving() {
      if (hasAnnouncedLeaving) return;
      hasAnnouncedLeaving = true;
      onLeaving();
    },
    newestRespondedSentAt(priority) {
      let newest = -Infinity;
      for (let index = priority; index <= lowestPriority; index += 1)
        newest = Math.max(newest, respondedSentAt[index] ?? -Infinity);
      return newest;
    },
    observeResponseStart(sentAt, priority) {
      respondedSentAt[priority] = Math.max(sentAt, respondedSentAt[priority] ?? -Infinity);
    },
    startRequest(tokens, priority) {
      const addTokens = (count: number): void => {
        if (count === 0) return;
        const length = Math.max(prefillTokens.length, priority + 1);
        prefillTokens = Array.from(
          { length },
          (_, index) => (prefillTokens[index] ?? 0) + (index === priority ? count : 0),
        );
      };
      requests += 1;
      addTokens(tokens);
      let pendingTokens = tokens;
      const markPrefilled = (): void => {
        addTokens(-pendingTokens);
        pendingTokens = 0;
      };
      const finish = toDisposable(() => {
        markPrefilled();
        requests -= 1;
      });
      return { markPrefilled, dispose: () => finish.dispose() };
    },
    close() {
      isRemoved = true;
      connections.dispose();
    },
    updateRegistration(next) {
      const isLeaving = next.isLeaving || leavingEra < eras.current;
      if (!isLeaving) leavingEra = Infinity;
      else if (leavingEra === Infinity) leavingEra = eras.current;
      registration = { ...next, isLeaving };
      weights.register(next.weights);
    },
  };
}
