import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type StoreEras } from '../storeera/eras.js';
import { expiryMs, type OnDemandOrderLease } from './ondemandlease.js';

/** Marks the order lease as free once in each era of the store in which nobody acquires it. */
export interface FreeLeaseMarker extends Disposable {
  /** The table with the lease was read. */
  observeTable(): void;
}

export interface FreeLeaseMarkerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly eras: Pick<StoreEras, 'current'>;
  readonly lease: Pick<OnDemandOrderLease, 'markFree'>;
  readonly leaseMs: number;
  readonly token: CancellationToken;
}

/** Spreads the writes of all processes, so that most of them read the row of the first one instead. */
const jitterMs = 5_000;

export function createFreeLeaseMarker(options: FreeLeaseMarkerOptions): FreeLeaseMarker {
  const { clock, random, log, eras, lease, leaseMs, token } = options;
  let era = 0;
  let timer: Disposable | undefined;
  return {
    observeTable() {
      if (eras.current === era) return;
      era = eras.current;
      timer?.dispose();
      timer = clock.setTimer(expiryMs(leaseMs) + random.next() * jitterMs, () => {
        lease.markFree(token).catch((err: unknown) => {
          log.info(
            { err: errMessage(err) },
            'free order lease was not marked; processes that start wait before their first order',
          );
        });
      });
    },
    dispose: () => timer?.dispose(),
  };
}
