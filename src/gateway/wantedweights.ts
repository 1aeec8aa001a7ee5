import { type Clock } from '../base/clock.js';
import { type WantedWeights } from '../ports/site.js';

/** Versions of weights that the operator wanted, and since when this process knows it. */
export interface WantedWeightsLog {
  /** Newest version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Records a version; one that was there before this process started is taken as old. */
  want(weights: WantedWeights, wasThere: boolean): void;
  /**
   * Time since a version newer than this one was first wanted; undefined when there is none. It
   * goes on when still newer ones follow.
   */
  supersededMs(model: string, version: number): number | undefined;
}

interface Naming {
  readonly version: number;
  readonly at: number;
}

export function createWantedWeightsLog(clock: Clock): WantedWeightsLog {
  const newest = new Map<string, number>();
  const namings = new Map<string, Naming[]>();
  return {
    newest,
    want({ model, version }, wasThere) {
      if (version <= (newest.get(model) ?? -1)) return;
      newest.set(model, version);
      const list = namings.get(model) ?? [];
      list.push({ version, at: wasThere ? -Infinity : clock.now() });
      namings.set(model, list);
    },
    supersededMs(model, version) {
      const naming = namings.get(model)?.find((later) => later.version > version);
      return naming && clock.now() - naming.at;
    },
  };
}
