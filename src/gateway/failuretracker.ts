import { type Clock, sleep } from '../base/clock.js';
import { type CancellationToken } from '../base/cancellation.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type Target } from './targets.js';

/**
 * Outcome of one request or order, as evidence about its target. `replaced` means that another
 * incarnation has the address, so this one never returns.
 */
export type TargetOutcome = 'ok' | 'failed' | 'unreachable' | 'replaced';

/** Tracks failures of targets by the requests and orders that this process sent there. */
export interface FailureTracker {
  observe(target: Target, outcome: TargetOutcome): void;
  /** True while the target is unreachable, or once another incarnation has its address. */
  isDown(target: Target): boolean;
  /** True once another incarnation has the address of the target. */
  isReplaced(target: Target): boolean;
  /** Recent fraction of failed requests, from 0 to 1. */
  failureRate(target: Target): number;
}

export interface FailureTrackerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly token: CancellationToken;
}

/** Weight of one outcome in the moving average; five failures in a row give a rate of 0.67. */
const outcomeWeight = 0.2;

/** The rate halves in this time without requests, so that a recovered target is tried again. */
const halfLifeMs = 3_000;

/** Time between two connection probes of a target that is down. */
const probeIntervalMs = 400;

interface FailureRecord {
  failureRate: number;
  updatedAt: number;
  isDown: boolean;
  isReplaced: boolean;
}

export function createFailureTracker(options: FailureTrackerOptions): FailureTracker {
  const { clock, log, token } = options;
  const records = new WeakMap<Target, FailureRecord>();

  const recordOf = (target: Target): FailureRecord => {
    const known = records.get(target);
    if (known) return known;
    const record = { failureRate: 0, updatedAt: clock.now(), isDown: false, isReplaced: false };
    records.set(target, record);
    return record;
  };

  const decayedRate = (record: FailureRecord): number =>
    record.failureRate * 0.5 ** ((clock.now() - record.updatedAt) / halfLifeMs);

  /** Probes the target until it accepts a connection or is removed. */
  const probeUntilUp = async (target: Target, record: FailureRecord): Promise<void> => {
    while (record.isDown && !target.isRemoved) {
      await sleep(clock, probeIntervalMs, token);
      if (await target.connections.probe()) record.isDown = false;
    }
    if (!target.isRemoved) log.info({ target: target.id }, 'target accepts connections again');
  };

  return {
    observe(target, outcome) {
      const record = recordOf(target);
      const rate = decayedRate(record);
      const failure = outcome === 'ok' ? 0 : 1;
      record.failureRate = rate + (failure - rate) * outcomeWeight;
      record.updatedAt = clock.now();
      if (outcome === 'replaced') {
        if (!record.isReplaced)
          log.warn(
            { target: target.id },
            'another incarnation has the address of the target; it gets no more requests',
          );
        record.isReplaced = true;
      }
      if (outcome !== 'unreachable' || record.isDown) return;
      record.isDown = true;
      log.warn(
        { target: target.id },
        'target is unreachable; it gets no requests until a probe succeeds',
      );
      probeUntilUp(target, record).catch((err: unknown) => {
        log.debug(
          { target: target.id, err: errMessage(err) },
          'connection probes of the target ended',
        );
      });
    },
    isDown(target) {
      const record = records.get(target);
      return record !== undefined && (record.isDown || record.isReplaced);
    },
    isReplaced: (target) => records.get(target)?.isReplaced ?? false,
    failureRate(target) {
      const record = records.get(target);
      return record ? decayedRate(record) : 0;
    },
  };
}
