import { type Clock } from '../base/clock.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { createRatePermits, type RatePermits } from './ratepermits.js';
import { type Target, type TargetDirectory } from './targets.js';

/** Target, its limit in requests a second or -1 when it has ended, and the age of that in ms. */
export type LimitHint = readonly [targetId: string, limitPerSecond: number, ageMs: number];

/**
 * What targets in need ask for in their responses: a limit of requests a second from all gateways
 * together, of which each gateway uses an equal part without communication about single requests,
 * and pauses, which concern only the gateway that gets the response.
 */
export interface TargetLimits {
  /** Number of targets that have a limit. */
  readonly size: number;
  /**
   * Records the limit that a response names; undefined when it names none, and NaN, which changes
   * nothing, when it can't be read.
   */
  observe(target: Target, limitPerSecond: number | undefined): void;
  /** Records that a target which turned a request away wants none from this gateway for a time. */
  observePause(target: Target, pauseMs: number): void;
  /** Time until this gateway may send a request to the target, in milliseconds. */
  waitMs(target: Target): number;
  /** The same without a change of the permits, for explanations. */
  peekWaitMs(target: Target): number;
  /** Counts a request as sent; returns false when this gateway may not send one now. */
  tryTake(target: Target): boolean;
  /** Limits for the hints to the peers; undefined when there is nothing to report. */
  pack(): readonly LimitHint[] | undefined;
  merge(hints: readonly LimitHint[]): void;
}

export interface TargetLimitsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly directory: Pick<TargetDirectory, 'find'>;
  /** Gateways that share each limit, at least 1; undefined while that is not known. */
  gatewayCount(): number | undefined;
  /** Called when peers should learn of a limit. */
  requestHint(): void;
}

/** Fraction of a limit that is used; a target counts in windows that are not those of the gateways. */
const limitFraction = 0.8;

/**
 * Smallest rate of all gateways together, and rate of one that does not know how many they are. The
 * end of a limit is learned from responses only.
 */
const minRatePerSecond = 0.2;

/**
 * A limit ends with a response without it if the last mention is older than this: responses on
 * different connections may overtake each other.
 */
const mentionHoldMs = 2_000;

/** Longest pause that a target gets; a larger figure is taken for a fault. */
const maxPauseMs = 600_000;

/** Time for which a mention of a limit, and its end, are repeated in hints, which may get lost. */
const hintRepeatMs = 5_000;

const endedLimit = -1;

interface LimitRecord {
  /** Undefined when the limit has ended. */
  limitPerSecond: number | undefined;
  /** When a response last named the limit. */
  namedAt: number;
  endedAt: number;
  readonly permits: RatePermits;
}

export function createTargetLimits(options: TargetLimitsOptions): TargetLimits {
  const { clock, random, log, directory } = options;
  const records = new Map<Target, LimitRecord>();
  const pausedUntil = new WeakMap<Target, number>();

  const remainingPauseMs = (target: Target): number =>
    Math.max(0, (pausedUntil.get(target) ?? -Infinity) - clock.now());

  const ratePerSecond = (limitPerSecond: number): number => {
    const gateways = options.gatewayCount();
    if (gateways === undefined) return minRatePerSecond;
    return Math.max(minRatePerSecond, limitPerSecond * limitFraction) / gateways;
  };

  const recordName = (target: Target, limitPerSecond: number, namedAt: number): void => {
    const known = records.get(target);
    if (known && namedAt <= Math.max(known.namedAt, known.endedAt)) return;
    const permits = known?.permits ?? createRatePermits(clock, random);
    records.set(target, {
      limitPerSecond,
      namedAt,
      endedAt: -Infinity,
      permits,
    });
    if (known?.limitPerSecond === limitPerSecond) return;
    log.info(
      {
        target: target.id,
        limitPerSecond,
        gateways: options.gatewayCount(),
        ageMs: Math.round(clock.now() - namedAt),
      },
      'target limits the requests of all gateways',
    );
    options.requestHint();
  };

  const recordEnd = (target: Target, record: LimitRecord, endedAt: number): void => {
    if (record.limitPerSecond === undefined || endedAt < record.namedAt + mentionHoldMs) return;
    Object.assign(record, { limitPerSecond: undefined, endedAt });
    log.info({ target: target.id }, 'target no longer limits the requests');
    options.requestHint();
  };

  /** Forgets targets that are gone and limits whose end was repeated often enough. */
  const prune = (): void => {
    for (const [target, { limitPerSecond, endedAt }] of records) {
      const isOver = limitPerSecond === undefined && clock.now() - endedAt > hintRepeatMs;
      if (target.isRemoved || isOver) records.delete(target);
    }
  };

  return {
    get size() {
      prune();
      return [...records.values()].filter((record) => record.limitPerSecond !== undefined).length;
    },
    observe(target, limitPerSecond) {
      if (limitPerSecond !== undefined) {
        if (!Number.isNaN(limitPerSecond)) recordName(target, limitPerSecond, clock.now());
        return;
      }
      const record = records.get(target);
      if (record) recordEnd(target, record, clock.now());
    },
    observePause(target, pauseMs) {
      const remainingMs = remainingPauseMs(target);
      const nextMs = Math.min(pauseMs, maxPauseMs);
      if (nextMs <= remainingMs) return;
      pausedUntil.set(target, clock.now() + nextMs);
      if (remainingMs === 0)
        log.info({ target: target.id, pauseMs: nextMs }, 'target wants no requests for a time');
    },
    waitMs(target) {
      const pauseMs = remainingPauseMs(target);
      const record = records.get(target);
      if (record?.limitPerSecond === undefined) return pauseMs;
      return Math.max(pauseMs, record.permits.waitMs(ratePerSecond(record.limitPerSecond)));
    },
    peekWaitMs(target) {
      const pauseMs = remainingPauseMs(target);
      const record = records.get(target);
      if (record?.limitPerSecond === undefined) return pauseMs;
      return Math.max(pauseMs, record.permits.peekWaitMs(ratePerSecond(record.limitPerSecond)));
    },
    tryTake(target) {
      if (remainingPauseMs(target) > 0) return false;
      const record = records.get(target);
      if (record?.limitPerSecond === undefined) return true;
      return record.permits.tryTake(ratePerSecond(record.limitPerSecond));
    },
    pack() {
      prune();
      const hints: LimitHint[] = [];
      for (const [{ id }, { limitPerSecond, namedAt, endedAt }] of records) {
        const ageMs = Math.round(clock.now() - Math.max(namedAt, endedAt));
        if (ageMs <= hintRepeatMs) hints.push([id, limitPerSecond ?? endedLimit, ageMs]);
      }
      return hints.length > 0 ? hints : undefined;
    },
    merge(hints) {
      for (const [targetId, limitPerSecond, ageMs] of hints) {
        const target = directory.find(targetId);
        if (!target) continue;
        const at = clock.now() - ageMs;
        const record = records.get(target);
        if (limitPerSecond !== endedLimit) recordName(target, limitPerSecond, at);
        else if (record) recordEnd(target, record, at);
      }
    },
  };
}

/** Checks the limits in a hint from the network. */
export const isLimitHints = (value: unknown): value is readonly LimitHint[] =>
  Array.isArray(value) &&
  value.every(
    (item: unknown) =>
      Array.isArray(item) &&
      typeof item[0] === 'string' &&
      Number.isFinite(item[1]) &&
      Number.isFinite(item[2]) &&
      Number(item[2]) >= 0,
  );
