import { type HostPort, parseHostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type KvStoreSpec } from '../ports/site.js';
import { type CacheModel } from './cachemodel.js';
import { createConnections } from './exchange.js';

/** A store of KV cache that is there. */
export interface KvStore {
  /** Name under which the cache model knows it. */
  readonly locationName: string;
  readonly address: HostPort;
  readonly dataCentre: string;
}

/** Stores of KV cache. No list names the live ones, so they are tested while they are used. */
export interface KvStores extends Disposable {
  /** Stores that accepted the last connection. */
  readonly live: readonly KvStore[];
  /** Takes over the stores of a configuration and the size of a token's memory. */
  configure(specs: readonly KvStoreSpec[], bytesPerToken: number): void;
  /** Records that a store sends or receives tokens. */
  recordTransfer(locationName: string, tokens: number): void;
  /** Time until a store's link is free, by the transfers of all entries. */
  linkWaitMs(locationName: string): number;
}

export interface KvStoresOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly cache: CacheModel;
}

/**
 * Time between two tests of a store in use. A fetch from a dead store costs a request some hundred
 * milliseconds, and a store that is down stays so for seconds.
 */
const probeIntervalMs = 1_000;

interface StoreState extends KvStore {
  readonly tokensPerMs: number;
  /** End of the transfers that are under way or wait. */
  busyUntil: number;
  isUp: boolean;
  readonly connections: ReturnType<typeof createConnections>;
}

export function createKvStores({ clock, log, cache }: KvStoresOptions): KvStores {
  let stores: readonly StoreState[] = [];
  let live: readonly KvStore[] = [];
  let probedAt = -Infinity;
  let isDisposed = false;

  const rebuild = (): void => {
    live = stores.filter(({ isUp }) => isUp);
  };

  const probe = async (store: StoreState): Promise<void> => {
    const isUp = await store.connections.probe();
    if (isUp === store.isUp || isDisposed) return;
    store.isUp = isUp;
    // A store comes back empty.
    cache.clear(store.locationName);
    log.info({ store: store.locationName, isUp }, 'store of KV cache changed its state');
    rebuild();
  };

  const probeAll = (): void => {
    if (clock.now() - probedAt < probeIntervalMs) return;
    probedAt = clock.now();
    for (const store of stores) {
      probe(store).catch((err: unknown) => {
        log.debug({ store: store.locationName, err: errMessage(err) }, 'store was not tested');
      });
    }
  };

  return {
    get live() {
      return live;
    },
    configure(specs, bytesPerToken) {
      const known = new Map(stores.map((store) => [store.locationName, store]));
      const next: StoreState[] = [];
      for (const { address: locationName, dataCentre, kvTokens, linkMbps } of specs) {
        const address = parseHostPort(locationName);
        if (!address) continue;
        cache.setStoreCapacity(locationName, kvTokens);
        const connections = createConnections(clock, address);
        const tokensPerMs = (linkMbps * 1_000) / 8 / Math.max(1, bytesPerToken);
        const fresh = {
          locationName,
          address,
          dataCentre,
          tokensPerMs,
          busyUntil: -Infinity,
          isUp: true,
          connections,
        };
        next.push(known.get(locationName) ?? fresh);
      }
      stores = next;
      rebuild();
    },
    recordTransfer(locationName, tokens) {
      probeAll();
      const store = stores.find((known) => known.locationName === locationName);
      if (!store) return;
      const startsAt = Math.max(clock.now(), store.busyUntil);
      store.busyUntil = startsAt + tokens / store.tokensPerMs;
    },
    linkWaitMs(locationName) {
      const store = stores.find((known) => known.locationName === locationName);
      return store ? Math.max(0, store.busyUntil - clock.now()) : Infinity;
    },
    dispose() {
      isDisposed = true;
      for (const { connections } of stores) connections.dispose();
    },
  };
}
