import { type Clock } from '../base/clock.js';
import { type DelayMeter } from '../base/eventloop.js';
import { type Logger } from '../base/logging.js';
import { type HintSection } from '../gateway/peers.js';
import { type Target, type TargetDirectory } from '../gateway/targets.js';
import {
  type ConcurrencyLimit,
  createConcurrencyLimit,
  type LimitReason,
} from './concurrencylimit.js';
import { createDurationFactor, type DurationFactor } from './durationfactor.js';
import { createGatewayOffsets } from './gatewayoffsets.js';
import { type ExpectedWork, trackWork, type TrackedWork } from './trackedwork.js';
import { createSampleExchange, incarnationTag, type SharedSample } from './samplehints.js';

/** State of one target, for metrics and explanations. */
export interface TargetSpeedReport {
  readonly target: string;
  readonly service: string;
  readonly factor: number;
  readonly limit: number;
  readonly reason: LimitReason | 'faster' | 'slower';
  /** Time since the last sample in milliseconds; Infinity when there was none. */
  readonly sampleAgeMs: number;
}

/**
 * Learns for each target a duration factor relative to its service and the number of requests that it
 * handles well, from the samples of all gateways; see docs/design/learned-speeds.md.
 */
export interface TargetSpeedModel {
  /** Duration of work relative to the median target of the service; 1 is usual. */
  factorOf(target: Target): number;
  /** In-flight requests that the target handles well, at most its slots. */
  limitOf(target: Target): number;
  /** Momentary slowdown that the target reported to any gateway; undefined when none is recent. */
  slownessOf(target: Target): number | undefined;
  /** Observes one request; undefined when speeds are not learned. */
  start(target: Target, work: ExpectedWork): TrackedWork | undefined;
  /** Section of the hints that shares the samples. */
  readonly section: HintSection;
  readonly droppedSamples: number;
  reports(): readonly TargetSpeedReport[];
}

/** Model that observes all requests. */
export interface LearnedSpeedModel extends TargetSpeedModel {
  start(target: Target, work: ExpectedWork): TrackedWork;
}

export interface TargetSpeedOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly directory: Pick<TargetDirectory, 'find'>;
  /** Delay of this process's own event loop. */
  readonly delay: Pick<DelayMeter, 'recentMs'>;
}

/** Bounds of the factor: deployments mix generations of hardware that differ by at most this. */
const factorRange = { min: 0.25, max: 8 };

/** Bound of one sample's logarithm, a factor of about 12: more is a hang, not a speed. */
const maxSampleLog = 2.5;

/** A reported slowdown is ignored once it is older than this; it changes within a second. */
const slownessMaxAgeMs = 300;

/** Estimates are read again after this, in milliseconds; a placement reads those of all targets. */
const refreshMs = 50;

/** Delay of the event loop, in relation to the observed time, at which a sample counts half. */
const halfWeightDelayRatio = 0.25;

/** Samples of less weight are left out. */
const minWeight = 0.05;

/** A report that changed while a request ran tells little of the time before; weight of the sample. */
const changedSlownessWeight = 0.3;

/** Change of the factor, as a ratio, or of the limit that is logged. */
const loggedRatio = 1.4;

/** Shortest time between two log lines of one target, in milliseconds. */
const logIntervalMs = 5_000;

interface TargetRecord {
  readonly target: Target;
  readonly duration: DurationFactor;
  readonly limit: ConcurrencyLimit;
  log: number;
  factor: number;
  sampledAt: number;
  slowness: number;
  slownessAt: number;
  reason: TargetSpeedReport['reason'];
  loggedAt: number;
  loggedFactor: number;
  loggedLimit: number;
}

const clamp = (value: number, min: number, max: number): number =>
  Math.min(max, Math.max(min, value));

const ratioOf = (a: number, b: number): number => Math.max(a / b, b / a);

export function createTargetSpeedModel(options: TargetSpeedOptions): LearnedSpeedModel {
  const { clock, log, directory, delay } = options;
  const records = new Map<Target, TargetRecord>();
  const offsets = createGatewayOffsets();
  /** Logarithm of the factor of the median target, by service. */
  let usualLogs = new Map<string, number>();
  let refreshedAt = -Infinity;

  const recordOf = (target: Target): TargetRecord => {
    const known = records.get(target);
    if (known) return known;
    const { slots } = target.registration;
    const record: TargetRecord = {
      target,
      duration: createDurationFactor(),
      limit: createConcurrencyLimit(slots),
      log: 0,
      factor: 1,
      sampledAt: -Infinity,
      slowness: 1,
      slownessAt: -Infinity,
      reason: 'initial',
      loggedAt: -Infinity,
      loggedFactor: 1,
      loggedLimit: slots,
    };
    records.set(target, record);
    return record;
  };

  /** Logs a clear change of a target, at most once per interval. */
  const logChange = (record: TargetRecord, now: number): void => {
    const { target, factor, loggedFactor, loggedLimit } = record;
    const limit = record.limit.read(now);
    const isFactorChanged = ratioOf(factor, loggedFactor) > loggedRatio;
    const isLimitChanged = ratioOf(limit, loggedLimit) > loggedRatio;
    if (isFactorChanged) record.reason = factor > loggedFactor ? 'slower' : 'faster';
    else if (isLimitChanged) record.reason = record.limit.reason;
    if (!isFactorChanged && !isLimitChanged) return;
    if (now - record.loggedAt < logIntervalMs) return;
    Object.assign(record, { loggedAt: now, loggedFactor: factor, loggedLimit: limit });
    const { service } = target.registration;
    const values = { factor: Number(factor.toFixed(2)), limit: Number(limit.toFixed(1)) };
    const sampleAgeMs = Math.round(now - record.sampledAt);
    log.info(
      { target: target.id, service, ...values, reason: record.reason, sampleAgeMs },
      'learned speed of the target changed',
    );
  };

  /**
   * Reads all estimates and normalises them by the lower median of each service, so that a slow
   * gateway or a loaded site makes no target slower than the others.
   */
  const refresh = (): void => {
    const now = clock.now();
    if (now - refreshedAt < refreshMs) return;
    refreshedAt = now;
    const logs = new Map<string, number[]>();
    for (const [target, record] of records) {
      if (target.isRemoved) {
        records.delete(target);
        continue;
      }
      record.log = record.duration.read(now);
      if (record.duration.evidence === 0) continue;
      const list = logs.get(target.registration.service) ?? [];
      list.push(record.log);
      logs.set(target.registration.service, list);
    }
    usualLogs = new Map();
    for (const [service, list] of logs) {
      list.sort((a, b) => a - b);
      usualLogs.set(service, list[Math.floor((list.length - 1) / 2)] ?? 0);
    }
    for (const [{ registration }, record] of records) {
      const usual = usualLogs.get(registration.service) ?? 0;
      const relative = record.duration.evidence === 0 ? 0 : record.log - usual;
      record.factor = clamp(Math.exp(relative), factorRange.min, factorRange.max);
      logChange(record, now);
    }
  };

  const apply = (
    target: Target,
    { logRatio, concurrency, weight, slowness }: SharedSample,
  ): void => {
    const now = clock.now();
    refresh();
    const record = recordOf(target);
    record.slowness = slowness;
    record.slownessAt = now;
    if (weight < minWeight) return;
    record.duration.observe({ logRatio, weight }, now);
    record.sampledAt = now;
    const usual = usualLogs.get(target.registration.service) ?? 0;
    if (weight > 0.5) record.limit.observe({ logRatio: logRatio - usual, concurrency }, now);
  };

  const exchange = createSampleExchange((sample) => {
    const target = directory.find(sample.targetId);
    if (target && incarnationTag(target.registration.startedAt) === sample.tag)
      apply(target, sample);
  });

  /** Records a duration of this gateway's own and publishes it. */
  const observe = (
    target: Target,
    { expectedMs, concurrency, weight, slowness: before }: ExpectedWork,
    durationMs: number,
    reported: number | undefined,
  ): void => {
    const slowness = Math.max(1, reported ?? before ?? 1);
    const isChanged = before !== undefined && ratioOf(Math.max(1, before), slowness) > 1.2;
    const delayRatio = delay.recentMs / Math.max(1, durationMs);
    const ownWeight =
      (weight * (isChanged ? changedSlownessWeight : 1)) /
      (1 + (delayRatio / halfWeightDelayRatio) ** 2);
    const isUsed = ownWeight >= minWeight && expectedMs > 0 && durationMs > 0;
    const { service, startedAt } = target.registration;
    let logRatio = 0;
    if (isUsed) {
      const rawLog = Math.log(durationMs / (slowness * expectedMs));
      const targetLog = records.get(target)?.log ?? 0;
      const offset = offsets.observe(service, rawLog - targetLog, ownWeight);
      logRatio = clamp(rawLog - offset, -maxSampleLog, maxSampleLog);
    }
    const sample = {
      targetId: target.id,
      tag: incarnationTag(startedAt),
      logRatio,
      concurrency,
      weight: isUsed ? ownWeight : 0,
      slowness,
    };
    apply(target, sample);
    exchange.publish(sample);
  };

  return {
    section: exchange,
    get droppedSamples() {
      return exchange.dropped;
    },
    factorOf(target) {
      refresh();
      return records.get(target)?.factor ?? 1;
    },
    limitOf(target) {
      const { slots } = target.registration;
      return Math.min(slots, records.get(target)?.limit.read(clock.now()) ?? slots);
    },
    slownessOf(target) {
      const record = records.get(target);
      if (!record || clock.now() - record.slownessAt >= slownessMaxAgeMs) return undefined;
      return record.slowness;
    },
    start(target, work) {
      return trackWork(clock, work, {
        durationFactor: () => records.get(target)?.factor ?? 1,
        isStopped: () => target.isRemoved,
        observe: (...sample) => observe(target, ...sample),
      });
    },
    reports() {
      refresh();
      const now = clock.now();
      return [...records.values()].map(({ target, factor, limit, reason, sampledAt }) => ({
        target: target.id,
        service: target.registration.service,
        factor,
        limit: limit.read(now),
        reason,
        sampleAgeMs: now - sampledAt,
      }));
    },
  };
}
