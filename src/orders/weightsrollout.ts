import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type EngineControl, type RunPolicy } from '../ports/wire.js';
import { type OrderClaim } from './ondemandlease.js';
import { type RolloutEngine, type RolloutSite } from './rolloutgateway.js';
import { type EngineStep, planWeights, type PlannedEngine } from './weightsplan.js';

/** Brings the engines to the wanted weights while this process holds the claim. */
export interface WeightsRollout extends Disposable {
  /** Something that the roll-out reads has changed. */
  wake(): void;
}

export interface WeightsRolloutOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly claim: OrderClaim;
  readonly control: EngineControl;
  readonly site: RolloutSite;
  readonly holder: string;
}

/** Time between two looks while engines change. */
const stepMs = 40;

/** Time between two looks while this process only waits for another holder. */
const idleStepMs = 400;

/** Time that the holder has to begin before others try to take over. */
const holderHeadStartMs = 500;

/** An engine that did not take an order is left alone for this time. */
const retryMs = 500;

/** Orders without an answer after which an engine serves on and is asked again later. */
const maxLostAnswers = 3;

/**
 * An engine that is idle with its old weights after this time has not taken the order. Its reports
 * lag by some hundred milliseconds.
 */
const minLoadMs = 1_400;

/** An engine that has not finished a load after this time is looked at afresh. */
const maxLoadMs = 6_000;

interface Change {
  readonly model: string;
  version: number;
  step: 'draining' | 'loading';
  since: number;
  checkedAt: number;
  isAsked: boolean;
  lostAnswers: number;
}

export function createWeightsRollout(options: WeightsRolloutOptions): WeightsRollout {
  const { clock, random, log, claim, control, site, holder } = options;
  const source = createCancellationSource();
  const changes = new Map<string, Change>();
  const accepted = new Map<string, number>();
  const retryAt = new Map<string, number>();
  let outdatedSince: number | undefined;
  let wakeUp: () => void = () => undefined;
  /** Something changed since the last step began. */
  let isWoken = false;

  const wake = (): void => {
    isWoken = true;
    wakeUp();
  };

  const tellChanging = (): void => site.setChanging([...changes.keys()]);

  const stepOf = (id: string): EngineStep => {
    const change = changes.get(id);
    if (!change) return { kind: 'serving' };
    const { step, since, checkedAt } = change;
    const sinceMs = clock.now() - since;
    return step === 'draining'
      ? { kind: 'draining', sinceMs }
      : { kind: 'loading', sinceMs, sinceCheckMs: clock.now() - checkedAt };
  };

  const finish = (id: string, reason: string): void => {
    const change = changes.get(id);
    if (!change) return;
    changes.delete(id);
    const { model, version } = change;
    const tookMs = Math.round(clock.now() - change.since);
    log.info({ target: id, model, version, reason, tookMs }, 'engine is done with new weights');
    tellChanging();
  };

  /** Leaves an engine alone for a while, so that a failure is not repeated at once. */
  const postpone = (id: string, reason: string): void => {
    retryAt.set(id, clock.now() + retryMs);
    finish(id, reason);
  };

  const order = async (
    engine: RolloutEngine,
    change: Change,
    runs: RunPolicy,
    token: CancellationToken,
  ): Promise<void> => {
    const { id, address } = engine;
    const { model, version } = change;
    try {
      let count = accepted.get(id);
      if (count === undefined) {
        const report = await control.report(address, id, token);
        count = report.acceptedOrders;
      }
      // Taken last, so that no wait lies between the claim and the order that it covers.
      const fencingNumber = await claim.take(token);
      if (fencingNumber === undefined) {
        postpone(id, 'orders are claimed by another process');
        return;
      }
      const details = { model, version, runs, holder, fencingNumber, acceptedOrders: count };
      const answer = await control.order(address, id, details, token);
      log.info({ target: id, ...details, answer, active: engine.runs }, 'order was given');
      change.since = clock.now();
      if (answer === 'accepted') {
        accepted.set(id, count + 1);
        change.step = 'loading';
        return;
      }
      if (answer === 'unknown') {
        // Asked again with the same count: the engine takes only one of the two orders.
        accepted.set(id, count);
        change.lostAnswers += 1;
        if (change.lostAnswers >= maxLostAnswers) postpone(id, 'its answers are lost');
        return;
      }
      accepted.delete(id);
      if (answer === 'replaced') site.onReplaced(id);
      if (answer === 'conflict') {
        // Perhaps an order whose answer was lost is being carried out; a report tells.
        change.step = 'loading';
      } else if (answer === 'in-force') {
        site.onWeights(id, model, version);
        finish(id, 'it had them already');
      } else postpone(id, `order was answered with ${answer}`);
    } catch (err) {
      accepted.delete(id);
      log.warn({ target: id, model, version, err: errMessage(err) }, 'order was not given');
      postpone(id, 'it was not reached');
    }
  };

  const check = async (
    engine: RolloutEngine,
    change: Change,
    token: CancellationToken,
  ): Promise<void> => {
    const { id, address } = engine;
    change.checkedAt = clock.now();
    try {
      const report = await control.report(address, id, token);
      const version = report.weights.get(change.model);
      if (report.isBusy || version === undefined) return;
      accepted.set(id, report.acceptedOrders);
      if (version === change.version) {
        site.onWeights(id, change.model, version);
        finish(id, 'it reports them');
      } else if (clock.now() - change.since > minLoadMs) postpone(id, `it reports ${version}`);
    } catch (err) {
      log.debug({ target: id, err: errMessage(err) }, 'engine does not report');
      if (clock.now() - change.since > maxLoadMs) finish(id, 'it does not report');
    }
  };

  const startAction = (change: Change, run: () => Promise<void>): void => {
    if (change.isAsked) return;
    change.isAsked = true;
    run()
      .catch((err: unknown) => log.error({ err: errMessage(err) }, 'roll-out step failed'))
      .finally(() => {
        change.isAsked = false;
        wake();
      });
  };

  const stepModel = async (model: string, wanted: number, token: CancellationToken) => {
    const engines = new Map(site.engines(model).map((engine) => [engine.id, engine]));
    const planned: PlannedEngine[] = [];
    for (const engine of engines.values()) {
      const change = changes.get(engine.id);
      // The engine was restarted with other weights, or its load was seen by a request.
      if (change?.step === 'loading' && engine.version === change.version) {
        finish(engine.id, 'it answers with them');
      }
      const isPostponed = clock.now() < (retryAt.get(engine.id) ?? -Infinity);
      const isDown = engine.isDown || isPostponed;
      planned.push({ ...engine, isDown, step: stepOf(engine.id) });
    }
    const actions = planWeights(planned, wanted);
    // An engine that drains for an order that can't be given only leaves its load to the others, so
    // a holder that has lost the store drains none.
    const mayDrain =
      actions.some(({ kind }) => kind === 'drain') && (await claim.take(token)) !== undefined;
    const handlers = {
      drain: (id: string) => {
        changes.set(id, {
          model,
          version: wanted,
          step: 'draining',
          since: clock.now(),
          checkedAt: -Infinity,
          isAsked: false,
          lostAnswers: 0,
        });
        tellChanging();
      },
      order: (id: string, runs: RunPolicy) => {
        const engine = engines.get(id);
        const change = changes.get(id);
        if (!engine || !change) return;
        // A newer version may have been named while the engine drained.
        change.version = wanted;
        startAction(change, () => order(engine, change, runs, token));
      },
      check: (id: string) => {
        const engine = engines.get(id);
        const change = changes.get(id);
        if (engine && change) startAction(change, () => check(engine, change, token));
      },
    };
    for (const action of actions) {
      if (action.kind === 'drain' && !mayDrain) continue;
      if (action.kind === 'order') handlers.order(action.id, action.runs);
      else handlers[action.kind](action.id);
    }
  };

  const isOutdated = (): boolean => {
    for (const [model, wanted] of site.wanted()) {
      for (const { version, isDown } of site.engines(model)) {
        if (!isDown && version !== undefined && version < wanted) return true;
      }
    }
    return false;
  };

  /** The last holder begins at once; the others leave it a head start, if there is one. */
  const mayAct = (): boolean => {
    if (claim.isHolder || changes.size > 0) return true;
    if (claim.unchangedMs() === Infinity) return true;
    const sinceMs = Math.min(claim.unchangedMs(), site.sincePeerChangeMs());
    const waitedMs = outdatedSince === undefined ? 0 : clock.now() - outdatedSince;
    return sinceMs > holderHeadStartMs && waitedMs > holderHeadStartMs;
  };

  const step = async (token: CancellationToken): Promise<number | undefined> => {
    for (const [id, change] of changes) {
      const isListed = site.engines(change.model).some((engine) => engine.id === id);
      if (!isListed) finish(id, 'it is gone');
    }
    if (!isOutdated() && changes.size === 0) {
      outdatedSince = undefined;
      return undefined;
    }
    outdatedSince ??= clock.now();
    if (!mayAct()) return idleStepMs * (0.5 + random.next());
    if (changes.size === 0 && (await claim.take(token)) === undefined) {
      return idleStepMs * (0.5 + random.next());
    }
    for (const [model, wanted] of site.wanted()) await stepModel(model, wanted, token);
    return stepMs;
  };

  const run = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      isWoken = false;
      const delayMs = await step(token);
      if (isWoken) continue;
      const woken = new Promise<void>((resolve) => {
        wakeUp = resolve;
      });
      if (delayMs === undefined) await woken;
      else await Promise.race([woken, sleep(clock, delayMs, token).catch(() => undefined)]);
    }
  };

  run(source.token).catch((err: unknown) => {
    log.error({ err: errMessage(err) }, 'roll-out of weights ended; restart the process');
  });

  return {
    wake,
    dispose() {
      source.cancel('roll-out closed');
      wake();
    },
  };
}
