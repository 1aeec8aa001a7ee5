import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import { type ConnectionEvent } from '../gateway/connectionpool.js';
import { type HeldByCallers } from '../callerlimits/connection.js';
import { type CallResult } from '../gateway/calls.js';
import { type RepeatKind } from '../gateway/retrybudget.js';
import { type SpeedModel } from '../gateway/speeds.js';
import { type TargetDirectory } from '../gateway/targets.js';
import { type TargetSpeedModel, type TargetSpeedReport } from '../targetspeeds/targetspeeds.js';
import { type RateLimit } from '../ports/site.js';
import { type RateOutcome } from '../teamrates/teamrates.js';

/** One finished request of a caller. */
export interface GatewayResult extends CallResult {
  readonly route: string;
  readonly durationMs: number;
}

/** Values of a gateway that are read when the metrics are collected. */
export interface GatewayGauges {
  readonly directory: TargetDirectory;
  readonly speeds: Pick<SpeedModel, 'services'>;
  readonly targetSpeeds: Pick<TargetSpeedModel, 'reports' | 'droppedSamples'>;
  configurationVersion(): number;
  configurationAgeMs(): number;
  quarantineSize(): number;
  limitedTargets(): number;
  /** Share of the allowance in use by team, for teams with a limit. */
  teamUsedShares(): ReadonlyMap<string, number>;
  droppedLogLines(): number;
  heldResponseBytes(): number;
  heldBodyBytes(): number;
  /** What callers make the process hold; undefined before their listener exists. */
  callers(): HeldByCallers | undefined;
  droppedHintItems(): number;
  idleConnections(): number;
  /** Memory of each engine whose memory is limited. */
  engineMemory(): Iterable<EngineMemorySample>;
}

/** Memory of one engine in tokens. */
export interface EngineMemorySample {
  readonly target: string;
  readonly heldTokens: number;
  readonly memoryTokens: number;
}

/** Upper bounds in seconds, around objectives of 0.2 to 0.8 s and timeouts of 0.8 to 12 s. */
const secondsBuckets = [0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 4, 12];

/** Recorders of what happens at a gateway. */
export interface GatewayMetrics {
  recordResult(result: GatewayResult): void;
  /** Records the decision on sending a request to a target again. */
  recordRepeat(service: string, kind: RepeatKind, isAllowed: boolean): void;
  recordCrash(service: string): void;
  /** Records the cost of a request of a team with a limit. */
  recordTeamCost(team: string, unit: RateLimit['unit'], outcome: RateOutcome, cost: number): void;
  /** Records that a stream was refused because engines had no room for it. */
  recordRefusal(route: string, reason: string): void;
  recordMissedChange(table: string): void;
  recordIgnoredRow(table: string): void;
  recordOversizedResponse(call: string): void;
  recordConnection(event: ConnectionEvent): void;
  /** Records that a connection of a caller was closed, or not read on, at a limit. */
  recordClosedConnection(reason: string): void;
}

/** Registers the metrics of a gateway. */
export function createGatewayMetrics(registry: Registry, gauges: GatewayGauges): GatewayMetrics {
  const registers = [registry];
  const requests = new Counter({
    name: 'cicadatide_requests_total',
    help: 'Requests of callers by route and outcome.',
    labelNames: ['route', 'outcome'],
    registers,
  });
  const attempts = new Counter({
    name: 'cicadatide_attempts_total',
    help: 'Attempts at targets by route.',
    labelNames: ['route'],
    registers,
  });
  const repeats = new Counter({
    name: 'cicadatide_repeats_total',
    help: 'Attempts beyond the first of a request, by service and kind.',
    labelNames: ['service', 'kind'],
    registers,
  });
  const refusedRepeats = new Counter({
    name: 'cicadatide_repeats_refused_total',
    help: 'Further attempts that the retry budget refused, by service and kind.',
    labelNames: ['service', 'kind'],
    registers,
  });
  const firstByte = new Histogram({
    name: 'cicadatide_first_byte_seconds',
    help: 'Time from arrival to the first byte of the answer.',
    labelNames: ['route'],
    buckets: secondsBuckets,
    registers,
  });
  const duration = new Histogram({
    name: 'cicadatide_request_duration_seconds',
    help: 'Time from arrival to the end of the answer.',
    labelNames: ['route'],
    buckets: secondsBuckets,
    registers,
  });
  const crashes = new Counter({
    name: 'cicadatide_target_crashes_total',
    help: 'Crashes of targets that took requests of this gateway along, by service.',
    labelNames: ['service'],
    registers,
  });
  const teamCost = new Counter({
    name: 'cicadatide_team_cost_total',
    help: 'Cost of requests of teams with a rate limit, by team, unit and outcome.',
    labelNames: ['team', 'unit', 'outcome'],
    registers,
  });
  const refusals = new Counter({
    name: 'cicadatide_refused_streams_total',
    help: 'Streams that were refused because engines had no room, by route and reason.',
    labelNames: ['route', 'reason'],
    registers,
  });
  const missedChanges = new Counter({
    name: 'cicadatide_missed_changes_total',
    help: 'Changes of a table that the feed of the store has left out.',
    labelNames: ['table'],
    registers,
  });
  const ignoredRows = new Counter({
    name: 'cicadatide_ignored_rows_total',
    help: 'Rows of a table that could not be decoded.',
    labelNames: ['table'],
    registers,
  });
  const oversizedResponses = new Counter({
    name: 'cicadatide_oversized_responses_total',
    help: 'Responses to calls of the gateway that were given up because they exceed a limit.',
    labelNames: ['call'],
    registers,
  });
  const targetConnections = new Counter({
    name: 'cicadatide_target_connections_total',
    help: 'Connections to targets and KV stores that were opened, reused, lost on reuse or probed.',
    labelNames: ['event'],
    registers,
  });
  const closedConnections = new Counter({
    name: 'cicadatide_caller_connections_closed_total',
    help: 'Connections of callers that were closed, or not read on, by the limit that they met.',
    labelNames: ['reason'],
    registers,
  });
  const gauge = (name: string, help: string, read: () => number): void => {
    const metric: Gauge = new Gauge({ name, help, registers, collect: () => metric.set(read()) });
  };
  gauge('cicadatide_targets', 'Targets listed.', () => gauges.directory.all.length);
  gauge(
    'cicadatide_configuration_version',
    'Version of the configuration in force.',
    gauges.configurationVersion,
  );
  gauge(
    'cicadatide_configuration_age_seconds',
    'Time since the store confirmed the configuration.',
    () => gauges.configurationAgeMs() / 1_000,
  );
  gauge(
    'cicadatide_quarantined_prompts',
    'Combinations of prompt parts, and contents of requests, that are not sent because targets crashed under them.',
    gauges.quarantineSize,
  );
  gauge(
    'cicadatide_limited_targets',
    'Targets that name a limit of requests a second.',
    gauges.limitedTargets,
  );
  gauge(
    'cicadatide_held_response_bytes',
    'Memory that responses hold beyond the 16 KiB that each may use.',
    gauges.heldResponseBytes,
  );
  gauge(
    'cicadatide_held_body_bytes',
    'Memory that the bodies of open requests hold beyond the 16 KiB that each may use.',
    gauges.heldBodyBytes,
  );
  gauge(
    'cicadatide_caller_connections',
    'Open connections of callers.',
    () => gauges.callers()?.size ?? 0,
  );
  gauge(
    'cicadatide_caller_waiting_requests',
    'Requests that wait for an earlier one of their connection.',
    () => gauges.callers()?.waitingRequests ?? 0,
  );
  gauge(
    'cicadatide_held_head_bytes',
    'Memory of incomplete request heads and of bytes that were not parsed.',
    () => gauges.callers()?.heldBytes ?? 0,
  );
  gauge(
    'cicadatide_unread_response_bytes',
    'Bytes of complete responses that callers have not read.',
    () => gauges.callers()?.unreadBytes ?? 0,
  );
  gauge(
    'cicadatide_hint_items_dropped',
    'Cache uses and weights changes that were not sent to peers because too many waited.',
    gauges.droppedHintItems,
  );
  gauge('cicadatide_idle_connections', 'Idle connections to targets.', gauges.idleConnections);
  gauge('cicadatide_log_lines_dropped', 'Log lines dropped.', gauges.droppedLogLines);
  const heldTokens: Gauge<'target'> = new Gauge({
    name: 'cicadatide_engine_held_tokens',
    help: 'Tokens that requests of all gateways hold in the memory of an engine, by the model.',
    labelNames: ['target'],
    registers,
    collect() {
      // Engines that are no longer listed leave the metric.
      heldTokens.reset();
      for (const sample of gauges.engineMemory())
        heldTokens.set({ target: sample.target }, sample.heldTokens);
    },
  });
  const memoryTokens: Gauge<'target'> = new Gauge({
    name: 'cicadatide_engine_memory_tokens',
    help: 'Memory of an engine by the configuration.',
    labelNames: ['target'],
    registers,
    collect() {
      memoryTokens.reset();
      for (const sample of gauges.engineMemory())
        memoryTokens.set({ target: sample.target }, sample.memoryTokens);
    },
  });
  const teamUsedShare: Gauge<'team'> = new Gauge({
    name: 'cicadatide_team_used_share',
    help: 'Share of the allowance of a team in use at all gateways, as this one estimates it.',
    labelNames: ['team'],
    registers,
    collect() {
      teamUsedShare.reset();
      for (const [team, share] of gauges.teamUsedShares()) teamUsedShare.set({ team }, share);
    },
  });
  const prefillSpeed: Gauge<'service'> = new Gauge({
    name: 'cicadatide_prefill_tokens_per_second',
    help: 'Learned speed at which an engine of a service prefills prompts.',
    labelNames: ['service'],
    registers,
    collect() {
      for (const [service, { prefillTokensPerMs }] of gauges.speeds.services) {
        if (prefillTokensPerMs !== Infinity)
          prefillSpeed.set({ service }, prefillTokensPerMs * 1_000);
      }
    },
  });
  const baseTime: Gauge<'service'> = new Gauge({
    name: 'cicadatide_base_seconds',
    help: 'Learned time to the first byte of an idle target of a service, without prefill.',
    labelNames: ['service'],
    registers,
    collect() {
      for (const [service, { baseMs }] of gauges.speeds.services)
        baseTime.set({ service }, baseMs / 1_000);
    },
  });
  gauge(
    'cicadatide_speed_samples_dropped',
    'Samples of the speed of targets that were not sent to peers because too many waited.',
    () => gauges.targetSpeeds.droppedSamples,
  );
  const targetGauge = (
    name: string,
    help: string,
    read: (report: TargetSpeedReport) => number,
  ): void => {
    const metric: Gauge<'target' | 'service' | 'reason'> = new Gauge({
      name,
      help,
      labelNames: ['target', 'service', 'reason'],
      registers,
      collect() {
        metric.reset();
        for (const report of gauges.targetSpeeds.reports()) {
          const { target, service, reason } = report;
          metric.set({ target, service, reason }, read(report));
        }
      },
    });
  };
  targetGauge(
    'cicadatide_target_speed_factor',
    'Learned duration of work at a target relative to its service.',
    ({ factor }) => factor,
  );
  targetGauge(
    'cicadatide_target_concurrency_limit',
    'Learned number of requests that a target handles well at once.',
    ({ limit }) => limit,
  );
  return {
    recordResult({ route, outcome, attempts: count, firstByteMs, durationMs }) {
      requests.inc({ route, outcome });
      if (count > 0) attempts.inc({ route }, count);
      if (firstByteMs !== undefined) firstByte.observe({ route }, firstByteMs / 1_000);
      duration.observe({ route }, durationMs / 1_000);
    },
    recordRepeat: (service, kind, isAllowed) =>
      (isAllowed ? repeats : refusedRepeats).inc({ service, kind }),
    recordCrash: (service) => crashes.inc({ service }),
    recordTeamCost: (team, unit, outcome, cost) => teamCost.inc({ team, unit, outcome }, cost),
    recordRefusal: (route, reason) => refusals.inc({ route, reason }),
    recordMissedChange: (table) => missedChanges.inc({ table }),
    recordIgnoredRow: (table) => ignoredRows.inc({ table }),
    recordClosedConnection: (reason) => closedConnections.inc({ reason }),
    recordOversizedResponse: (call) => oversizedResponses.inc({ call }),
    recordConnection: (event) => targetConnections.inc({ event }),
  };
}
