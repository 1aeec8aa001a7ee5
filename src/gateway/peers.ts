import { createSocket } from 'node:dgram';
import { type HostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type EvidenceHint } from '../quarantine/share.js';
import { type CacheUse, type Hint, isHint, packCacheUse, readCacheUse } from './hints.js';
import { type LimitHint } from './targetlimits.js';
import { addLoads, type InFlightLoad, noneInFlight } from './inflight.js';

/** New weights that a gateway observed at a target. */
export interface WeightsChange {
  readonly targetId: string;
  readonly model: string;
  readonly version: number;
}

/** Receives the hints of the peers. */
export interface PeerListener {
  onCacheUse(use: CacheUse): void;
  onWeightsChange(change: WeightsChange): void;
  /** A peer changes the weights of the target, or has just stopped doing so. */
  onWeightsOrder(targetId: string): void;
  /** Versions of the newest changes of the configuration and target tables that a peer observed. */
  onTableVersions(versions: readonly number[]): void;
  /** Evidence of prompt parts that crash engines; a peer repeats it in several hints. */
  onEvidence(evidence: EvidenceHint): void;
  /** Limits that targets named to a peer; it repeats them in several hints. */
  onLimits(limits: readonly LimitHint[]): void;
}

/**
 * Exchanges hints between the gateways over datagrams: in-flight requests at each target, targets
 * that change their weights, observed weights and table versions, and which engine prefills which
 * prompt parts, and the limits that targets name. Hints are not acknowledged, because a lost one only makes a placement worse or
 * delays the detection of a change. Cache uses and weights are sent only once, evidence of crashes
 * several times.
 */
export interface Peers extends Disposable {
  /** Number of registered gateways, including this one and any that no longer exist. */
  readonly count: number;
  /** The same; undefined until the addresses of the others were read for the first time. */
  readonly knownCount: number | undefined;
  /** Cache uses and weights changes that were not sent because too many waited. */
  readonly droppedItems: number;
  /** In-flight requests of the peers at a target. */
  inFlight(targetId: string): InFlightLoad;
  /** True while a peer reports that the target changes its weights. */
  isChangingWeights(targetId: string): boolean;
  /** Time since a peer last reported that any target changes its weights, in milliseconds. */
  sinceWeightsChangeMs(): number;
  listen(listener: PeerListener): void;
  setPeers(addresses: readonly HostPort[]): void;
  /** Schedules a hint because this process's own in-flight requests changed. */
  scheduleHint(): void;
  /** Publishes which targets change their weights; replaces the previous list. */
  publishChangingTargets(targetIds: readonly string[]): void;
  publishCacheUse(use: CacheUse): void;
  publishWeightsChange(change: WeightsChange): void;
  /**
   * Publishes the versions of the newest changes of the configuration and target tables, in this
   * order, that this process observed.
   */
  publishTableVersions(versions: readonly number[]): void;
}

/** Extension of the hints that one feature owns. */
export interface HintSection {
  /** Name of the section in the datagram, unique among the sections. */
  readonly key: string;
  /**
   * Shortest time between two hints with the section, in milliseconds; 0 when absent. Each hint with it
   * costs all peers processor time, of which the smallest have a fifth of a core.
   */
  readonly intervalMs?: number;
  /** Value for the next hint, which is encoded as JSON; undefined when there is nothing to report. */
  pack(): unknown;
  /** Applies the value of a peer's hint. It comes from the network and has not been checked. */
  merge(value: unknown, sender: HintSender): void;
}

/** Gateway that sent a hint. */
export interface HintSender {
  readonly instance: string;
  /** Start of its incarnation in Unix milliseconds. */
  readonly incarnation: number;
}

export interface PeersOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly instance: string;
  readonly bind: HostPort;
  /** In-flight requests of this process by target. */
  ownInFlight(): readonly (readonly [targetId: string, inFlight: InFlightLoad])[];
  /** Evidence of this process for the next hint. */
  evidence(): EvidenceHint | undefined;
  /** Limits of targets for the next hint. */
  limits(): readonly LimitHint[] | undefined;
  /** Sections of other features, in each hint. */
  readonly sections?: readonly HintSection[];
}

/** Delay that collects hints into one datagram; a request takes tens of milliseconds. */
const minBatchDelayMs = 8;

/**
 * Delay for each peer, so that the datagrams of one gateway stay below about 400 a second whatever
 * the number of its peers.
 */
const batchDelayMsPerPeer = 2.5;

/**
 * Counts and changing targets are resent at this interval while there are any, in case a datagram
 * was lost.
 */
const resendIntervalMs = 500;

/** Counts of a peer that sends nothing for longer are ignored: it has no requests or is down. */
const countsMaxAgeMs = 1_600;

/**
 * Changing targets of a peer that sends nothing for longer are ignored. A weights change lasts about
 * a second, and the gateway that orders it reports it in each hint.
 */
const changingMaxAgeMs = 1_200;

/** Cache uses in one datagram, so that it stays below 8 KB. */
const maxCacheUses = 24;

/** Cache uses that wait for a datagram; the oldest are dropped and counted. */
const maxWaitingCacheUses = 4 * maxCacheUses;

/** Weights changes that wait for a datagram, which holds all of them; the oldest are dropped. */
const maxWaitingWeightsChanges = 64;

const maxDatagramBytes = 16_384;

/**
 * States of peers that are kept for each registered gateway, and at least in all; restarted and renamed
 * gateways need a few. Beyond that the one that was silent longest is forgotten.
 */
const statesPerPeer = 4;
const minStates = 64;

/** Age after which the sums are recomputed without a new hint, so that expired counts are dropped. */
const sumsMaxAgeMs = 100;

interface PeerState {
  incarnation: number;
  sequence: number;
  receivedAt: number;
  inFlight: Map<string, InFlightLoad>;
  changing: ReadonlySet<string>;
  changingReportedAt: number;
}

export function createPeers(options: PeersOptions): Peers {
  const { clock, log, instance, bind, ownInFlight, sections = [] } = options;
  const incarnation = clock.wallTime();
  const states = new Map<string, PeerState>();
  let listener: PeerListener | undefined;
  let addresses: readonly HostPort[] = [];
  let areAddressesKnown = false;
  let sequence = 0;
  let droppedItems = 0;
  let changing: readonly string[] = [];
  let cacheUses: CacheUse[] = [];
  let weightsChanges: WeightsChange[] = [];
  let tableVersions: readonly number[] = [];
  /** In-flight requests of all peers by target; undefined after a new hint. */
  let sums: Map<string, InFlightLoad> | undefined;
  let sumsAt = -Infinity;
  let sendTimer: Disposable | undefined;
  let resendTimer: Disposable | undefined;

  const socket = createSocket('udp4');
  socket.on('error', (err) =>
    log.warn({ err: errMessage(err) }, 'socket for peer hints failed; hints are not exchanged'),
  );

  /** Sums the counts of the peers, once for all targets of a placement. */
  const updateSums = (): void => {
    sumsAt = clock.now();
    sums = new Map();
    for (const { receivedAt, inFlight } of states.values()) {
      if (sumsAt - receivedAt > countsMaxAgeMs) continue;
      for (const [targetId, load] of inFlight)
        sums.set(targetId, addLoads(sums.get(targetId) ?? noneInFlight, load));
    }
  };

  /** When each section was last sent. */
  const sectionSentAt = new Map<string, number>();

  /** Values of all sections that are due; undefined when none has one. */
  const packSections = (): Hint['x'] => {
    const values: Record<string, unknown> = {};
    const now = clock.now();
    for (const { key, intervalMs = 0, pack } of sections) {
      if (now - (sectionSentAt.get(key) ?? -Infinity) < intervalMs) continue;
      const value = pack();
      if (value === undefined) continue;
      values[key] = value;
      sectionSentAt.set(key, now);
    }
    return Object.keys(values).length > 0 ? values : undefined;
  };

  const send = (): void => {
    sendTimer = undefined;
    sequence += 1;
    const counts = ownInFlight().filter(([, { requests }]) => requests > 0);
    const hint: Hint = {
      n: instance,
      q: sequence,
      b: incarnation,
      o: counts.map(([id, { requests, prefillTokens }]) => [id, requests, prefillTokens]),
      c: changing,
      u: cacheUses.slice(0, maxCacheUses).map(packCacheUse),
      w: weightsChanges.map(({ targetId, model, version }) => [targetId, model, version]),
      v: tableVersions,
      e: options.evidence(),
      l: options.limits(),
      x: packSections(),
    };
    cacheUses = cacheUses.slice(maxCacheUses);
    weightsChanges = [];
    const bytes = Buffer.from(JSON.stringify(hint));
    for (const { host, port } of addresses) {
      socket.send(bytes, port, host, (err) => {
        if (err) log.debug({ host, err: errMessage(err) }, 'failed to send a hint to a peer');
      });
    }
    resendTimer?.dispose();
    resendTimer = undefined;
    if (counts.length > 0 || changing.length > 0)
      resendTimer = clock.setTimer(resendIntervalMs, send);
  };

  const scheduleHint = (): void => {
    if (addresses.length === 0) return;
    const delayMs = Math.max(minBatchDelayMs, addresses.length * batchDelayMsPerPeer);
    sendTimer ??= clock.setTimer(delayMs, send);
  };

  /** Adds an item that is sent once; without peers it waits until there are some. */
  const enqueue = <T>(items: T[], item: T, maxItems: number): void => {
    items.push(item);
    if (items.length > maxItems) {
      items.shift();
      droppedItems += 1;
    }
    scheduleHint();
  };

  /** Makes room for the state of another peer; anyone who reaches the socket can name one. */
  const forgetSilentPeer = (): void => {
    if (states.size < Math.max(minStates, statesPerPeer * addresses.length)) return;
    let silent: string | undefined;
    let silentSince = Infinity;
    for (const [name, { receivedAt }] of states) {
      if (receivedAt >= silentSince) continue;
      silent = name;
      silentSince = receivedAt;
    }
    if (silent !== undefined) states.delete(silent);
  };

  const applyHint = (hint: Hint): void => {
    if (hint.n === instance) return;
    const previous = states.get(hint.n);
    const isOutdated =
      previous &&
      (hint.b < previous.incarnation ||
        (hint.b === previous.incarnation && hint.q <= previous.sequence));
    if (isOutdated) return;
    sums = undefined;
    if (!previous) forgetSilentPeer();
    states.set(hint.n, {
      incarnation: hint.b,
      sequence: hint.q,
      receivedAt: clock.now(),
      inFlight: new Map(
        hint.o.map(([id, requests, tokens]) => [
          id,
          { requests, prefillTokens: typeof tokens === 'number' ? [tokens] : tokens },
        ]),
      ),
      changing: new Set(hint.c),
      changingReportedAt:
        hint.c.length > 0 ? clock.now() : (previous?.changingReportedAt ?? -Infinity),
    });
    for (const id of new Set([...(previous?.changing ?? []), ...hint.c]))
      listener?.onWeightsOrder(id);
    for (const use of hint.u) listener?.onCacheUse(readCacheUse(use));
    for (const [targetId, model, version] of hint.w)
      listener?.onWeightsChange({ targetId, model, version });
    listener?.onTableVersions(hint.v);
    if (hint.e) listener?.onEvidence(hint.e);
    if (hint.l) listener?.onLimits(hint.l);
    const sender = { instance: hint.n, incarnation: hint.b };
    for (const section of sections) {
      const value = hint.x?.[section.key];
      if (value !== undefined) section.merge(value, sender);
    }
  };

  socket.on('message', (bytes) => {
    if (bytes.length > maxDatagramBytes) return;
    try {
      const value: unknown = JSON.parse(bytes.toString('utf8'));
      if (isHint(value)) applyHint(value);
    } catch (err) {
      log.debug({ err: errMessage(err) }, 'failed to process a hint from a peer');
    }
  });
  socket.bind(bind.port, bind.host);

  return {
    get count() {
      return addresses.length + 1;
    },
    get knownCount() {
      return areAddressesKnown ? addresses.length + 1 : undefined;
    },
    get droppedItems() {
      return droppedItems;
    },
    inFlight(targetId) {
      if (!sums || clock.now() - sumsAt > sumsMaxAgeMs) updateSums();
      return sums?.get(targetId) ?? noneInFlight;
    },
    isChangingWeights(targetId) {
      for (const { receivedAt, changing: ids } of states.values()) {
        if (ids.has(targetId) && clock.now() - receivedAt < changingMaxAgeMs) return true;
      }
      return false;
    },
    sinceWeightsChangeMs() {
      let newest = -Infinity;
      for (const { changingReportedAt } of states.values())
        newest = Math.max(newest, changingReportedAt);
      return clock.now() - newest;
    },
    listen(next) {
      listener = next;
    },
    setPeers(next) {
      addresses = next;
      areAddressesKnown = true;
    },
    scheduleHint,
    publishChangingTargets(targetIds) {
      changing = targetIds;
      scheduleHint();
    },
    publishCacheUse(use) {
      enqueue(cacheUses, use, maxWaitingCacheUses);
    },
    publishWeightsChange(change) {
      enqueue(weightsChanges, change, maxWaitingWeightsChanges);
    },
    publishTableVersions(versions) {
      tableVersions = versions;
      scheduleHint();
    },
    dispose() {
      sendTimer?.dispose();
      resendTimer?.dispose();
      socket.close();
    },
  };
}
