import { type HostPort } from '../base/address.js';
import { type Random } from '../base/random.js';
import { type ServiceSpec, type TeamSpec } from '../ports/site.js';
import { type CallerHead, type Dispatch, type PromptPart } from '../ports/wire.js';
import { type CacheModel } from './cachemodel.js';
import { type TargetReliability } from './health.js';
import { type KvStore, type KvStores } from './kvstores.js';
import { type CacheUse, type Peers } from './peers.js';
import { type Candidate, engineSpeeds, pickCandidate, serviceSpeeds } from './scoring.js';
import { type Target, type TargetDirectory } from './targets.js';

/** A chosen target and what is sent along because of it. */
export interface Placement {
  readonly target: Target;
  readonly salt: string | undefined;
  readonly weightsVersion: number | undefined;
  readonly fetchFrom: HostPort | undefined;
  readonly saveTo: HostPort | undefined;
  /** Engine that receives a copy of the run, for streams that may not run a second time. */
  readonly backup: Target | undefined;
  /** Copy of the run that this placement goes on from. */
  readonly continueFrom?: Dispatch['continueFrom'];
  /** Prompt tokens that the target has to read. */
  readonly tokensToRead: number;
}

/** What placement needs to know of a request. */
export interface PlacementRequest {
  readonly service: string;
  readonly head: CallerHead;
  readonly team: TeamSpec | undefined;
  /** The run can't be repeated elsewhere, so a copy of it is kept. */
  readonly needsBackup: boolean;
}

/** Places requests on targets by what this process and its peers know of them. */
export interface Placer {
  /** Returns undefined when no target of the service is usable. */
  place(req: PlacementRequest, excluded: ReadonlySet<Target>): Placement | undefined;
}

export interface PlacerOptions {
  readonly random: Random;
  readonly directory: TargetDirectory;
  readonly reliability: TargetReliability;
  readonly cache: CacheModel;
  readonly stores: KvStores;
  readonly peers: Pick<Peers, 'outstanding'>;
  readonly dataCentre: string;
  service(name: string): ServiceSpec | undefined;
  /** Version of a model's weights that the operator wants, and for how long. */
  wanted(model: string): { readonly version: number; readonly ageMs: number } | undefined;
  /** True while the target changes its weights or is about to. */
  isChanging(target: Target): boolean;
  /** Called with each placement that an engine will cache. */
  onUse(use: CacheUse): void;
}

/** Load words of targets older than this say nothing of the present. */
const loadFreshMs = 300;

/** Fewer tokens are read faster than they are fetched. */
const minFetchTokens = 500;

/** Shared parts with fewer tokens are not worth their place in a store. */
const minSaveTokens = 1_000;

/** Transfers between data centres take twice as long. */
const farSlowness = 2;

/**
 * Runs at an engine that still takes copies. Copies push shared parts out: on full days 60% more of
 * these were read again, which cost more than the streams that were saved.
 */
const maxBackupRuns = 6;

/** A copy goes to another data centre only to an engine with this many runs less. */
const farBackupRuns = 4;

/** A store's link has a quarter of the speed of an engine's and serves all engines. */
const storeSlowness = 8;

/** Where a prompt's parts can be fetched from. */
interface Source {
  readonly tokens: number;
  readonly slowness: number;
  readonly address: HostPort | undefined;
}

const noSource: Source = { tokens: 0, slowness: 1, address: undefined };

function tokensOf(parts: readonly PromptPart[]): number {
  let total = 0;
  for (const { tokens } of parts) total += tokens;
  return total;
}

/**
 * An engine that still has older weights after this time is left out while others have the newer
 * ones. Operators allow 10 s, and a roll-out over all engines takes 3 s.
 */
const overdueMs = 5_000;

/**
 * Cache entries are shared within one version of the weights and, for isolated teams, within the
 * team. The version is part of the text, because stores keep what they got under an older one.
 */
export function saltOf(version: number, team: TeamSpec | undefined): string {
  return team?.isIsolated ? `v${version}.team.${team.name}` : `v${version}`;
}

/** Enters a placement into the model of the caches. */
export function recordUse(cache: CacheModel, use: CacheUse): void {
  cache.use(use.targetId, use.salt, use.parts);
  if (use.store !== undefined) cache.use(use.store, use.salt, use.parts);
}

export function createPlacer(options: PlacerOptions): Placer {
  const { random, directory, reliability, cache, stores, peers, dataCentre } = options;

  /** Finds where the target gets the parts that it lacks itself. */
  const findSource = (salt: string, head: CallerHead, target: Target, own: number): Source => {
    let best = noSource;
    const consider = (holder: string, address: HostPort, slowness: number): void => {
      const tokens = cache.sendableTokens(holder, salt, head.parts) - own;
      if (tokens < minFetchTokens || tokens < best.tokens) return;
      if (tokens === best.tokens && slowness >= best.slowness) return;
      best = { tokens, slowness, address };
    };
    for (const engine of directory.usable(target.entry.service)) {
      if (engine === target || reliability.isDown(engine)) continue;
      const isNear = engine.entry.dataCentre === target.entry.dataCentre;
      consider(engine.id, engine.entry.address, isNear ? 1 : farSlowness);
    }
    for (const store of stores.live) {
      const isNear = store.dataCentre === target.entry.dataCentre;
      consider(store.holder, store.address, storeSlowness * (isNear ? 1 : farSlowness));
    }
    return best;
  };

  /** An engine with the same weights that is least busy, in the same data centre if possible. */
  const findBackup = (target: Target, model: string): Target | undefined => {
    const version = target.weightsVersion(model);
    let best: Target | undefined;
    let bestCost = Infinity;
    for (const other of directory.usable(target.entry.service)) {
      if (other === target || reliability.isDown(other) || options.isChanging(other)) continue;
      if (version === undefined || other.weightsVersion(model) !== version) continue;
      const isNear = other.entry.dataCentre === target.entry.dataCentre;
      const runs = other.outstanding.runs + peers.outstanding(other.id).runs;
      if (runs > maxBackupRuns) continue;
      const cost = runs + (isNear ? 0 : farBackupRuns);
      if (cost >= bestCost) continue;
      best = other;
      bestCost = cost;
    }
    return best;
  };

  /** A store that lacks the shared parts; the last part is the request's own. */
  const findSaveTarget = (salt: string, { parts }: CallerHead): KvStore | undefined => {
    const shared = parts.slice(0, -1);
    const sharedTokens = tokensOf(shared);
    if (sharedTokens < minSaveTokens) return undefined;
    const [store] = stores.live;
    if (!store) return undefined;
    return cache.cachedTokens(store.holder, salt, shared) < sharedTokens ? store : undefined;
  };

  return {
    place({ service, head, team, needsBackup }, excluded) {
      const spec = options.service(service);
      const isEngine = spec?.engine !== undefined && head.model !== undefined;
      const usable = directory.usable(service);
      const targets = usable.filter(
        (target) => !excluded.has(target) && !reliability.isDown(target),
      );
      const wanted = isEngine ? options.wanted(head.model as string) : undefined;
      const details = targets.map((target) => {
        const version = isEngine ? target.weightsVersion(head.model as string) : undefined;
        const salt = version === undefined ? undefined : saltOf(version, team);
        if (salt === undefined) {
          // Nothing is shared with an engine whose version is unknown, so that nothing can be stale.
          const own = isEngine ? `request.${head.requestId}` : undefined;
          const tokensToRead = head.promptTokens;
          return { target, version, salt: own, source: noSource, tokensToRead };
        }
        const cached = cache.cachedTokens(target.id, salt, head.parts);
        const source = findSource(salt, head, target, cached);
        const tokensToRead = Math.max(0, head.promptTokens - cached - source.tokens);
        return { target, version, salt, source, tokensToRead };
      });
      const candidates = details.map(({ target, version, source, tokensToRead }): Candidate => {
        const isOutdated =
          wanted !== undefined && version !== undefined && version < wanted.version;
        const others = peers.outstanding(target.id);
        const own = target.outstanding;
        const fresh = target.loadAgeMs() < loadFreshMs ? target.load : undefined;
        return {
          runs: own.runs + others.runs,
          waitingTokens: own.tokens + others.tokens,
          slots: target.entry.slots,
          tokensToRead,
          tokensToFetch: source.tokens,
          fetchSlowness: source.slowness,
          isNear: target.entry.dataCentre === dataCentre,
          failureShare: reliability.failureShare(target),
          slowness: fresh?.slowness ?? 1,
          isOutdated,
          isOverdue: isOutdated && wanted.ageMs > overdueMs,
          isChanging: options.isChanging(target),
        };
      });
      const index = pickCandidate(candidates, isEngine ? engineSpeeds : serviceSpeeds, random);
      const chosen = index === undefined ? undefined : details[index];
      if (!chosen) return undefined;
      const { target, salt, version, source, tokensToRead } = chosen;
      let saveTo: KvStore | undefined;
      if (salt !== undefined && version !== undefined && head.parts.length > 0) {
        saveTo = findSaveTarget(salt, head);
        if (saveTo || source.address) stores.touch();
        const use = { salt, parts: head.parts, targetId: target.id, store: saveTo?.holder };
        recordUse(cache, use);
        options.onUse(use);
      }
      return {
        target,
        salt,
        weightsVersion: version,
        fetchFrom: source.address,
        saveTo: saveTo?.address,
        backup: isEngine && needsBackup ? findBackup(target, head.model as string) : undefined,
        tokensToRead: isEngine ? tokensToRead : 0,
      };
    },
  };
}
