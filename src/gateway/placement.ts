import { type HostPort } from '../base/address.js';
import { type Random } from '../base/random.js';
import { type ServiceSpec, type TeamSpec } from '../ports/site.js';
import { type CallerHead, type Dispatch } from '../ports/wire.js';
import { type FailureTracker } from './failuretracker.js';
import { type KvStore } from './kvstores.js';
import { type CacheUse, type Peers } from './peers.js';
import { type PrefillLoad } from './prefillload.js';
import {
  type Candidate,
  engineSpeeds,
  estimateFirstByteMs,
  pickCandidate,
  serviceSpeeds,
} from './scoring.js';
import { type Target, type TargetDirectory } from './targets.js';
import { noSource, type FetchSource, type Transfers, type TransferView } from './transfers.js';
import { type DesiredWeightsHistory } from './desiredweights.js';

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
  readonly prefillTokens: number;
}

/** The best target for a request at this moment. */
export interface Choice {
  readonly target: Target;
  readonly version: number | undefined;
  readonly salt: string | undefined;
  readonly source: FetchSource;
  readonly prefillTokens: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
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
  choose(req: PlacementRequest, excluded: ReadonlySet<Target>): Choice | undefined;
  /** Decides what is sent along to a chosen target, and records that the request is sent there. */
  place(req: PlacementRequest, choice: Choice): Placement;
}

export interface PlacerOptions {
  readonly random: Random;
  readonly directory: TargetDirectory;
  readonly failureTracker: FailureTracker;
  readonly transfers: Transfers;
  readonly peers: Pick<Peers, 'outstanding'>;
  readonly prefillLoad: PrefillLoad;
  readonly dataCentre: string;
  service(name: string): ServiceSpec | undefined;
  readonly desiredWeights: Pick<DesiredWeightsHistory, 'supersededMs'>;
  /** True while the target changes its weights or is about to. */
  isChangingWeights(target: Target): boolean;
  /** Called with each placement that an engine will cache. */
  onCacheUse(use: CacheUse): void;
}

/** Load words of targets older than this say nothing of the present. */
const maxLoadAgeMs = 300;

/**
 * An engine that still has older weights after this time is left out while others have the newer
 * ones. Operators allow 10 s until a request begins. Not sooner: when a roll-out is late because its
 * holder lost the store, the few engines that are done would get all requests.
 */
const weightsOverdueMs = 8_000;

/**
 * Time after the expected first byte at which a target is taken to have the parts: four pieces of a
 * prompt. A fetch that comes too early finds nothing, and the parts are read a second time.
 */
const prefillMarginMs = 100;

/**
 * Cache entries are shared within one version of the weights and, for isolated teams, within the
 * team. The version is part of the text, because stores keep what they got under an older one.
 */
export function saltOf(version: number, team: TeamSpec | undefined): string {
  return team?.isIsolated ? `v${version}.team.${team.name}` : `v${version}`;
}

export function createPlacer(options: PlacerOptions): Placer {
  const { random, directory, failureTracker, transfers, peers, dataCentre } = options;

  return {
    choose({ service, head, team }, excluded) {
      const spec = options.service(service);
      const isEngine = spec?.engine !== undefined && head.model !== undefined;
      const usable = directory.usable(service);
      const targets = usable.filter(
        (target) => !excluded.has(target) && !failureTracker.isDown(target),
      );
      const views = new Map<string, TransferView>();
      const viewOf = (salt: string): TransferView => {
        const view = views.get(salt) ?? transfers.view(service, salt, head.parts);
        views.set(salt, view);
        return view;
      };
      const details = targets.map((target) => {
        const version = isEngine ? target.weightsVersion(head.model as string) : undefined;
        if (version === undefined) {
          // Nothing is shared with an engine whose version is unknown, so that nothing can be stale.
          const salt = isEngine ? `request.${head.requestId}` : undefined;
          return { target, version, salt, source: noSource, prefillTokens: head.promptTokens };
        }
        const salt = saltOf(version, team);
        const view = viewOf(salt);
        const cached = view.cachedTokens(target.id);
        const source = view.findSource(target, cached);
        const prefillTokens = Math.max(0, head.promptTokens - cached - source.tokens);
        return { target, version, salt, source, prefillTokens };
      });
      const candidates = details.map(({ target, version, source, prefillTokens }): Candidate => {
        const supersededMs =
          version === undefined
            ? undefined
            : options.desiredWeights.supersededMs(head.model as string, version);
        const others = peers.outstanding(target.id);
        const own = target.inFlight;
        const freshLoad = target.loadAgeMs() < maxLoadAgeMs ? target.load : undefined;
        return {
          inFlightRequests: own.requests + others.requests,
          pendingPrefillTokens: own.prefillTokens + others.prefillTokens,
          slots: target.registration.slots,
          prefillTokens,
          prefillShare: options.prefillLoad.prefillShare(target.id),
          outputTokens: head.expectedOutputTokens,
          tokensToFetch: source.tokens,
          fetchSlowness: source.slowness,
          fetchWaitMs: source.linkWaitMs,
          isSameDataCentre: target.registration.dataCentre === dataCentre,
          failureRate: failureTracker.failureRate(target),
          slowness: freshLoad?.slowness ?? 1,
          isOutdated: supersededMs !== undefined,
          isOverdue: (supersededMs ?? 0) > weightsOverdueMs,
          isChangingWeights: options.isChangingWeights(target),
        };
      });
      const speeds = isEngine ? engineSpeeds : serviceSpeeds;
      const index = pickCandidate(candidates, speeds, random);
      const chosen = index === undefined ? undefined : details[index];
      if (!chosen) return undefined;
      const expectedMs = estimateFirstByteMs(candidates[index as number] as Candidate, speeds);
      return { ...chosen, prefillTokens: isEngine ? chosen.prefillTokens : 0, expectedMs };
    },
    place({ head, needsBackup }, { target, salt, version, source, prefillTokens, expectedMs }) {
      const { parts, model } = head;
      let saveTo: KvStore | undefined;
      if (salt !== undefined && version !== undefined && parts.length > 0) {
        saveTo = transfers.findSaveTarget(salt, parts);
        const { store, tokens } = source;
        const fetch = tokens > 0 ? { store, tokens } : undefined;
        const readyMs = expectedMs + prefillMarginMs;
        const use = {
          salt,
          parts,
          targetId: target.id,
          readyMs,
          saveTo: saveTo?.locationName,
          fetch,
        };
        transfers.record(use);
        options.onCacheUse(use);
      }
      return {
        target,
        salt,
        weightsVersion: version,
        fetchFrom: source.address,
        saveTo: saveTo?.address,
        backup:
          needsBackup && salt !== undefined && model !== undefined
            ? transfers.findBackup(target, model)
            : undefined,
        prefillTokens,
      };
    },
  };
}
