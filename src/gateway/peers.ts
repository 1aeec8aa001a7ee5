import { createSocket } from 'node:dgram';
import { type HostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type PromptPart } from '../ports/wire.js';
import { type Hint, isHint, readParts } from './hints.js';
import { type Outstanding } from './targets.js';

/** One placement, told so that peers know which engine keeps the parts. */
export interface CacheUse {
  readonly salt: string;
  readonly parts: readonly PromptPart[];
  readonly targetId: string;
  /** Time until the target has read the parts, in milliseconds. */
  readonly readyMs: number;
  /** Store that receives the parts too. */
  readonly saveTo: string | undefined;
  /** Tokens that come from another engine or, where one is named, from a store. */
  readonly fetch: { readonly store: string | undefined; readonly tokens: number } | undefined;
}

/** New weights that a peer saw at a target. */
export interface WeightsChange {
  readonly targetId: string;
  readonly model: string;
  readonly version: number;
}

/** Takes over what peers tell. */
export interface PeerListener {
  onCacheUse(use: CacheUse): void;
  onWeightsChange(seen: WeightsChange): void;
  /** Newest change of each of the platform's tables that a peer saw. */
  onTableVersions(versions: readonly number[]): void;
}

/**
 * Exchanges hints between the entries over datagrams: requests at each target, targets that change
 * their weights, and which engine read which parts. A lost hint costs a worse placement and nothing
 * else, so nothing is sent again and nothing is confirmed.
 */
export interface Peers extends Disposable {
  /** Number of entries, this one included. */
  readonly count: number;
  /** Requests of the other entries at a target. */
  inFlight(targetId: string): Outstanding;
  /** True while a peer says that the target changes its weights. */
  isChangingWeights(targetId: string): boolean;
  /** Time since a peer last said that any target changes its weights. */
  sinceWeightsChangeMs(): number;
  listen(listener: PeerListener): void;
  setPeers(addresses: readonly HostPort[]): void;
  /** Tells that this process's own counts changed. */
  scheduleHint(): void;
  publishChangingTargets(targetIds: readonly string[]): void;
  publishCacheUse(use: CacheUse): void;
  publishWeightsChange(seen: WeightsChange): void;
  /** Tells the newest change of each of the platform's tables that this process saw. */
  publishTableVersions(versions: readonly number[]): void;
}

export interface PeersOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly instance: string;
  readonly bind: HostPort;
  /** This process's own requests by target. */
  ownInFlight(): readonly (readonly [targetId: string, outstanding: Outstanding])[];
}

/** Hints that come together are sent together; a request takes tens of milliseconds. */
const minBatchDelayMs = 8;

/**
 * Longer gathering for each peer, so that the datagrams of one entry stay below about 400 a second
 * whatever the number of its peers.
 */
const batchDelayMsPerPeer = 2.5;

/** Counts are sent again this often while there are any, in case a datagram was lost. */
const resendIntervalMs = 500;

/** Counts of a peer that is silent for longer are dropped: it has none or is gone. */
const countsMaxAgeMs = 1_600;

/** A weights change lasts about a second; a holder says so with each datagram until it is over. */
const changingMaxAgeMs = 1_200;

/** Placements in one datagram; the rest waits for the next one, so that it stays below 8 KB. */
const maxCacheUses = 24;

const maxDatagramBytes = 16_384;

const noneInFlight: Outstanding = { runs: 0, tokens: 0 };

/** Age after which the sums over the peers are made again without a new hint, so that lapsed counts go. */
const sumsMaxAgeMs = 100;

interface PeerState {
  incarnation: number;
  sequence: number;
  receivedAt: number;
  inFlight: Map<string, Outstanding>;
  changing: ReadonlySet<string>;
  changingReportedAt: number;
}

export function createPeers(options: PeersOptions): Peers {
  const { clock, log, instance, bind, ownInFlight: ownInFlight } = options;
  const incarnation = clock.wallTime();
  const states = new Map<string, PeerState>();
  let listener: PeerListener | undefined;
  let addresses: readonly HostPort[] = [];
  let sequence = 0;
  let changing: readonly string[] = [];
  let cacheUses: CacheUse[] = [];
  let weightsChanges: WeightsChange[] = [];
  let tableVersions: readonly number[] = [];
  /** Counts of all peers by target; undefined after a new hint. */
  let sums: Map<string, Outstanding> | undefined;
  let sumsAt = -Infinity;
  let sendTimer: Disposable | undefined;
  let resendTimer: Disposable | undefined;

  const socket = createSocket('udp4');
  socket.on('error', (err) => log.warn({ err: errMessage(err) }, 'peer hints are not exchanged'));

  /** Adds up the counts of the peers, once for all targets of a placement. */
  const updateSums = (): void => {
    sumsAt = clock.now();
    sums = new Map();
    for (const { receivedAt: receivedAt, inFlight: inFlight } of states.values()) {
      if (sumsAt - receivedAt > countsMaxAgeMs) continue;
      for (const [targetId, { runs, tokens }] of inFlight) {
        const known = sums.get(targetId) ?? noneInFlight;
        sums.set(targetId, { runs: known.runs + runs, tokens: known.tokens + tokens });
      }
    }
  };

  const send = (): void => {
    sendTimer = undefined;
    sequence += 1;
    const counts = ownInFlight().filter(([, { runs }]) => runs > 0);
    const hint: Hint = {
      n: instance,
      q: sequence,
      b: incarnation,
      o: counts.map(([id, { runs, tokens }]) => [id, runs, tokens]),
      c: changing,
      u: cacheUses
        .slice(0, maxCacheUses)
        .map((use) => [
          use.salt,
          use.targetId,
          Math.round(use.readyMs),
          use.saveTo ?? '',
          use.fetch?.store ?? '',
          use.fetch?.tokens ?? 0,
          use.parts.flatMap(({ id, tokens }) => [id, tokens]),
        ]),
      w: weightsChanges.map(({ targetId, model, version }) => [targetId, model, version]),
      v: tableVersions,
    };
    cacheUses = cacheUses.slice(maxCacheUses, 4 * maxCacheUses);
    weightsChanges = [];
    const bytes = Buffer.from(JSON.stringify(hint));
    for (const { host, port } of addresses) {
      socket.send(bytes, port, host, (err) => {
        if (err) log.debug({ host, err: errMessage(err) }, 'hint was not sent');
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

  const applyHint = (hint: Hint): void => {
    if (hint.n === instance) return;
    const previous = states.get(hint.n);
    const isOutdated =
      previous &&
      (hint.b < previous.incarnation ||
        (hint.b === previous.incarnation && hint.q <= previous.sequence));
    if (isOutdated) return;
    sums = undefined;
    states.set(hint.n, {
      incarnation: hint.b,
      sequence: hint.q,
      receivedAt: clock.now(),
      inFlight: new Map(hint.o.map(([id, runs, tokens]) => [id, { runs, tokens }])),
      changing: new Set(hint.c),
      changingReportedAt:
        hint.c.length > 0 ? clock.now() : (previous?.changingReportedAt ?? -Infinity),
    });
    for (const [salt, targetId, readyMs, saveTo, store, tokens, flat] of hint.u) {
      const fetch = tokens > 0 ? { store: store || undefined, tokens } : undefined;
      listener?.onCacheUse({
        salt,
        targetId,
        readyMs,
        saveTo: saveTo || undefined,
        fetch,
        parts: readParts(flat),
      });
    }
    for (const [targetId, model, version] of hint.w)
      listener?.onWeightsChange({ targetId, model, version });
    listener?.onTableVersions(hint.v);
  };

  socket.on('message', (bytes) => {
    if (bytes.length > maxDatagramBytes) return;
    try {
      const value: unknown = JSON.parse(bytes.toString('utf8'));
      if (isHint(value)) applyHint(value);
    } catch (err) {
      log.debug({ err: errMessage(err) }, 'hint is not readable');
    }
  });
  socket.bind(bind.port, bind.host);

  return {
    get count() {
      return addresses.length + 1;
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
      for (const { changingReportedAt: changingReportedAt } of states.values())
        newest = Math.max(newest, changingReportedAt);
      return clock.now() - newest;
    },
    listen(next) {
      listener = next;
    },
    setPeers(next) {
      addresses = next;
    },
    scheduleHint: scheduleHint,
    publishChangingTargets(targetIds) {
      changing = targetIds;
      scheduleHint();
    },
    publishCacheUse(use) {
      cacheUses.push(use);
      scheduleHint();
    },
    publishWeightsChange(seen) {
      weightsChanges.push(seen);
      scheduleHint();
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
