import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type EngineControl, type InFlightPolicy } from '../ports/wire.js';
import { createLoadFailures } from './loadfailures.js';
import { type OnDemandOrderLease } from './ondemandlease.js';
import { type RolloutEngine, type RolloutGateway } from './rolloutgateway.js';
import { type EngineStep, planWeightsRollout, type PlannedEngine } from './weightsplan.js';

/** Loads the desired weights on the engines while this process holds the order lease. */
export interface WeightsRollout extends Disposable {
  /** Requests a step at once because the desired versions, engines or lease may have changed. */
  requestStep(): void;
  /**
   * From now on the lease is not taken over from another process, because this one ends soon and the
   * next holder would have to wait until the lease expires. A holder goes on.
   */
  leaveToOthers(): void;
}

export interface WeightsRolloutOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly lease: OnDemandOrderLease;
  readonly control: EngineControl;
  readonly gateway: RolloutGateway;
  readonly holder: string;
}

/** Interval between steps while engines change. */
const stepIntervalMs = 40;

/** Mean interval between steps while this process waits for another holder. */
const standbyIntervalMs = 400;

/** Time in which the last holder can start before other processes try to acquire the lease. */
const holderHeadStartMs = 500;

/** Delay before an engine is changed again after a failure. */
const retryDelayMs = 500;

/** Orders without a reply after which an engine returns to serving and is retried later. */
const maxLostReplies = 3;

/**
 * Time after an order from which it counts as ignored when the engine reports the old weights and
 * no order in progress; reports lag by some hundred milliseconds.
 */
const ignoredOrderTimeoutMs = 1_400;

/** Time after which the change of an engine that fails to report is dropped and planned again. */
const reportTimeoutMs = 6_000;

/** Duration of a load that is assumed until loads were observed, and its bounds, in milliseconds. */
const initialLoadMs = 800;

const minLoadMs = 200;

const maxLoadMs = 3_000;

/** Weight of the newest load in the mean duration. */
const loadSmoothing = 0.25;

interface EngineChange {
  readonly model: string;
  version: number;
  step: 'draining' | 'loading';
  since: number;
  checkedAt: number;
  isActionPending: boolean;
  lostReplies: number;
}

export function createWeightsRollout(options: WeightsRolloutOptions): WeightsRollout {
  const { clock, random, log, lease, control, gateway, holder } = options;
  const source = createCancellationSource();
  const changes = new Map<string, EngineChange>();
  const acceptedOrderCounts = new Map<string, number>();
  const retryAt = new Map<string, number>();
  const loadFailures = createLoadFailures(clock);
  let outdatedSince: number | undefined;
  let meanLoadMs = initialLoadMs;
  let resumeLoop: () => void = () => undefined;
  /** True when a step was requested since the last one started. */
  let isStepRequested = false;
  let isLeftToOthers = false;

  const requestStep = (): void => {
    isStepRequested = true;
    resumeLoop();
  };

  const publishChanging = (): void => gateway.setChangingEngines([...changes.keys()]);

  const stepOf = (id: string): EngineStep => {
    const change = changes.get(id);
    if (!change) return { kind: 'serving' };
    const { step, since, checkedAt } = change;
    const sinceMs = clock.now() - since;
    return step === 'draining'
      ? { kind: 'draining', sinceMs }
      : { kind: 'loading', sinceMs, sinceCheckMs: clock.now() - checkedAt };
  };

  const finishChange = (id: string, reason: string): void => {
    const change = changes.get(id);
    if (!change) return;
    changes.delete(id);
    const { model, version } = change;
    const tookMs = Math.round(clock.now() - change.since);
    log.info({ target: id, model, version, reason, tookMs }, 'weights change of the engine ended');
    publishChanging();
  };

  const observeLoad = ({ since }: EngineChange): void => {
    const loadMs = Math.min(maxLoadMs, Math.max(minLoadMs, clock.now() - since));
    meanLoadMs += (loadMs - meanLoadMs) * loadSmoothing;
  };

  /** Ends a change whose engine can't be reached any more. */
  const finishLost = (id: string, reason: string): void => {
    const change = changes.get(id);
    if (change?.step === 'loading') loadFailures.recordLost(change.model, change.version);
    finishChange(id, reason);
  };

  /** Ends a change and delays the engine's next one, so that a failure is not repeated at once. */
  const postpone = (id: string, reason: string): void => {
    retryAt.set(id, clock.now() + retryDelayMs);
    finishChange(id, reason);
  };

  const order = async (
    engine: RolloutEngine,
    change: EngineChange,
    inFlightPolicy: InFlightPolicy,
    token: CancellationToken,
  ): Promise<void> => {
    const { id, address } = engine;
    const { model, version } = change;
    try {
      let count = acceptedOrderCounts.get(id);
      if (count === undefined) {
        const report = await control.fetchReport(address, id, token);
        count = report.acceptedOrders;
      }
      // Acquired last, so that no other call delays the order after the lease is written.
      const fencingNumber = await lease.acquire(token);
      if (fencingNumber === undefined) {
        postpone(id, 'order lease was not acquired');
        return;
      }
      const details = {
        model,
        version,
        runs: inFlightPolicy,
        holder,
        fencingNumber,
        acceptedOrders: count,
      };
      const reply = await control.sendOrder(address, id, details, token);
      log.info(
        { target: id, ...details, answer: reply, active: engine.inFlightRequests },
        'order was sent',
      );
      change.since = clock.now();
      if (reply === 'accepted') {
        acceptedOrderCounts.set(id, count + 1);
        change.step = 'loading';
        return;
      }
      if (reply === 'unknown') {
        // Sent again with the same count, so that the engine accepts only one of the two orders.
        acceptedOrderCounts.set(id, count);
        change.lostReplies += 1;
        if (change.lostReplies >= maxLostReplies)
          postpone(id, 'engine did not reply to its orders');
        return;
      }
      acceptedOrderCounts.delete(id);
      if (reply === 'replaced') gateway.observeReplacement(id);
      if (reply === 'conflict') {
        // An order whose reply was lost may be in progress; the next report shows it.
        change.step = 'loading';
      } else if (reply === 'in-force') {
        gateway.observeWeights(id, model, version);
        finishChange(id, 'weights were loaded already');
      } else postpone(id, `engine replied ${reply} to the order`);
    } catch (err) {
      acceptedOrderCounts.delete(id);
      log.warn(
        { target: id, model, version, err: errMessage(err) },
        'order could not be sent; retrying later',
      );
      postpone(id, 'engine could not be reached');
    }
  };

  const check = async (
    engine: RolloutEngine,
    change: EngineChange,
    token: CancellationToken,
  ): Promise<void> => {
    const { id, address } = engine;
    change.checkedAt = clock.now();
    try {
      const report = await control.fetchReport(address, id, token);
      const version = report.weights.get(change.model);
      if (report.isExecutingOrder || version === undefined) return;
      acceptedOrderCounts.set(id, report.acceptedOrders);
      if (version === change.version) {
        observeLoad(change);
        gateway.observeWeights(id, change.model, version);
        finishChange(id, 'engine reports the new version');
      } else if (clock.now() - change.since > ignoredOrderTimeoutMs)
        postpone(id, `engine still reports version ${version}`);
    } catch (err) {
      log.debug({ target: id, err: errMessage(err) }, 'engine report could not be read');
      if (clock.now() - change.since > reportTimeoutMs)
        finishLost(id, 'engine reports could not be read');
    }
  };

  const startAction = (change: EngineChange, run: () => Promise<void>): void => {
    if (change.isActionPending) return;
    change.isActionPending = true;
    run()
      .catch((err: unknown) =>
        log.error({ err: errMessage(err) }, 'rollout action failed; retrying with a later step'),
      )
      .finally(() => {
        change.isActionPending = false;
        requestStep();
      });
  };

  const rolloutModel = async (model: string, desiredVersion: number, token: CancellationToken) => {
    const engines = new Map(gateway.engines(model).map((engine) => [engine.id, engine]));
    const planned: PlannedEngine[] = [];
    for (const engine of engines.values()) {
      const change = changes.get(engine.id);
      // The engine restarted with these weights, or a response has shown that it loaded them.
      if (change?.step === 'loading' && engine.version === change.version) {
        observeLoad(change);
        finishChange(engine.id, 'engine serves the new version');
      }
      const isPostponed = clock.now() < (retryAt.get(engine.id) ?? -Infinity);
      const isDown = engine.isDown || isPostponed;
      planned.push({ ...engine, isDown, step: stepOf(engine.id) });
    }
    const actions = planWeightsRollout(planned, desiredVersion, meanLoadMs);
    // Draining an engine for an order that can't be given only moves its load to the others, so a
    // process that can't acquire the lease, such as one that can't reach the store, drains none.
    const mayDrain =
      actions.some(({ kind }) => kind === 'drain') && (await lease.acquire(token)) !== undefined;
    const handlers = {
      drain: (id: string) => {
        changes.set(id, {
          model,
          version: desiredVersion,
          step: 'draining',
          since: clock.now(),
          checkedAt: -Infinity,
          isActionPending: false,
          lostReplies: 0,
        });
        publishChanging();
      },
      order: (id: string, inFlightPolicy: InFlightPolicy) => {
        const engine = engines.get(id);
        const change = changes.get(id);
        if (!engine || !change) return;
        // A newer version may have become the desired one while the engine drained.
        change.version = desiredVersion;
        startAction(change, () => order(engine, change, inFlightPolicy, token));
      },
      check: (id: string) => {
        const engine = engines.get(id);
        const change = changes.get(id);
        if (engine && change) startAction(change, () => check(engine, change, token));
      },
    };
    const isServed = planned.some(({ version }) => version === desiredVersion);
    let newLoads = loadFailures.maxNewLoads(model, desiredVersion, isServed, changes.size);
    for (const action of actions) {
      if (action.kind === 'drain' && (!mayDrain || newLoads <= 0)) continue;
      if (action.kind === 'drain') newLoads -= 1;
      if (action.kind === 'order') handlers.order(action.id, action.inFlightPolicy);
      else handlers[action.kind](action.id);
    }
  };

  const hasOutdatedEngine = (): boolean => {
    for (const [model, desiredVersion] of gateway.desiredVersions()) {
      for (const { version, isDown } of gateway.engines(model)) {
        if (!isDown && version !== undefined && version < desiredVersion) return true;
      }
    }
    return false;
  };

  /** The last holder may act at once; the others first wait, unless there is no holder yet. */
  const mayAct = (): boolean => {
    if (lease.isHolder || changes.size > 0) return true;
    if (lease.unchangedMs() === Infinity) return true;
    const sinceMs = Math.min(lease.unchangedMs(), gateway.sinceWeightsChangeMs());
    const waitedMs = outdatedSince === undefined ? 0 : clock.now() - outdatedSince;
    return sinceMs > holderHeadStartMs && waitedMs > holderHeadStartMs;
  };

  const step = async (token: CancellationToken): Promise<number | undefined> => {
    for (const [id, change] of changes) {
      const isListed = gateway.engines(change.model).some((engine) => engine.id === id);
      if (!isListed) finishLost(id, 'engine is no longer listed');
    }
    const isOthersTurn = isLeftToOthers && !lease.isHolder;
    if ((!hasOutdatedEngine() || isOthersTurn) && changes.size === 0) {
      outdatedSince = undefined;
      return undefined;
    }
    outdatedSince ??= clock.now();
    if (!mayAct()) return standbyIntervalMs * (0.5 + random.next());
    if (changes.size === 0 && (await lease.acquire(token)) === undefined) {
      return standbyIntervalMs * (0.5 + random.next());
    }
    for (const [model, desiredVersion] of gateway.desiredVersions())
      await rolloutModel(model, desiredVersion, token);
    return stepIntervalMs;
  };

  const run = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      isStepRequested = false;
      const delayMs = await step(token);
      if (isStepRequested) continue;
      const stepRequested = new Promise<void>((resolve) => {
        resumeLoop = resolve;
      });
      if (delayMs === undefined) await stepRequested;
      else await Promise.race([stepRequested, sleep(clock, delayMs, token).catch(() => undefined)]);
    }
  };

  run(source.token).catch((err: unknown) => {
    log.error(
      { err: errMessage(err) },
      'weights rollout stopped unexpectedly; restart the process',
    );
  });

  return {
    requestStep,
    leaveToOthers() {
      isLeftToOthers = true;
    },
    dispose() {
      source.cancel('rollout closed');
      requestStep();
    },
  };
}
