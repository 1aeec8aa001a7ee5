import { type Clock } from '../base/clock.js';
import { type WantedWeights } from '../ports/site.js';

/** Versions of weights that the operator wanted, and since when this process knows it. */
export interface DesiredWeightsHistory {
  /** Newest version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Records a version; one that was there before this process started is taken as old. */
  record(weights: WantedWeights, isPreexisting: boolean): void;
  /**
   * Time since a version newer than this one was first wanted; undefined when there is none. It
   * goes on when still newer ones follow.
   */
  supersededMs(model: string, version: number): number | undefined;
}

interface DesiredVersion {
  readonly version: number;
  readonly desiredSince: number;
}

export function createDesiredWeightsHistory(clock: Clock): DesiredWeightsHistory {
  const newest = new Map<string, number>();
  const history = new Map<string, DesiredVersion[]>();
  return {
    newest,
    record({ model, version }, isPreexisting) {
      if (version <= (newest.get(model) ?? -1)) return;
      newest.set(model, version);
      const list = history.get(model) ?? [];
      list.push({ version, desiredSince: isPreexisting ? -Infinity : clock.now() });
      history.set(model, list);
    },
    supersededMs(model, version) {
      const newer = history.get(model)?.find((later) => later.version > version);
      return newer && clock.now() - newer.desiredSince;
    },
  };
}
