import { createSocket } from 'node:dgram';
import { type HostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type PromptPart } from '../ports/wire.js';
import { type Hint, isHint, readParts } from './hints.js';
import { type InFlightLoad } from './targets.js';

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
export interface WeightsSeen {
  readonly targetId: string;
  readonly model: string;
  readonly version: number;
}

/** Takes over what peers tell. */
export interface PeerListener {
  onUse(use: CacheUse): void;
  onWeights(seen: WeightsSeen): void;
  /** Newest change of each of the platform's tables that a peer saw. */
  onTables(versions: readonly number[]): void;
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
  outstanding(targetId: string): InFlightLoad;
  /** True while a peer says that the target changes its weights. */
  isChanging(targetId: string): boolean;
  /** Time since a peer last said that any target changes its weights. */
  sinceChangeMs(): number;
  listen(listener: PeerListener): void;
  setPeers(addresses: readonly HostPort[]): void;
  /** Tells that this process's own counts changed. */
  touch(): void;
  setChanging(targetIds: readonly string[]): void;
  tellUse(use: CacheUse): void;
  tellWeights(seen: WeightsSeen): void;
  /** Tells the newest change of each of the platform's tables that this process saw. */
  tellTables(versions: readonly number[]): void;
}

export interface PeersOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly instance: string;
  readonly bind: HostPort;
  /** This process's own requests by target. */
  own(): readonly (readonly [targetId: string, outstanding: InFlightLoad])[];
}

/** Hints that come together are sent together; a request takes tens of milliseconds. */
const minGatherMs = 8;

/**
 * Longer gathering for each peer, so that the datagrams of one entry stay below about 400 a second
 * whatever the number of its peers.
 */
const gatherMsPerPeer = 2.5;

/** Counts are sent again this often while there are any, in case a datagram was lost. */
const repeatMs = 500;

/** Counts of a peer that is silent for longer are dropped: it has none or is gone. */
const staleMs = 1_600;

/** A weights change lasts about a second; a holder says so with each datagram until it is over. */
const changeStaleMs = 1_200;

/** Placements in one datagram; the rest waits for the next one, so that it stays below 8 KB. */
const maxUses = 24;

const maxDatagramBytes = 16_384;

const noneOutstanding: InFlightLoad = { requests: 0, prefillTokens: 0 };

/** Age after which the sums over the peers are made again without a new hint, so that lapsed counts go. */
const sumsStaleMs = 100;

interface PeerState {
  run: number;
  sequence: number;
  heardAt: number;
  outstanding: Map<string, InFlightLoad>;
  changing: ReadonlySet<string>;
  changingAt: number;
}

export function createPeers(options: PeersOptions): Peers {
  const { clock, log, instance, bind, own } = options;
  const run = clock.wallTime();
  const states = new Map<string, PeerState>();
  let listener: PeerListener | undefined;
  let addresses: readonly HostPort[] = [];
  let sequence = 0;
  let changing: readonly string[] = [];
  let uses: CacheUse[] = [];
  let weights: WeightsSeen[] = [];
  let tables: readonly number[] = [];
  /** Counts of all peers by target; undefined after a new hint. */
  let sums: Map<string, InFlightLoad> | undefined;
  let sumsAt = -Infinity;
  let timer: Disposable | undefined;
  let repeatTimer: Disposable | undefined;

  const socket = createSocket('udp4');
  socket.on('error', (err) => log.warn({ err: errMessage(err) }, 'peer hints are not exchanged'));

  /** Adds up the counts of the peers, once for all targets of a placement. */
  const addUp = (): void => {
    sumsAt = clock.now();
    sums = new Map();
    for (const { heardAt, outstanding } of states.values()) {
      if (sumsAt - heardAt > staleMs) continue;
      for (const [targetId, { requests, prefillTokens }] of outstanding) {
        const known = sums.get(targetId) ?? noneOutstanding;
        sums.set(targetId, {
          requests: known.requests + requests,
          prefillTokens: known.prefillTokens + prefillTokens,
        });
      }
    }
  };

  const send = (): void => {
    timer = undefined;
    sequence += 1;
    const counts = own().filter(([, { requests }]) => requests > 0);
    const hint: Hint = {
      n: instance,
      q: sequence,
      b: run,
      o: counts.map(([id, { requests, prefillTokens }]) => [id, requests, prefillTokens]),
      c: changing,
      u: uses
        .slice(0, maxUses)
        .map((use) => [
          use.salt,
          use.targetId,
          Math.round(use.readyMs),
          use.saveTo ?? '',
          use.fetch?.store ?? '',
          use.fetch?.tokens ?? 0,
          use.parts.flatMap(({ id, tokens }) => [id, tokens]),
        ]),
      w: weights.map(({ targetId, model, version }) => [targetId, model, version]),
      v: tables,
    };
    uses = uses.slice(maxUses, 4 * maxUses);
    weights = [];
    const bytes = Buffer.from(JSON.stringify(hint));
    for (const { host, port } of addresses) {
      socket.send(bytes, port, host, (err) => {
        if (err) log.debug({ host, err: errMessage(err) }, 'hint was not sent');
      });
    }
    repeatTimer?.dispose();
    repeatTimer = undefined;
    if (counts.length > 0 || changing.length > 0) repeatTimer = clock.setTimer(repeatMs, send);
  };

  const touch = (): void => {
    if (addresses.length === 0) return;
    const gatherMs = Math.max(minGatherMs, addresses.length * gatherMsPerPeer);
    timer ??= clock.setTimer(gatherMs, send);
  };

  const accept = (hint: Hint): void => {
    if (hint.n === instance) return;
    const known = states.get(hint.n);
    const isOlder =
      known && (hint.b < known.run || (hint.b === known.run && hint.q <= known.sequence));
    if (isOlder) return;
    sums = undefined;
    states.set(hint.n, {
      run: hint.b,
      sequence: hint.q,
      heardAt: clock.now(),
      outstanding: new Map(
        hint.o.map(([id, requests, prefillTokens]) => [id, { requests, prefillTokens }]),
      ),
      changing: new Set(hint.c),
      changingAt: hint.c.length > 0 ? clock.now() : (known?.changingAt ?? -Infinity),
    });
    for (const [salt, targetId, readyMs, saveTo, store, tokens, flat] of hint.u) {
      const fetch = tokens > 0 ? { store: store || undefined, tokens } : undefined;
      listener?.onUse({
        salt,
        targetId,
        readyMs,
        saveTo: saveTo || undefined,
        fetch,
        parts: readParts(flat),
      });
    }
    for (const [targetId, model, version] of hint.w)
      listener?.onWeights({ targetId, model, version });
    listener?.onTables(hint.v);
  };

  socket.on('message', (bytes) => {
    if (bytes.length > maxDatagramBytes) return;
    try {
      const value: unknown = JSON.parse(bytes.toString('utf8'));
      if (isHint(value)) accept(value);
    } catch (err) {
      log.debug({ err: errMessage(err) }, 'hint is not readable');
    }
  });
  socket.bind(bind.port, bind.host);

  return {
    get count() {
      return addresses.length + 1;
    },
    outstanding(targetId) {
      if (!sums || clock.now() - sumsAt > sumsStaleMs) addUp();
      return sums?.get(targetId) ?? noneOutstanding;
    },
    isChanging(targetId) {
      for (const { heardAt, changing: ids } of states.values()) {
        if (ids.has(targetId) && clock.now() - heardAt < changeStaleMs) return true;
      }
      return false;
    },
    sinceChangeMs() {
      let newest = -Infinity;
      for (const { changingAt } of states.values()) newest = Math.max(newest, changingAt);
      return clock.now() - newest;
    },
    listen(next) {
      listener = next;
    },
    setPeers(next) {
      addresses = next;
    },
    touch,
    setChanging(targetIds) {
      changing = targetIds;
      touch();
    },
    tellUse(use) {
      uses.push(use);
      touch();
    },
    tellWeights(seen) {
      weights.push(seen);
      touch();
    },
    tellTables(versions) {
      tables = versions;
      touch();
    },
    dispose() {
      timer?.dispose();
      repeatTimer?.dispose();
      socket.close();
    },
  };
}
