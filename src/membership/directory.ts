import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type AgentStatus } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentClient, type PeerConnection, type PeerConnector } from '../ports/agents.js';
import { type InstancesPort, type ListedInstance } from '../ports/instances.js';
import { selectSubset } from './subset.js';

/** What an entry knows of one agent. */
export interface AgentView {
  readonly address: string;
  readonly connection: PeerConnection<AgentClient>;
  /** Newest status, or undefined before the first one. */
  readonly status: AgentStatus | undefined;
  /** Age of the status in milliseconds. */
  readonly ageMs: number;
  /** False when the agent is silent, leaving, or its target is down. */
  readonly usable: boolean;
  /** Requests that this process has in flight at the agent. */
  readonly inflight: number;
}

/** Known agents. What this process observes takes precedence over the platform's list. */
export interface AgentDirectory extends Disposable {
  /** Agents that may get new work. */
  usable(): readonly AgentView[];
  all(): readonly AgentView[];
  find(target: string): AgentView | undefined;
  /** Records that a request to the agent starts; the result must be disposed at its end. */
  trackRequest(address: string): Disposable;
  /** Marks an agent as failed until its next status. */
  reportFailure(address: string, reason: string): void;
}

export interface DirectoryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly connector: PeerConnector;
  readonly instances: InstancesPort | undefined;
  /** Addresses from settings, used before and beside the platform's list. */
  readonly staticAgents: readonly string[];
  readonly self: { readonly instance: string; readonly dataCentre: string };
}

/** Mean time between reads of the platform's list; with jitter at most 2.4 s. */
const listIntervalMs = 1_600;

/** A status older than this many of its own intervals marks the agent as silent. */
const silentIntervals = 4;

const minSilentMs = 1_500;

const reconnectBaseMs = 50;

const reconnectMaxMs = 1_000;

interface Entry {
  readonly address: string;
  readonly connection: PeerConnection<AgentClient>;
  readonly stop: () => void;
  status: AgentStatus | undefined;
  receivedAt: number;
  failed: boolean;
  listedLeaving: boolean;
  inflight: number;
}

export function createAgentDirectory(options: DirectoryOptions): AgentDirectory {
  const { clock, random, log, connector, instances, staticAgents, self } = options;
  const source = createCancellationSource();
  const entries = new Map<string, Entry>();

  const watchAgent = async (entry: Entry, token: CancellationToken): Promise<void> => {
    let attempt = 0;
    while (!token.isCancellationRequested) {
      try {
        const request = { subscriber: self.instance, dataCentre: self.dataCentre };
        const stream = entry.connection.client.watch(request, { signal: token.signal });
        for await (const status of stream) {
          attempt = 0;
          entry.status = status;
          entry.receivedAt = clock.now();
          entry.failed = false;
        }
      } catch (err) {
        log.debug({ address: entry.address, err: errMessage(err) }, 'status stream of agent ended');
      }
      if (token.isCancellationRequested) return;
      entry.failed = true;
      await sleep(clock, fullJitter(random, reconnectBaseMs, reconnectMaxMs, attempt), token);
      attempt += 1;
    }
  };

  const addAgent = (address: string): Entry => {
    const known = entries.get(address);
    if (known) return known;
    const watchSource = createCancellationSource(source.token);
    const entry: Entry = {
      address,
      connection: connector.agent(address),
      stop: () => watchSource.cancel('agent removed'),
      status: undefined,
      receivedAt: 0,
      failed: false,
      listedLeaving: false,
      inflight: 0,
    };
    entries.set(address, entry);
    watchAgent(entry, watchSource.token).catch(() => undefined);
    return entry;
  };

  const silentAfterMs = (status: AgentStatus): number =>
    Math.max(minSilentMs, silentIntervals * status.intervalMs);

  const isUsable = (entry: Entry): boolean => {
    const { status } = entry;
    if (!status || entry.failed || entry.listedLeaving) return false;
    if (status.leaving || status.targetDown) return false;
    return clock.now() - entry.receivedAt <= silentAfterMs(status);
  };

  const toView = (entry: Entry): AgentView => ({
    address: entry.address,
    connection: entry.connection,
    status: entry.status,
    ageMs: clock.now() - entry.receivedAt,
    usable: isUsable(entry),
    inflight: entry.inflight,
  });

  const removeAgent = (entry: Entry): void => {
    entries.delete(entry.address);
    entry.stop();
    entry.connection.dispose();
  };

  const applyList = (listed: readonly ListedInstance[]): void => {
    const selected = selectSubset(listed, self);
    for (const item of selected) addAgent(item.address).listedLeaving = item.leaving;
    const kept = new Set([...staticAgents, ...selected.map(({ address }) => address)]);
    for (const entry of entries.values()) {
      // An agent that still answers is kept, since the list lags behind what this process sees.
      if (kept.has(entry.address) || isUsable(entry) || entry.inflight > 0) continue;
      removeAgent(entry);
    }
  };

  const readList = async (token: CancellationToken): Promise<void> => {
    if (!instances) return;
    while (!token.isCancellationRequested) {
      try {
        const listed = await instances.list(token);
        applyList(listed.filter(({ role }) => role === 'agent'));
      } catch (err) {
        log.warn({ err: errMessage(err) }, 'instance list is not available; keeping known agents');
      }
      await sleep(clock, listIntervalMs * (0.5 + random.next()), token);
    }
  };

  for (const address of staticAgents) addAgent(address);
  readList(source.token).catch(() => undefined);

  return {
    usable: () => [...entries.values()].filter(isUsable).map(toView),
    all: () => [...entries.values()].map(toView),
    find(target) {
      for (const entry of entries.values()) {
        if (entry.status?.target === target) return toView(entry);
      }
      return undefined;
    },
    trackRequest(address) {
      const entry = entries.get(address);
      if (entry) entry.inflight += 1;
      let done = false;
      return {
        dispose() {
          if (done || !entry) return;
          done = true;
          entry.inflight -= 1;
        },
      };
    },
    reportFailure(address, reason) {
      const entry = entries.get(address);
      if (!entry) return;
      entry.failed = true;
      log.warn({ address, reason }, 'agent failed; waiting for its next status');
    },
    dispose() {
      source.cancel('directory closed');
      for (const entry of entries.values()) entry.connection.dispose();
      entries.clear();
    },
  };
}
