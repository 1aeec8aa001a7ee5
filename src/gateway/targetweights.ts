import { type Clock } from '../base/clock.js';
import { type StoreEras } from '../storeera/eras.js';

/** What is known of the weights of one target, by model. All sources of a version pass it. */
export interface TargetWeights {
  /** Version by the latest observation or registration; undefined when none is known. */
  version(model: string): number | undefined;
  /**
   * Clock time of the last sign that the weights changed or were about to: another version, an order or
   * a refusal of the known version; -Infinity if there was none. Versions may go back, so an equal one
   * does not show that there was no change in between.
   */
  unsettledAt(model: string): number;
  /** Records the version that a response, a report or a peer names. */
  observe(model: string, version: number): void;
  /** Records a change under a running request; the version is undefined when it can't be read. */
  observeChange(model: string, version: number | undefined): void;
  /** Records that an order to change the weights is due or in progress, or may have been executed. */
  observeOrder(): void;
  /** Discards the version after the target refused a request for it. */
  clear(model: string): void;
  /**
   * Records the versions of a registration. A version that was known in an earlier era of the store is
   * not replaced by a lower one, because the registration may be older.
   */
  register(versions: ReadonlyMap<string, number>): void;
}

interface KnownVersion {
  readonly version: number;
  /** When the target named it itself; -Infinity for a registered version. */
  readonly observedAt: number;
  /** Era of the store at that time. */
  readonly era: number;
}

/** For this long, a version observed at a target takes precedence over an older registered one. */
const registrationLagMs = 3_000;

export function createTargetWeights(
  clock: Clock,
  eras: Pick<StoreEras, 'current'>,
  initial: ReadonlyMap<string, number>,
  onChange: () => void,
): TargetWeights {
  const known = new Map<string, KnownVersion>();
  const changedAt = new Map<string, number>();
  let orderedAt = -Infinity;
  for (const [model, version] of initial)
    known.set(model, { version, observedAt: -Infinity, era: eras.current });

  const set = (model: string, version: number, observedAt: number): void => {
    const isChanged = known.get(model)?.version !== version;
    known.set(model, { version, observedAt, era: eras.current });
    if (!isChanged) return;
    changedAt.set(model, clock.now());
    onChange();
  };

  return {
    version: (model) => known.get(model)?.version,
    unsettledAt: (model) => Math.max(orderedAt, changedAt.get(model) ?? -Infinity),
    observe: (model, version) => set(model, version, clock.now()),
    observeChange(model, version) {
      changedAt.set(model, clock.now());
      if (version !== undefined) set(model, version, clock.now());
    },
    observeOrder() {
      orderedAt = clock.now();
    },
    clear(model) {
      changedAt.set(model, clock.now());
      known.delete(model);
    },
    register(versions) {
      for (const [model, version] of versions) {
        const current = known.get(model);
        if (current?.version === version) continue;
        const isRecent = current && clock.now() - current.observedAt <= registrationLagMs;
        const isOfEarlierEra = current && current.era < eras.current;
        if ((isRecent || isOfEarlierEra) && version < current.version) continue;
        set(model, version, -Infinity);
      }
    },
  };
}
