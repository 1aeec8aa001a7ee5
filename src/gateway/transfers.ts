import { type HostPort } from '../base/address.js';
import { type PromptPart } from '../ports/wire.js';
import { createRendezvousTable, hashText } from '../routing/rendezvous.js';
import { type CacheModel, type Held } from './cachemodel.js';
import { type TargetReliability } from './health.js';
import { type ReadLoad } from './readload.js';
import { type KvStore, type KvStores } from './kvstores.js';
import { type CacheUse, type Peers } from './peers.js';
import { type Target, type TargetDirectory } from './targets.js';

/** Where a prompt's parts can be fetched from. */
export interface Source {
  /** Tokens that the target lacks and the source has. */
  readonly tokens: number;
  /** Time of the transfer relative to one between engines of a data centre. */
  readonly slowness: number;
  /** Wait for the link of the source. */
  readonly waitMs: number;
  readonly address: HostPort | undefined;
  /** Name of the source if it is a store. */
  readonly store: string | undefined;
}

export const noSource: Source = {
  tokens: 0,
  slowness: 1,
  waitMs: 0,
  address: undefined,
  store: undefined,
};

/** What holders have of one prompt under one salt. */
export interface TransferView {
  cachedTokens(targetId: string): number;
  /** Finds where a target gets parts beyond the `own` tokens that it has. */
  findSource(target: Target, own: number): Source;
}

/** Decides what KV cache moves where. */
export interface Transfers {
  view(service: string, salt: string, parts: readonly PromptPart[]): TransferView;
  /** Store that should receive a prompt, because it lacks the shared parts. */
  findSaveTarget(salt: string, parts: readonly PromptPart[]): KvStore | undefined;
  /** Engine with the same weights that should receive a copy of a run. */
  findBackup(target: Target, model: string): Target | undefined;
  /** Enters a placement, of this process or of a peer, into the models. */
  record(use: CacheUse): void;
}

export interface TransfersOptions {
  readonly cache: CacheModel;
  readonly stores: KvStores;
  readonly directory: TargetDirectory;
  readonly reliability: TargetReliability;
  readonly peers: Pick<Peers, 'inFlight'>;
  readonly readLoad: ReadLoad;
  isChanging(target: Target): boolean;
}

/** Fewer tokens are read faster than they are fetched. */
const minFetchTokens = 500;

/** Shared parts with fewer tokens are not worth their place in a store. */
const minSaveTokens = 1_000;

/** Transfers between data centres take twice as long. */
const farSlowness = 2;

/** A store's link has a quarter of the speed of an engine's. */
const storeSlowness = 4;

/** Wait for a store's link above which it neither sends nor receives: reading takes about as long. */
const maxStoreWaitMs = 80;

/**
 * Runs at an engine that still takes copies. Copies push shared parts out: on full days 60% more of
 * these were read again, which cost more than the streams that were saved.
 */
const maxBackupRuns = 6;

/** A copy goes to another data centre only to an engine with this many runs less. */
const farBackupRuns = 4;

function tokensOf(parts: readonly PromptPart[]): number {
  let total = 0;
  for (const { tokens } of parts) total += tokens;
  return total;
}

export function createTransfers(options: TransfersOptions): Transfers {
  const { cache, stores, directory, reliability, peers, readLoad } = options;

  /** Sources of one prompt, with what a target's own data centre makes of them. */
  const findSources = (
    service: string,
    held: ReadonlyMap<string, Held>,
  ): readonly (Source & { readonly id: string; readonly dataCentre: string })[] => {
    const found = [];
    for (const [id, { sendable }] of held) {
      const engine = directory.find(id);
      if (sendable < minFetchTokens || engine?.entry.service !== service) continue;
      if (engine.entry.isLeaving || reliability.isDown(engine)) continue;
      const { address, dataCentre } = engine.entry;
      const source = { ...noSource, tokens: sendable, address };
      found.push({ ...source, id, dataCentre });
    }
    for (const { holder, address, dataCentre } of stores.live) {
      const tokens = held.get(holder)?.sendable ?? 0;
      const waitMs = stores.waitMs(holder);
      if (tokens < minFetchTokens || waitMs > maxStoreWaitMs) continue;
      const source = { tokens, slowness: storeSlowness, waitMs, address, store: holder };
      found.push({ ...source, id: holder, dataCentre });
    }
    return found;
  };

  return {
    view(service, salt, parts) {
      const held = cache.holding(salt, parts);
      const sources = findSources(service, held);
      return {
        cachedTokens: (targetId) => held.get(targetId)?.cached ?? 0,
        findSource(target, own) {
          let best: Source | undefined;
          let bestTokens = 0;
          let bestSlowness = 1;
          for (const source of sources) {
            const tokens = source.tokens - own;
            if (source.id === target.id || tokens < minFetchTokens || tokens < bestTokens) continue;
            const isNear = source.dataCentre === target.entry.dataCentre;
            const slowness = source.slowness * (isNear ? 1 : farSlowness);
            if (tokens === bestTokens && slowness >= bestSlowness) continue;
            best = source;
            bestTokens = tokens;
            bestSlowness = slowness;
          }
          if (!best) return noSource;
          const { waitMs, address, store } = best;
          return { tokens: bestTokens, slowness: bestSlowness, waitMs, address, store };
        },
      };
    },
    findSaveTarget(salt, parts) {
      // The last part is the request's own.
      const shared = parts.slice(0, -1);
      const deepest = shared.at(-1);
      const sharedTokens = tokensOf(shared);
      if (!deepest || sharedTokens < minSaveTokens) return undefined;
      const table = createRendezvousTable(stores.live, ({ holder }) => holder);
      const [store] = table.top(hashText(deepest.id), 1);
      if (!store || stores.waitMs(store.holder) > maxStoreWaitMs) return undefined;
      const held = cache.holding(salt, shared).get(store.holder)?.cached ?? 0;
      return held < sharedTokens ? store : undefined;
    },
    findBackup(target, model) {
      const version = target.weightsVersion(model);
      if (version === undefined) return undefined;
      let best: Target | undefined;
      let bestCost = Infinity;
      for (const other of directory.usable(target.entry.service)) {
        if (other === target || reliability.isDown(other) || options.isChanging(other)) continue;
        if (other.weightsVersion(model) !== version) continue;
        const isNear = other.entry.dataCentre === target.entry.dataCentre;
        const runs = other.outstanding.runs + peers.inFlight(other.id).runs;
        const cost = runs + (isNear ? 0 : farBackupRuns);
        if (runs > maxBackupRuns || cost >= bestCost) continue;
        best = other;
        bestCost = cost;
      }
      return best;
    },
    record({ targetId, salt, parts, readyMs, saveTo, fetch }) {
      const added = cache.use(targetId, salt, parts, readyMs);
      readLoad.add(targetId, Math.max(0, added - (fetch?.tokens ?? 0)));
      if (fetch?.store !== undefined) stores.use(fetch.store, fetch.tokens);
      if (saveTo === undefined) return;
      stores.use(saveTo, tokensOf(parts));
      cache.use(saveTo, salt, parts, readyMs + stores.waitMs(saveTo));
    },
  };
}
