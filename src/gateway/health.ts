import { type Clock, sleep } from '../base/clock.js';
import { type CancellationToken } from '../base/cancellation.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type Target } from './targets.js';

/**
 * How one request at a target ended, as far as it tells about the target. `replaced` means that
 * another run has its address, so that it never comes back.
 */
export type TargetOutcome = 'ok' | 'failed' | 'unreachable' | 'replaced';

/** Judges targets by the requests that this process sent there. */
export interface TargetReliability {
  observe(target: Target, outcome: TargetOutcome): void;
  /** True while no connection to the target can be made, or another run has its address. */
  isDown(target: Target): boolean;
  /** Recent share of failed requests, from 0 to 1. */
  failureShare(target: Target): number;
}

export interface TargetReliabilityOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly token: CancellationToken;
}

/** Weight of one outcome in the moving share; five failures in a row make a share of 0.67. */
const outcomeWeight = 0.2;

/** The share halves in this time without requests, so that a target that recovered is tried again. */
const halfLifeMs = 3_000;

/** Time between two connections that test whether a target is back. */
const probeIntervalMs = 400;

interface Record {
  share: number;
  at: number;
  isDown: boolean;
  isReplaced: boolean;
}

export function createTargetReliability(options: TargetReliabilityOptions): TargetReliability {
  const { clock, log, token } = options;
  const records = new WeakMap<Target, Record>();

  const recordOf = (target: Target): Record => {
    const known = records.get(target);
    if (known) return known;
    const record = { share: 0, at: clock.now(), isDown: false, isReplaced: false };
    records.set(target, record);
    return record;
  };

  const shareOf = (record: Record): number =>
    record.share * 0.5 ** ((clock.now() - record.at) / halfLifeMs);

  /** Connects now and then until the target accepts a connection. */
  const watch = async (target: Target, record: Record): Promise<void> => {
    while (record.isDown && !target.isGone) {
      await sleep(clock, probeIntervalMs, token);
      if (await target.connections.probe()) record.isDown = false;
    }
    if (!target.isGone) log.info({ target: target.id }, 'target accepts connections again');
  };

  return {
    observe(target, outcome) {
      const record = recordOf(target);
      const share = shareOf(record);
      const value = outcome === 'ok' ? 0 : 1;
      record.share = share + (value - share) * outcomeWeight;
      record.at = clock.now();
      if (outcome === 'replaced') {
        if (!record.isReplaced) log.warn({ target: target.id }, 'another run has the address');
        record.isReplaced = true;
      }
      if (outcome !== 'unreachable' || record.isDown) return;
      record.isDown = true;
      log.warn({ target: target.id }, 'target refuses connections; it gets no requests');
      watch(target, record).catch((err: unknown) => {
        log.debug({ target: target.id, err: errMessage(err) }, 'connection tests ended');
      });
    },
    isDown(target) {
      const record = records.get(target);
      return record !== undefined && (record.isDown || record.isReplaced);
    },
    failureShare(target) {
      const record = records.get(target);
      return record ? shareOf(record) : 0;
    },
  };
}
