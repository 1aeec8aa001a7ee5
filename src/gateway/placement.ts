import { type HostPort } from '../base/address.js';
import { type Random } from '../base/random.js';
import { type ServiceSpec, type TeamSpec } from '../ports/site.js';
import { type CallerHead } from '../ports/wire.js';
import { type CacheIndex } from './cacheindex.js';
import { type TargetReliability } from './health.js';
import { type CacheUse, type Peers } from './peers.js';
import { type Candidate, engineSpeeds, pickCandidate, serviceSpeeds } from './scoring.js';
import { type Target, type TargetDirectory } from './targets.js';

/** A chosen target and what is sent along because of it. */
export interface Placement {
  readonly target: Target;
  readonly salt: string | undefined;
  readonly weightsVersion: number | undefined;
  readonly fetchFrom: HostPort | undefined;
  /** Prompt tokens that the target has to read. */
  readonly tokensToRead: number;
}

/** What placement needs to know of a request. */
export interface PlacementRequest {
  readonly service: string;
  readonly head: CallerHead;
  readonly team: TeamSpec | undefined;
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
  readonly cache: CacheIndex;
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

export function createPlacer(options: PlacerOptions): Placer {
  const { random, directory, reliability, cache, peers, dataCentre } = options;

  /** Fetches from an engine that read the deepest shared part under the same salt. */
  const findSource = (salt: string, head: CallerHead, target: Target): Target | undefined => {
    for (const { id } of [...head.parts].reverse()) {
      for (const holder of cache.holders(salt, id)) {
        const source = directory.find(holder);
        if (!source || source === target || reliability.isDown(source)) continue;
        return source;
      }
    }
    return undefined;
  };

  return {
    place({ service, head, team }, excluded) {
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
        const cached = salt === undefined ? 0 : cache.cachedTokens(salt, head.parts, target.id);
        const source = salt === undefined ? undefined : findSource(salt, head, target);
        const held = source && salt ? cache.cachedTokens(salt, head.parts, source.id) : 0;
        const fetched = Math.max(0, held - cached);
        const tokensToRead = Math.max(0, head.promptTokens - cached - fetched);
        return {
          target,
          version,
          salt,
          source: fetched > 0 ? source : undefined,
          fetched,
          tokensToRead,
        };
      });
      const candidates = details.map(({ target, version, fetched, tokensToRead }): Candidate => {
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
          tokensToFetch: fetched,
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
      if (salt !== undefined && head.parts.length > 0) {
        const partIds = head.parts.map(({ id }) => id);
        cache.record(salt, partIds, target.id);
        options.onUse({ salt, partIds, targetId: target.id });
      }
      return {
        target,
        salt,
        weightsVersion: version,
        fetchFrom: source?.entry.address,
        tokensToRead: isEngine ? tokensToRead : 0,
      };
    },
  };
}
