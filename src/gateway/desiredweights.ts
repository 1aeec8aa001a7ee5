import { type Clock } from '../base/clock.js';
import { type DesiredWeights } from '../ports/site.js';

/** Versions of weights that the operator desired, and when this process received them. */
export interface DesiredWeightsHistory {
  /** Newest desired version by model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Records a version; one that predates this process counts as desired for an infinite time. */
  record(weights: DesiredWeights, isPreexisting: boolean): void;
  /**
   * Time since a version newer than this one was first desired; undefined when there is none.
   * Further versions do not restart it.
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
