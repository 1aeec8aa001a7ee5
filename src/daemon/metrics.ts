import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import { type ConfigurationReplica } from '../configuration/replica.js';
import { type AgentDirectory } from '../membership/directory.js';

/** Result of one caller's request. */
export interface RequestResult {
  /** Path of the route, or an empty string when none matched. */
  readonly path: string;
  readonly team: string;
  /** `ok`, `cancelled`, or the code of the refusal. */
  readonly outcome: string;
  readonly durationMs: number;
}

/** Recorders of an entry's metrics. */
export interface EntryMetrics {
  recordRequest(result: RequestResult): void;
  /** Records the time from the arrival of a completion request to its first token. */
  recordFirstToken(model: string, durationMs: number): void;
  /** Records the prompt tokens of a finished completion, and how many of them were cached. */
  recordPromptTokens(model: string, total: number, cached: number): void;
}

const secondsBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.6, 2.5, 5, 10, 30, 60, 300];

/** Registers the metrics of an entry. */
export function createEntryMetrics(
  registry: Registry,
  directory: AgentDirectory,
  replica: ConfigurationReplica,
): EntryMetrics {
  const registers = [registry];
  const requests = new Counter({
    name: 'cicadatide_requests_total',
    help: 'Requests of callers by path, team and outcome.',
    labelNames: ['path', 'team', 'outcome'],
    registers,
  });
  const duration = new Histogram({
    name: 'cicadatide_request_duration_seconds',
    help: 'Time from arrival to the end of the answer.',
    labelNames: ['path'],
    buckets: secondsBuckets,
    registers,
  });
  const firstToken = new Histogram({
    name: 'cicadatide_first_token_seconds',
    help: 'Time from arrival to the first token.',
    labelNames: ['model'],
    buckets: secondsBuckets,
    registers,
  });
  const promptTokens = new Counter({
    name: 'cicadatide_prompt_tokens_total',
    help: 'Prompt tokens of finished completions by source.',
    labelNames: ['model', 'source'],
    registers,
  });
  const agents = new Gauge({
    name: 'cicadatide_agents',
    help: 'Known agents by state.',
    labelNames: ['state'],
    registers,
    collect() {
      const all = directory.all();
      const usableCount = all.filter((agent) => agent.usable).length;
      agents.set({ state: 'usable' }, usableCount);
      agents.set({ state: 'unusable' }, all.length - usableCount);
    },
  });
  registerRevisionGauge(registry, replica);
  return {
    recordRequest({ path, team, outcome, durationMs }) {
      requests.inc({ path, team, outcome });
      duration.observe({ path }, durationMs / 1_000);
    },
    recordFirstToken: (model, durationMs) => firstToken.observe({ model }, durationMs / 1_000),
    recordPromptTokens(model, total, cached) {
      promptTokens.inc({ model, source: 'cache' }, cached);
      promptTokens.inc({ model, source: 'computed' }, Math.max(0, total - cached));
    },
  };
}

/** Load of an agent's target. */
export interface AgentTargetLoad {
  readonly running: number;
  readonly places: number;
  readonly queueMs: number;
}

/** Registers the metrics of an agent. */
export function registerAgentMetrics(
  registry: Registry,
  replica: ConfigurationReplica,
  load: () => AgentTargetLoad,
): void {
  const registers = [registry];
  const gauge = (name: string, help: string, read: () => number): void => {
    const metric: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => metric.set(read()),
    });
  };
  gauge('cicadatide_target_running', 'Requests running at the target.', () => load().running);
  gauge('cicadatide_target_places', 'Requests that the target runs at once.', () => load().places);
  gauge(
    'cicadatide_target_queue_seconds',
    'Expected wait of a new request.',
    () => load().queueMs / 1_000,
  );
  registerRevisionGauge(registry, replica);
}

function registerRevisionGauge(registry: Registry, replica: ConfigurationReplica): void {
  const revision: Gauge = new Gauge({
    name: 'cicadatide_configuration_revision',
    help: 'Configuration revision in force in this process.',
    registers: [registry],
    collect: () => revision.set(replica.revision),
  });
}
