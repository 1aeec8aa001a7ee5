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

/** State of one agent as seen by this process. */
export interface AgentView {
  readonly address: string;
  readonly connection: PeerConnection<AgentClient>;
  /** Newest status, or undefined before the first one. */
  readonly status: AgentStatus | undefined;
  /** Age of the status in milliseconds. */
  readonly ageMs: number;
  /** False when the agent failed, sends no status or is leaving, or when its target is down. */
  readonly usable: boolean;
  /** Requests that this process has in flight at the agent. */
  readonly inFlightRequests: number;
}

/**
 * Agents that this process connects to. Usable agents and those with requests in flight stay in the
 * directory when the platform's list no longer contains them, because the list lags.
 */
export interface AgentDirectory extends Disposable {
  /** Agents that may receive new requests. */
  usable(): readonly AgentView[];
  all(): readonly AgentView[];
  find(target: string): AgentView | undefined;
  /** Records the start of a request to the agent; dispose the result at the end of the request. */
  trackRequest(address: string): Disposable;
  /** Marks an agent as unusable until its next status. */
  reportFailure(address: string, reason: string): void;
}

export interface DirectoryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly connector: PeerConnector;
  readonly instances: InstancesPort | undefined;
  /** Addresses from the settings, used in addition to the platform's list. */
  readonly staticAgents: readonly string[];
  readonly self: { readonly instance: string; readonly dataCentre: string };
}

/** Mean interval between polls of the platform's list; with jitter at most 2.4 s. */
const listPollIntervalMs = 1_600;

/**
 * An agent is unusable if its last status is older than this many status intervals and older than
 * `minStatusTimeoutMs`.
 */
const statusTimeoutIntervals = 4;

const minStatusTimeoutMs = 1_500;

const reconnectBaseMs = 50;

const reconnectMaxMs = 1_000;

interface KnownAgent {
  readonly address: string;
  readonly connection: PeerConnection<AgentClient>;
  readonly stop: () => void;
  status: AgentStatus | undefined;
  statusReceivedAt: number;
  hasFailed: boolean;
  isListedAsLeaving: boolean;
  inFlightRequests: number;
}

export function createAgentDirectory(options: DirectoryOptions): AgentDirectory {
  const { clock, random, log, connector, instances, staticAgents, self } = options;
  const source = createCancellationSource();
  const agents = new Map<string, KnownAgent>();

  const watchAgent = async (agent: KnownAgent, token: CancellationToken): Promise<void> => {
    let attempt = 0;
    while (!token.isCancellationRequested) {
      try {
        const request = { subscriber: self.instance, dataCentre: self.dataCentre };
        const stream = agent.connection.client.watch(request, { signal: token.signal });
        for await (const status of stream) {
          attempt = 0;
          agent.status = status;
          agent.statusReceivedAt = clock.now();
          agent.hasFailed = false;
        }
      } catch (err) {
        log.debug({ address: agent.address, err: errMessage(err) }, 'status stream of agent ended');
      }
      if (token.isCancellationRequested) return;
      agent.hasFailed = true;
      await sleep(clock, fullJitter(random, reconnectBaseMs, reconnectMaxMs, attempt), token);
      attempt += 1;
    }
  };

  const addAgent = (address: string): KnownAgent => {
    const existing = agents.get(address);
    if (existing) return existing;
    const watchSource = createCancellationSource(source.token);
    const agent: KnownAgent = {
      address,
      connection: connector.agent(address),
      stop: () => watchSource.cancel('agent removed'),
      status: undefined,
      statusReceivedAt: 0,
      hasFailed: false,
      isListedAsLeaving: false,
      inFlightRequests: 0,
    };
    agents.set(address, agent);
    watchAgent(agent, watchSource.token).catch(() => undefined);
    return agent;
  };

  const statusTimeoutMs = (status: AgentStatus): number =>
    Math.max(minStatusTimeoutMs, statusTimeoutIntervals * status.intervalMs);

  const isUsable = (agent: KnownAgent): boolean => {
    const { status } = agent;
    if (!status || agent.hasFailed || agent.isListedAsLeaving) return false;
    if (status.leaving || status.targetDown) return false;
    return clock.now() - agent.statusReceivedAt <= statusTimeoutMs(status);
  };

  const toView = (agent: KnownAgent): AgentView => ({
    address: agent.address,
    connection: agent.connection,
    status: agent.status,
    ageMs: clock.now() - agent.statusReceivedAt,
    usable: isUsable(agent),
    inFlightRequests: agent.inFlightRequests,
  });

  const removeAgent = (agent: KnownAgent): void => {
    agents.delete(agent.address);
    agent.stop();
    agent.connection.dispose();
  };

  const applyInstanceList = (listed: readonly ListedInstance[]): void => {
    const selected = selectSubset(listed, self);
    for (const item of selected) addAgent(item.address).isListedAsLeaving = item.leaving;
    const keptAddresses = new Set([...staticAgents, ...selected.map(({ address }) => address)]);
    for (const agent of agents.values()) {
      // Usable agents are kept, since the list lags behind the statuses that this process receives.
      if (keptAddresses.has(agent.address) || isUsable(agent) || agent.inFlightRequests > 0)
        continue;
      removeAgent(agent);
    }
  };

  const pollInstanceList = async (token: CancellationToken): Promise<void> => {
    if (!instances) return;
    while (!token.isCancellationRequested) {
      try {
        const listed = await instances.list(token);
        applyInstanceList(listed.filter(({ role }) => role === 'agent'));
      } catch (err) {
        log.warn({ err: errMessage(err) }, 'instance list is not available; keeping known agents');
      }
      await sleep(clock, listPollIntervalMs * (0.5 + random.next()), token);
    }
  };

  for (const address of staticAgents) addAgent(address);
  pollInstanceList(source.token).catch(() => undefined);

  return {
    usable: () => [...agents.values()].filter(isUsable).map(toView),
    all: () => [...agents.values()].map(toView),
    find(target) {
      for (const agent of agents.values()) {
        if (agent.status?.target === target) return toView(agent);
      }
      return undefined;
    },
    trackRequest(address) {
      const agent = agents.get(address);
      if (agent) agent.inFlightRequests += 1;
      let isDisposed = false;
      return {
        dispose() {
          if (isDisposed || !agent) return;
          isDisposed = true;
          agent.inFlightRequests -= 1;
        },
      };
    },
    reportFailure(address, reason) {
      const agent = agents.get(address);
      if (!agent) return;
      agent.hasFailed = true;
      log.warn({ address, reason }, 'agent failed; waiting for its next status');
    },
    dispose() {
      source.cancel('directory closed');
      for (const agent of agents.values()) agent.connection.dispose();
      agents.clear();
    },
  };
}
