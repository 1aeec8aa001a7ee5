import { type HostPort, parseHostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type KvStoreSpec } from '../ports/site.js';
import { type CacheModel } from './cachemodel.js';
import { type ConnectionPool } from './connectionpool.js';
import { type Connections, createConnections } from './exchange.js';

/** A store of KV cache outside the engines. */
export interface KvStore {
  /** Name of the store in the cache model. */
  readonly locationName: string;
  readonly address: HostPort;
  readonly dataCentre: string;
}

/** Server of the site that is probed. */
export interface ProbedStore {
  readonly locationName: string;
  readonly address: HostPort;
  readonly connections: Connections;
}

/** KV stores of the site. No registry lists the live ones, so they are probed while in use. */
export interface KvStores extends Disposable {
  /** Stores that accepted the last probe, or that have not been probed. */
  readonly live: readonly KvStore[];
  /** All configured stores. */
  readonly all: readonly ProbedStore[];
  /**
   * Applies the stores of a configuration and the memory that a token takes, in bytes. A store whose
   * address is already listed keeps its data centre and link speed.
   */
  configure(specs: readonly KvStoreSpec[], bytesPerToken: number): void;
  /** Records that a store sends or receives tokens, and probes all stores when that is due. */
  recordTransfer(locationName: string, tokens: number): void;
  /** Tokens that a store sends or receives in a millisecond; Infinity if unknown. */
  tokensPerMs(locationName: string): number;
  /** Time until a store's link is free, from the transfers of all gateways; Infinity if unknown. */
  linkWaitMs(locationName: string): number;
}

export interface KvStoresOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly cache: CacheModel;
  /** State that the connections to all targets share; each store has its own if absent. */
  readonly pool?: ConnectionPool;
}

/**
 * Shortest time between two probes of the stores. A fetch from a store that is down costs a request
 * some hundred milliseconds, and such a store stays down for seconds.
 */
const probeIntervalMs = 1_000;

/**
 * A store is not probed while another gateway had contact with it within this time: engines use the
 * store, not the gateways. All of them together then probe it a few times a second.
 */
const reportMaxAgeMs = 500;

interface StoreState extends KvStore {
  readonly tokensPerMs: number;
  /** When the running and queued transfers end. */
  busyUntil: number;
  isUp: boolean;
  readonly connections: Connections;
}

export function createKvStores({ clock, log, cache, pool }: KvStoresOptions): KvStores {
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
    // A store that was down restarts with an empty cache.
    cache.clear(store.locationName);
    log.info(
      { store: store.locationName, isUp },
      'KV store became reachable or unreachable; its cache model was cleared',
    );
    rebuild();
  };

  const probeAll = (): void => {
    if (clock.now() - probedAt < probeIntervalMs) return;
    probedAt = clock.now();
    for (const store of stores) {
      if (store.isUp && clock.now() - store.connections.reportedAt < reportMaxAgeMs) continue;
      probe(store).catch((err: unknown) => {
        log.debug(
          { store: store.locationName, err: errMessage(err) },
          'KV store probe failed; its state is unchanged',
        );
      });
    }
  };

  return {
    get live() {
      return live;
    },
    get all() {
      return stores;
    },
    configure(specs, bytesPerToken) {
      const known = new Map(stores.map((store) => [store.locationName, store]));
      const next: StoreState[] = [];
      for (const { address: locationName, dataCentre, kvTokens, linkMbps } of specs) {
        const address = parseHostPort(locationName);
        if (!address) continue;
        cache.setStoreCapacity(locationName, kvTokens);
        const connections = createConnections(clock, address, {
          dataCentre,
          ...(pool && { pool }),
        });
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
    tokensPerMs: (locationName) =>
      stores.find((known) => known.locationName === locationName)?.tokensPerMs ?? Infinity,
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
