import { type Clock } from '../base/clock.js';
import { type DesiredWeights } from '../ports/site.js';

/** Time since an operator first desired weights newer than a given version, in milliseconds. */
export interface SupersededTime {
  readonly minMs: number;
  /** Larger than `minMs` when the version was not received at the time it was written. */
  readonly maxMs: number;
}

/** Versions of weights that the operator desired, and when this process received them. */
export interface DesiredWeightsHistory {
  /** Newest desired version by model. */
  readonly newest: ReadonlyMap<string, number>;
  /**
   * Records a version that the operator wrote at most `maxAgeMs` ago; Infinity when it may predate
   * this process.
   */
  record(weights: DesiredWeights, maxAgeMs: number): void;
  /**
   * Time since a version newer than this one was first desired; undefined when there is none.
   * Further versions do not restart it.
   */
  superseded(model: string, version: number): SupersededTime | undefined;
}

interface DesiredVersion {
  readonly version: number;
  readonly receivedAt: number;
  readonly maxAgeMs: number;
}

export function createDesiredWeightsHistory(clock: Clock): DesiredWeightsHistory {
  const newest = new Map<string, number>();
  const history = new Map<string, DesiredVersion[]>();
  return {
    newest,
    record({ model, version }, maxAgeMs) {
      if (version <= (newest.get(model) ?? -1)) return;
      newest.set(model, version);
      const list = history.get(model) ?? [];
      list.push({ version, receivedAt: clock.now(), maxAgeMs });
      history.set(model, list);
    },
    superseded(model, version) {
      const newer = history.get(model)?.find((later) => later.version > version);
      if (!newer) return undefined;
      const minMs = clock.now() - newer.receivedAt;
      return { minMs, maxMs: minMs + newer.maxAgeMs };
    },
  };
}
