import { type HostPort } from '../base/address.js';
import { type PromptPart } from '../ports/wire.js';
import { createRendezvousTable, hashText } from '../routing/rendezvous.js';
import { type CacheModel, type CachedPrefix } from './cachemodel.js';
import { type FailureTracker } from './failuretracker.js';
import { type PrefillLoad } from './prefillload.js';
import { type KvStore, type KvStores } from './kvstores.js';
import { type CacheUse } from './hints.js';
import { type Peers } from './peers.js';
import { type SpeedModel } from './speeds.js';
import { type Target, type TargetDirectory } from './targets.js';

/** Engine or KV store from which parts of a prompt can be fetched. */
export interface FetchSource {
  /** Tokens that the target lacks and the source has. */
  readonly tokens: number;
  /** Transfer time relative to one between engines in the same data centre. */
  readonly slowness: number;
  /** Time until the link of the source is free. */
  readonly linkWaitMs: number;
  readonly address: HostPort | undefined;
  /** Name of the source if it is a KV store. */
  readonly store: string | undefined;
  /** The source may have evicted the tokens, because it is an engine that used them long ago. */
  readonly isUncertain: boolean;
}

export const noSource: FetchSource = {
  tokens: 0,
  slowness: 1,
  linkWaitMs: 0,
  address: undefined,
  store: undefined,
  isUncertain: false,
};

/** Cached prefixes and sources of one prompt under one salt. */
export interface TransferView {
  cachedTokens(targetId: string): number;
  /** Finds the best source of parts beyond the `cachedTokens` tokens that a target has. */
  findSource(target: Target, cachedTokens: number): FetchSource;
}

/** Plans transfers of KV cache between engines and KV stores. */
export interface Transfers {
  view(service: string, salt: string, parts: readonly PromptPart[]): TransferView;
  /** Finds the KV store that should receive a prompt because it lacks the shared parts. */
  findSaveTarget(service: string, salt: string, parts: readonly PromptPart[]): KvStore | undefined;
  /** Finds an engine with the same weights that should receive a backup of a request's KV cache. */
  findBackup(target: Target, model: string): Target | undefined;
  /** Records a placement, of this process or of a peer, in the cache, load and link models. */
  record(use: CacheUse): void;
}

export interface TransfersOptions {
  readonly cache: CacheModel;
  readonly stores: KvStores;
  readonly directory: TargetDirectory;
  readonly failureTracker: FailureTracker;
  readonly peers: Pick<Peers, 'inFlight'>;
  readonly prefillLoad: PrefillLoad;
  readonly speeds: Pick<SpeedModel, 'speedsOf'>;
  isChangingWeights(target: Target): boolean;
}

/** Fewer tokens are prefilled instead of fetched, because of the fixed cost of a fetch. */
const minFetchTokens = 500;

/** Shared parts with fewer tokens are not worth their memory in a KV store. */
const minSaveTokens = 1_000;

/** Transfers between data centres take twice as long. */
const crossDataCentreSlowness = 2;

/**
 * Most in-flight requests of an engine that still receives backups. Backups evict shared parts: on
 * days of full load 60% more of these were prefilled again, which cost more than the streams saved.
 */
const maxBackupRequests = 6;

/** A backup goes to another data centre only for this many fewer in-flight requests. */
const crossDataCentrePenaltyRequests = 4;

function tokensOf(parts: readonly PromptPart[]): number {
  let total = 0;
  for (const { tokens } of parts) total += tokens;
  return total;
}

export function createTransfers(options: TransfersOptions): Transfers {
  const { cache, stores, directory, failureTracker, peers, prefillLoad } = options;

  /**
   * Lists the sources of a prompt. Their tokens are all that they can send, and their slowness is
   * that within their own data centre. A KV store is left out while the wait for its link takes
   * longer than prefilling the tokens.
   */
  const findSources = (
    service: string,
    prefixes: ReadonlyMap<string, CachedPrefix>,
  ): readonly (FetchSource & { readonly id: string; readonly dataCentre: string })[] => {
    const found = [];
    const { fetchTokensPerMs, prefillTokensPerMs } = options.speeds.speedsOf(service);
    for (const [id, { transferableTokens, trustedTokens }] of prefixes) {
      const engine = directory.find(id);
      if (transferableTokens < minFetchTokens || engine?.registration.service !== service) continue;
      if (engine.isLeaving || failureTracker.isDown(engine)) continue;
      const { address, dataCentre } = engine.registration;
      const tokens = Math.min(transferableTokens, trustedTokens);
      const isUncertain = tokens < minFetchTokens;
      const source = { ...noSource, tokens: isUncertain ? transferableTokens : tokens, address };
      found.push({ ...source, isUncertain, id, dataCentre });
    }
    for (const { locationName, address, dataCentre } of stores.live) {
      const tokens = prefixes.get(locationName)?.transferableTokens ?? 0;
      const linkWaitMs = stores.linkWaitMs(locationName);
      if (tokens < minFetchTokens || linkWaitMs > tokens / prefillTokensPerMs) continue;
      const slowness = Math.max(1, fetchTokensPerMs / stores.tokensPerMs(locationName));
      const link = { slowness, linkWaitMs, address };
      const source = { ...noSource, ...link, tokens, store: locationName };
      found.push({ ...source, id: locationName, dataCentre });
    }
    return found;
  };

  return {
    view(service, salt, parts) {
      const prefixes = cache.findPrefixes(salt, parts);
      const sources = findSources(service, prefixes);
      return {
        cachedTokens(targetId) {
          const prefix = prefixes.get(targetId);
          if (!prefix) return 0;
          const { cachedTokens, trustedTokens } = prefix;
          // What a target may have evicted is fetched if another location is sure to have it.
          const isElsewhere = (source: (typeof sources)[number]): boolean =>
            !source.isUncertain && source.id !== targetId && source.tokens >= cachedTokens;
          return sources.some(isElsewhere) ? trustedTokens : cachedTokens;
        },
        findSource(target, cachedTokens) {
          let best: FetchSource | undefined;
          let bestTokens = 0;
          let bestSlowness = 1;
          for (const source of sources) {
            const tokens = source.tokens - cachedTokens;
            if (source.id === target.id || tokens < minFetchTokens) continue;
            if (tokens < bestTokens && !(best?.isUncertain && !source.isUncertain)) continue;
            const isSameDataCentre = source.dataCentre === target.registration.dataCentre;
            const slowness = source.slowness * (isSameDataCentre ? 1 : crossDataCentreSlowness);
            if (best && source.isUncertain && !best.isUncertain) continue;
            const isSurer = best?.isUncertain === true && !source.isUncertain;
            if (!isSurer && tokens === bestTokens && slowness >= bestSlowness) continue;
            best = source;
            bestTokens = tokens;
            bestSlowness = slowness;
          }
          if (!best) return noSource;
          const { linkWaitMs, address, store, isUncertain } = best;
          const found = { linkWaitMs, address, store, isUncertain };
          return { ...found, tokens: bestTokens, slowness: bestSlowness };
        },
      };
    },
    findSaveTarget(service, salt, parts) {
      // The last part is not shared with other requests.
      const shared = parts.slice(0, -1);
      const deepest = shared.at(-1);
      const sharedTokens = tokensOf(shared);
      if (!deepest || sharedTokens < minSaveTokens) return undefined;
      const table = createRendezvousTable(stores.live, ({ locationName }) => locationName);
      const [store] = table.top(hashText(deepest.id), 1);
      const prefillMs = sharedTokens / options.speeds.speedsOf(service).prefillTokensPerMs;
      if (!store || stores.linkWaitMs(store.locationName) > prefillMs) return undefined;
      const cachedTokens =
        cache.findPrefixes(salt, shared).get(store.locationName)?.cachedTokens ?? 0;
      return cachedTokens < sharedTokens ? store : undefined;
    },
    findBackup(target, model) {
      const version = target.weights.version(model);
      if (version === undefined) return undefined;
      let best: Target | undefined;
      let bestCost = Infinity;
      for (const other of directory.usable(target.registration.service)) {
        if (other === target || failureTracker.isDown(other) || options.isChangingWeights(other))
          continue;
        if (other.weights.version(model) !== version) continue;
        const isSameDataCentre = other.registration.dataCentre === target.registration.dataCentre;
        const requests = other.inFlight.requests + peers.inFlight(other.id).requests;
        const cost = requests + (isSameDataCentre ? 0 : crossDataCentrePenaltyRequests);
        if (requests > maxBackupRequests || cost >= bestCost) continue;
        best = other;
        bestCost = cost;
      }
      return best;
    },
    record({ targetId, salt, parts, readyMs, saveTo, fetch }) {
      const added = cache.recordUse(targetId, salt, parts, readyMs);
      prefillLoad.add(targetId, Math.max(0, added - (fetch?.tokens ?? 0)));
      if (fetch?.store !== undefined) {
        stores.recordTransfer(fetch.store, fetch.tokens);
        cache.recordRead(fetch.store, salt, parts);
      }
      if (saveTo === undefined) return;
      stores.recordTransfer(saveTo, tokensOf(parts));
      cache.recordUse(saveTo, salt, parts, readyMs + stores.linkWaitMs(saveTo));
    },
  };
}
