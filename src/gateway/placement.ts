import { type HostPort } from '../base/address.js';
import { type Random } from '../base/random.js';
import { type EngineMemory, type MemoryDemand } from '../enginememory/memory.js';
import { type ServiceSpec, type TeamSpec } from '../ports/site.js';
import { type CallerHead, type Dispatch } from '../ports/wire.js';
import { type CacheSalts } from './cachesalt.js';
import { type FailureTracker } from './failuretracker.js';
import { addLoads, lowestPriority, tokensAhead } from './inflight.js';
import { type KvStore } from './kvstores.js';
import { type CacheUse } from './hints.js';
import { type Peers } from './peers.js';
import { type PrefillLoad } from './prefillload.js';
import { type ExplainedTarget, explainCandidates, findExclusions } from './explanation.js';
import {
  type Candidate,
  estimateAheadMs,
  estimateFirstByteMs,
  pickCandidate,
  prefillWorkMs,
} from './scoring.js';
import { crowdedTokenMs, type FirstByteSample, prefillChunkMs, type SpeedModel } from './speeds.js';
import { type TargetLimits } from './targetlimits.js';
import { type Target, type TargetDirectory } from './targets.js';
import { noSource, type FetchSource, type Transfers, type TransferView } from './transfers.js';
import { type DesiredWeightsHistory } from './desiredweights.js';
import { weightsAge, type WeightsBounds } from './weightsage.js';
import { expectedWork } from '../targetspeeds/expectedwork.js';
import { type TargetSpeedModel } from '../targetspeeds/targetspeeds.js';
import { type ExpectedWork } from '../targetspeeds/trackedwork.js';

/** Target of an attempt, with the cache and backup instructions that are sent along. */
export interface Placement {
  readonly target: Target;
  readonly salt: string | undefined;
  readonly weightsVersion: number | undefined;
  readonly fetchFrom: HostPort | undefined;
  readonly saveTo: HostPort | undefined;
  /** Engine that receives a copy of the KV cache, for streams that must not run a second time. */
  readonly backup: Target | undefined;
  /** Copy of the KV cache from which this placement resumes a stream. */
  readonly continueFrom?: Dispatch['continueFrom'];
  /** Prompt tokens that the target has to prefill. */
  readonly prefillTokens: number;
  /** Expected time to the first byte, in milliseconds. */
  readonly expectedMs: number;
  /** Work before the first byte, if nothing of another request adds to it. */
  readonly soleWork: Omit<FirstByteSample, 'firstByteMs'> | undefined;
  /** Work before the first byte, for the learned speed of the target. */
  readonly work: ExpectedWork | undefined;
  /** Memory of the engine, and the use of it; undefined when it is not limited. */
  readonly memory: PlacedMemory | undefined;
}

/** Memory of an engine in tokens. */
export interface PlacedMemory {
  readonly memoryTokens: number;
  /** Held by other requests before this one; undefined when this was not asked for. */
  readonly heldTokens: number | undefined;
  readonly demand: MemoryDemand;
}

/** Best target for a request at the time of the call. */
export interface Choice {
  readonly target: Target;
  readonly version: number | undefined;
  readonly salt: string | undefined;
  /** Other requests may use the parts that are cached under the salt. */
  readonly isShareable: boolean;
  readonly source: FetchSource;
  readonly prefillTokens: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** Wait for requests at least as urgent at the target, in milliseconds. */
  readonly aheadMs: number;
  /** Prefill of this prompt at the target, in milliseconds. */
  readonly workMs: number;
  /** Time per generated token while the target also prefills prompts, in milliseconds. */
  readonly crowdedTokenMs: number;
  readonly soleWork: Placement['soleWork'];
  readonly work: ExpectedWork;
  readonly memory: Placement['memory'];
}

/** Properties of a request that placement depends on. */
export interface PlacementRequest {
  readonly service: string;
  readonly head: CallerHead;
  readonly team: TeamSpec | undefined;
  /**
   * The request can't be retried at another target, so a backup of its KV cache is kept when there
   * is an engine for it.
   */
  readonly needsBackup: boolean;
  /** Priority at the engine; 0 is the most urgent. */
  readonly priority: number;
}

/** Places requests on targets, based on the state that this process and its peers observed. */
export interface Placer {
  /** Returns undefined when each usable target of the service is excluded, down or at its limit. */
  choose(req: PlacementRequest, excluded: ReadonlySet<Target>): Choice | undefined;
  /**
   * Time until a target that is neither excluded nor down may get a request, in milliseconds; 0 when
   * no limit of such a target is the reason that there is no choice.
   */
  waitMs(req: PlacementRequest, excluded: ReadonlySet<Target>): number;
  /** True when the request needs more memory than any engine of its service has. */
  exceedsMemory(req: PlacementRequest): boolean;
  /**
   * Returns all listed targets of the service, the best first, with the terms of the decision that
   * `choose` would make now, and changes nothing.
   */
  explain(req: PlacementRequest): readonly ExplainedTarget[];
  /** Selects the KV store and the backup for a chosen target, and records the cache use. */
  place(req: PlacementRequest, choice: Choice): Placement;
}

export interface PlacerOptions {
  readonly random: Random;
  readonly directory: TargetDirectory;
  readonly failureTracker: FailureTracker;
  readonly limits: Pick<TargetLimits, 'waitMs' | 'peekWaitMs'>;
  readonly transfers: Transfers;
  readonly peers: Pick<Peers, 'inFlight'>;
  readonly prefillLoad: PrefillLoad;
  readonly memory: Pick<EngineMemory, 'heldTokens' | 'demandOf' | 'addedTokens'>;
  readonly speeds: SpeedModel;
  readonly targetSpeeds: Pick<TargetSpeedModel, 'factorOf' | 'limitOf' | 'slownessOf'>;
  readonly dataCentre: string;
  /** Service in the configuration in force; undefined when it is no longer listed. */
  service(name: string): ServiceSpec | undefined;
  /** Salts under the configuration in force; undefined before the first one. */
  cacheSalts(): CacheSalts | undefined;
  readonly desiredWeights: Pick<DesiredWeightsHistory, 'superseded'>;
  readonly weightsBounds: WeightsBounds;
  /** Time since a call to the store last failed, in milliseconds; Infinity when none has. */
  sinceStoreFailureMs(): number;
  /** True while the target loads other weights or is about to. */
  isChangingWeights(target: Target): boolean;
  /** Called for each placement whose prompt the engine will cache. */
  onCacheUse(use: CacheUse): void;
}

/** A load report of a target is ignored once it is older than this. */
const maxLoadAgeMs = 300;

/**
 * Prefill chunks after the expected first byte until the parts count as cached at the target. A fetch
 * that comes too early finds nothing, and the parts are prefilled a second time.
 */
const readyMarginChunks = 4;

/** Memory of each engine of a service; Infinity when the configuration names none. */
function memoryOf(spec: ServiceSpec | undefined): number {
  const kvTokens = spec?.engine?.kvTokens ?? 0;
  return kvTokens > 0 ? kvTokens : Infinity;
}

/** Salt of a request whose parts no other request may use. */
const privateSaltOf = ({ requestId }: CallerHead): string => `request.${requestId}`;

/**
 * Work of a target before the first byte of a request; undefined when the prompts of other requests,
 * a full batch, a transfer or a change of weights add to it.
 */
function soleWorkOf(candidate: Candidate): Placement['soleWork'] {
  const { pendingPrefillTokens, tokensToFetch, isChangingWeights } = candidate;
  const { prefillTokens, inFlightRequests, slots, slowness, speedFactor } = candidate;
  if (pendingPrefillTokens > 0 || tokensToFetch > 0 || isChangingWeights) return undefined;
  return inFlightRequests < slots
    ? { prefillTokens, inFlightRequests, slowness, speedFactor }
    : undefined;
}

export function createPlacer(options: PlacerOptions): Placer {
  const { random, directory, failureTracker, limits, transfers, peers, dataCentre } = options;
  const { targetSpeeds } = options;

  /**
   * Slowdown that the target reported lately to this gateway. What it reported to peers is not used to
   * place requests: all gateways would avoid the target at once and meet at the same other one.
   */
  const freshSlowness = (target: Target): number | undefined =>
    target.loadAgeMs() < maxLoadAgeMs ? target.load?.slowness : undefined;

  /** The same with the reports to peers, to tell a passing slowdown from the speed of the target. */
  const reportedSlowness = (target: Target): number | undefined =>
    freshSlowness(target) ?? targetSpeeds.slownessOf(target);

  const reachable = (service: string, excluded: ReadonlySet<Target>): readonly Target[] =>
    directory
      .usable(service)
      .filter((target) => !excluded.has(target) && !failureTracker.isDown(target));

  /** Everything that the choice among `targets` depends on. */
  const assess = (
    { service, head, team, priority }: PlacementRequest,
    targets: readonly Target[],
  ) => {
    const spec = options.service(service);
    // Requests that were admitted before a configuration dropped their service are still sent to it.
    const isEngineService = spec
      ? spec.engine !== undefined
      : directory.usable(service).some(({ registration }) => registration.weights.size > 0);
    const isEngine = isEngineService && head.model !== undefined;
    const views = new Map<string, TransferView>();
    const viewOf = (salt: string): TransferView => {
      const view = views.get(salt) ?? transfers.view(service, salt, head.parts);
      views.set(salt, view);
      return view;
    };
    const details = targets.map((target) => {
      const version = isEngine ? target.weights.version(head.model as string) : undefined;
      const sharedSalt =
        version === undefined ? undefined : options.cacheSalts()?.saltOf(version, team);
      if (sharedSalt === undefined) {
        // Without the version or the team it is unknown which cached parts the request may use.
        const salt = isEngine ? privateSaltOf(head) : undefined;
        const { promptTokens: prefillTokens } = head;
        return { target, version, salt, isShareable: false, source: noSource, prefillTokens };
      }
      const view = viewOf(sharedSalt);
      const cached = view.cachedTokens(target.id);
      const source = view.findSource(target, cached);
      const prefillTokens = Math.max(0, head.promptTokens - cached - source.tokens);
      return { target, version, salt: sharedSalt, isShareable: true, source, prefillTokens };
    });
    const memoryTokens = memoryOf(spec);
    const demands = new Map<string | undefined, MemoryDemand>();
    const demandOf = ({ isShareable, salt }: (typeof details)[number]): MemoryDemand => {
      const sharedSalt = isShareable ? salt : undefined;
      const known = demands.get(sharedSalt);
      const demand = known ?? options.memory.demandOf(service, head, sharedSalt);
      demands.set(sharedSalt, demand);
      return demand;
    };
    const isLimited = memoryTokens < Infinity;
    const speeds = options.speeds.speedsOf(service);
    const candidates = details.map((detail): Candidate => {
      const { target, version, source, prefillTokens } = detail;
      const load = addLoads(target.inFlight, peers.inFlight(target.id));
      const speedFactor = targetSpeeds.factorOf(target);
      const candidate: Candidate = {
        inFlightRequests: load.requests,
        pendingPrefillTokens: tokensAhead(load, lowestPriority),
        tokensAhead: tokensAhead(load, priority),
        slots: target.registration.slots,
        concurrencyLimit: targetSpeeds.limitOf(target),
        speedFactor,
        memoryTokens,
        heldTokens: isLimited ? options.memory.heldTokens(target.id) : 0,
        requestTokens: isLimited
          ? options.memory.addedTokens(target.id, demandOf(detail))
          : head.promptTokens + head.expectedOutputTokens,
        prefillTokens,
        prefillShare: options.prefillLoad.prefillShare(
          target.id,
          speeds.prefillTokensPerMs / speedFactor,
        ),
        outputTokens: head.expectedOutputTokens,
        tokensToFetch: source.tokens,
        fetchSlowness: source.slowness,
        fetchWaitMs: source.linkWaitMs,
        isSameDataCentre: target.registration.dataCentre === dataCentre,
        failureRate: failureTracker.failureRate(target),
        slowness: freshSlowness(target) ?? 1,
        weightsAge: 'current',
        isChangingWeights: options.isChangingWeights(target),
      };
      if (version === undefined) return candidate;
      const use = {
        superseded: options.desiredWeights.superseded(head.model as string, version),
        expectedMs: estimateFirstByteMs(candidate, speeds),
        sinceStoreFailureMs: options.sinceStoreFailureMs(),
      };
      return { ...candidate, weightsAge: weightsAge(use, options.weightsBounds) };
    });
    return { candidates, details, isEngine, speeds, memoryTokens, demandOf };
  };

  return {
    waitMs({ service }, excluded) {
      const targets = reachable(service, excluded);
      return targets.length > 0 ? Math.min(...targets.map((target) => limits.waitMs(target))) : 0;
    },
    exceedsMemory({ service, head }) {
      const memoryTokens = memoryOf(options.service(service));
      return head.promptTokens + head.expectedOutputTokens > memoryTokens;
    },
    choose(req, excluded) {
      const targets = reachable(req.service, excluded).filter(
        (target) => limits.waitMs(target) === 0,
      );
      const { candidates, details, isEngine, speeds, memoryTokens, demandOf } = assess(
        req,
        targets,
      );
      // A new connection costs a round trip, which is less than the scores can tell.
      const hasConnection = (at: number): boolean =>
        details[at]?.target.connections.hasReusable(!req.needsBackup) ?? false;
      const index = pickCandidate(candidates, speeds, random, hasConnection);
      const chosen = index === undefined ? undefined : details[index];
      if (!chosen) return undefined;
      const candidate = candidates[index as number] as Candidate;
      return {
        ...chosen,
        prefillTokens: isEngine ? chosen.prefillTokens : 0,
        expectedMs: estimateFirstByteMs(candidate, speeds),
        aheadMs: estimateAheadMs(candidate, speeds),
        workMs: prefillWorkMs(candidate, speeds),
        crowdedTokenMs: crowdedTokenMs(speeds) * candidate.speedFactor,
        soleWork: soleWorkOf(candidate),
        work: expectedWork(candidate, speeds, reportedSlowness(chosen.target)),
        memory:
          memoryTokens < Infinity
            ? { memoryTokens, heldTokens: candidate.heldTokens, demand: demandOf(chosen) }
            : undefined,
      };
    },
    explain(req) {
      const listed = directory.all.filter((target) => target.registration.service === req.service);
      const reasons = findExclusions(listed, failureTracker, limits);
      return explainCandidates(listed, reasons, (targets) => assess(req, targets));
    },
    place({ service, head, needsBackup }, choice) {
      const { target, salt, isShareable, version, source, prefillTokens, expectedMs } = choice;
      const { parts, model } = head;
      let saveTo: KvStore | undefined;
      if (isShareable && salt !== undefined && parts.length > 0) {
        saveTo = transfers.findSaveTarget(service, salt, parts);
        const { store, tokens } = source;
        const fetch = tokens > 0 ? { store, tokens } : undefined;
        const marginMs = readyMarginChunks * prefillChunkMs(options.speeds.speedsOf(service));
        const readyMs = expectedMs + marginMs;
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
        expectedMs,
        soleWork: choice.soleWork,
        work: choice.work,
        memory: choice.memory,
      };
    },
  };
}
