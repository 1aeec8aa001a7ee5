import { randomUUID } from 'node:crypto';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type RecordOf } from '../configuration/records.js';
import { type ConfigurationReplica } from '../configuration/replica.js';
import { type AgentDirectory, type AgentView } from '../membership/directory.js';
import { type OrderLease } from './lease.js';
import { type LoadSlot, type OrdersState, type OrdersStore, type RolloutState } from './state.js';

/** Loads the weights or adapters of the `rollout` records while this process holds the lease. */
export interface RolloutController extends Disposable {
  /** Progress as this process last read or wrote it. */
  readonly state: OrdersState | undefined;
}

export interface RolloutOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly lease: OrderLease;
  readonly store: OrdersStore;
  readonly replica: ConfigurationReplica;
  readonly directory: AgentDirectory;
}

/** Limited because more concurrent loads of weights or adapters slow each other down. */
export const maxConcurrentLoads = 2;

/**
 * Minimum time between two assignments of load slots by this process, to limit how often weights or
 * adapters are loaded from the weight store. An agent starts its load later, when its running
 * requests have ended.
 */
const loadIntervalMs = 1_000;

const stepIntervalMs = 500;

const orderTimeoutMs = 2_000;

/** Age of an unusable target's status after which its load slot is freed; the load may continue. */
const unreachableAfterMs = 60_000;

type Rollout = RecordOf<'rollout'>;

function targetOf(agent: AgentView): string {
  return agent.status?.target ?? '';
}

/** True when the target's engine reports the version or, for an adapter, any version of it. */
function hasVersion(rollout: Rollout, agent: AgentView, version: string): boolean {
  if (rollout.adapter) return agent.status?.adapters.includes(rollout.adapter) ?? false;
  return agent.status?.weightsVersion === version;
}

/**
 * True when a target that finished its load is not usable yet and reports another version; without
 * its slot it would be ordered to load again. A target whose engine is down reports no version, so
 * its slot is freed.
 */
function isStatusOutdated(rollout: Rollout, agent: AgentView, slot: LoadSlot): boolean {
  if (agent.usable || !agent.status?.weightsVersion) return false;
  return !hasVersion(rollout, agent, slot.version);
}

export function createRolloutController(options: RolloutOptions): RolloutController {
  const { clock, log, lease, store, replica, directory } = options;
  const source = createCancellationSource();
  let latest: OrdersState | undefined;
  let lastLoadAt = -Infinity;

  const participants = (rollout: Rollout): readonly AgentView[] =>
    directory.all().filter(({ status }) => {
      if (!status?.models.includes(rollout.model)) return false;
      return !rollout.targets || rollout.targets.includes(status.target);
    });

  const sendOrder = async (
    agent: AgentView,
    slot: LoadSlot,
    rollout: Rollout,
    fencingNumber: number,
  ) => {
    const order = {
      fencingNumber: BigInt(fencingNumber),
      orderId: slot.orderId,
      action: rollout.adapter ? 'load-adapter' : 'load-weights',
      model: rollout.model,
      version: slot.version,
      adapter: rollout.adapter,
    };
    return agent.connection.client.order(order, { timeoutMs: orderTimeoutMs });
  };

  /**
   * Sends the order of each slot again, which starts the load or returns its outcome. Frees the
   * slots of finished loads, of unreachable targets and of removed rollouts.
   */
  const collectOutcomes = async (
    state: OrdersState,
    fencingNumber: number,
  ): Promise<OrdersState> => {
    let { slots, rollouts } = state;
    for (const slot of state.slots) {
      const rollout = replica.get('rollout', slot.rollout);
      const progress = rollouts[slot.rollout];
      const agent = directory.find(slot.target);
      const isUnreachable = !agent || (!agent.usable && agent.ageMs > unreachableAfterMs);
      if (!rollout || !progress || isUnreachable) {
        slots = slots.filter((other) => other !== slot);
        continue;
      }
      const reply = await sendOrder(agent, slot, rollout, fencingNumber).catch(() => undefined);
      if (!reply || reply.outcome === 'running' || reply.outcome === 'not-ready') continue;
      if (reply.outcome === 'done' && isStatusOutdated(rollout, agent, slot)) continue;
      slots = slots.filter((other) => other !== slot);
      if (reply.outcome !== 'failed') continue;
      const message = `target ${slot.target} failed to load ${slot.version}: ${reply.message}`;
      log.warn({ rollout: slot.rollout, target: slot.target, message }, 'load failed');
      const phase = progress.phase === 'running' ? 'rolling-back' : progress.phase;
      rollouts = { ...rollouts, [slot.rollout]: { ...progress, phase, message } };
    }
    return { ...state, slots, rollouts };
  };

  const progressOf = (state: OrdersState, rollout: Rollout): RolloutState => {
    const existing = state.rollouts[rollout.name];
    if (existing?.version === rollout.version) return existing;
    const { name, version } = rollout;
    return { name, version, phase: 'running', previous: {}, message: '' };
  };

  const desiredVersion = (progress: RolloutState, agent: AgentView): string => {
    if (progress.phase === 'running') return progress.version;
    return progress.previous[targetOf(agent)] ?? agent.status?.weightsVersion ?? '';
  };

  /** Finds an outdated target that can load while enough others serve. */
  const nextTarget = (
    state: OrdersState,
    rollout: Rollout,
    progress: RolloutState,
  ): AgentView | undefined => {
    const loading = new Set(state.slots.map(({ target }) => target));
    const agents = participants(rollout);
    const serving = agents.filter((agent) => agent.usable && !loading.has(targetOf(agent)));
    for (const agent of agents) {
      if (loading.has(targetOf(agent))) continue;
      if (hasVersion(rollout, agent, desiredVersion(progress, agent))) continue;
      const remaining = agent.usable ? serving.length - 1 : serving.length;
      if (remaining >= Math.min(rollout.minServing, agents.length - 1)) return agent;
    }
    return undefined;
  };

  const finishedPhase = (progress: RolloutState): RolloutState['phase'] =>
    progress.phase === 'rolling-back' ? 'rolled-back' : 'completed';

  const advance = (state: OrdersState, rollout: Rollout): OrdersState => {
    const progress = progressOf(state, rollout);
    const isActive = progress.phase === 'running' || progress.phase === 'rolling-back';
    const withProgress = (next: RolloutState): OrdersState => ({
      ...state,
      rollouts: { ...state.rollouts, [rollout.name]: next },
    });
    if (!isActive) return state;
    const agents = participants(rollout);
    const outdated = agents.filter(
      (agent) => !hasVersion(rollout, agent, desiredVersion(progress, agent)),
    );
    const ownSlots = state.slots.filter((slot) => slot.rollout === rollout.name);
    if (agents.length > 0 && outdated.length === 0 && ownSlots.length === 0) {
      const phase = finishedPhase(progress);
      log.info({ rollout: rollout.name, phase }, 'rollout finished');
      return withProgress({ ...progress, phase });
    }
    const mayLoad =
      state.slots.length < maxConcurrentLoads && clock.now() - lastLoadAt >= loadIntervalMs;
    const agent = mayLoad ? nextTarget(state, rollout, progress) : undefined;
    if (!agent) return withProgress(progress);
    lastLoadAt = clock.now();
    const target = targetOf(agent);
    const slot: LoadSlot = {
      rollout: rollout.name,
      target,
      orderId: randomUUID(),
      version: desiredVersion(progress, agent),
    };
    const previous = { [target]: agent.status?.weightsVersion ?? '', ...progress.previous };
    return { ...withProgress({ ...progress, previous }), slots: [...state.slots, slot] };
  };

  /**
   * Collects outcomes, then starts loads of weights or adapters; a new slot is written before its
   * order is sent.
   */
  const step = async (fencingNumber: number, token: CancellationToken): Promise<void> => {
    const { state: before, version } = await store.read(token);
    latest = before;
    if (before.fencingNumber > fencingNumber) return;
    let state = await collectOutcomes({ ...before, fencingNumber }, fencingNumber);
    for (const rollout of replica.list('rollout')) state = advance(state, rollout);
    if (lease.current() !== fencingNumber) return;
    const changed = JSON.stringify(state) !== JSON.stringify(before);
    if (changed && !(await store.write(state, version, token))) return;
    latest = state;
    for (const slot of state.slots) {
      if (before.slots.some(({ orderId }) => orderId === slot.orderId)) continue;
      const rollout = replica.get('rollout', slot.rollout);
      const agent = directory.find(slot.target);
      if (rollout && agent)
        await sendOrder(agent, slot, rollout, fencingNumber).catch(() => undefined);
    }
  };

  const run = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      const fencingNumber = lease.current();
      try {
        if (fencingNumber !== undefined) await step(fencingNumber, token);
      } catch (err) {
        log.debug({ err: errMessage(err) }, 'rollout step failed; retrying at the next interval');
      }
      await sleep(clock, stepIntervalMs, token);
    }
  };

  run(source.token).catch(() => undefined);

  return {
    get state() {
      return latest;
    },
    dispose: () => source.cancel('rollouts closed'),
  };
}
