import { type Clock } from '../base/clock.js';
import { type HintSender } from '../gateway/peers.js';

/**
 * Team, cost that this incarnation of the gateway has admitted, its demand per second, and the
 * balance of the fleet as it estimates it.
 */
export type TeamUse = readonly [team: string, used: number, demandPerS: number, balance: number];

/** Value of the hint section `t`. */
export interface UseHint {
  /** Time since the start of the sender, in milliseconds. */
  readonly a: number;
  /** 1 when the list holds all teams with use or demand, 0 when only those that changed. */
  readonly f: 0 | 1;
  readonly u: readonly TeamUse[];
}

/** Use of the peers as their hints report it. */
export interface PeerUse {
  /** Number of known peers, silent ones included. */
  readonly size: number;
  /** Demand of a team per second by peer, without silent peers. */
  demands(team: string): ReadonlyMap<string, number>;
  /** Peers that were heard before and are silent now. */
  silent(): readonly string[];
  /** Age of the oldest report of a peer that is not silent, in milliseconds; 0 without peers. */
  viewAgeMs(): number;
  /** Reads a hint, which was not checked. */
  merge(value: unknown, sender: HintSender): void;
}

export interface PeerUseOptions {
  readonly clock: Clock;
  /** Window over which use counts. */
  readonly windowMs: number;
  /** Teams that have a limit; others are ignored. */
  limited(): ReadonlyMap<string, unknown>;
  onReport(
    team: string,
    report: {
      readonly peer: string;
      readonly use: number;
      readonly silentForMs: number;
      readonly countedShare: number;
      readonly isNewIncarnation: boolean;
    },
  ): void;
  /** Called with the balance of a peer that ran a window before it was first heard. */
  onBalance(team: string, balance: number): void;
}

/**
 * Time without a hint after which a peer is silent: four heartbeats, so that a few lost
 * datagrams are not taken for silence.
 */
export const silenceMs = 1_000;

/** Peers in memory; the one that has been silent for the longest is dropped. */
const maxPeers = 1_024;

/**
 * Teams in the record of one peer. Teams without a limit stay in it, because their counters go on
 * when a configuration limits them again.
 */
export const maxTeams = 4_096;

interface PeerRecord {
  incarnation: number;
  heardAt: number;
  /** The peer ran before this process, and has not sent a full list yet. */
  isBaseline: boolean;
  /** Time for which the peer was silent, until it has sent a full list after that; 0 otherwise. */
  silentForMs: number;
  /** The incarnation has not sent a full list yet and follows another one. */
  isNewIncarnation: boolean;
  readonly teams: Map<string, { used: number; demandPerS: number }>;
}

const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Checks a hint from the network; undefined for anything else. */
function readHint(value: unknown): UseHint | undefined {
  const hint = value as Partial<UseHint> | null;
  if (typeof hint !== 'object' || hint === null || !isAmount(hint.a)) return undefined;
  if (!Array.isArray(hint.u)) return undefined;
  const uses = (hint.u as readonly unknown[]).filter(
    (use): use is TeamUse =>
      Array.isArray(use) &&
      typeof use[0] === 'string' &&
      isAmount(use[1]) &&
      isAmount(use[2]) &&
      Number.isFinite(use[3]),
  );
  return { a: hint.a, f: hint.f === 1 ? 1 : 0, u: uses };
}

export function createPeerUse(options: PeerUseOptions): PeerUse {
  const { clock, windowMs, onReport } = options;
  const startedAt = clock.now();
  const peers = new Map<string, PeerRecord>();

  /** A peer that returns counts as silent until its full list tells its use and demand. */
  const isSilent = ({ heardAt, silentForMs }: PeerRecord): boolean =>
    silentForMs > 0 || clock.now() - heardAt > silenceMs;

  /** Drops the peer that was heard first, which the order of the map shows. */
  const prune = (): void => {
    const [first] = peers.keys();
    if (peers.size > maxPeers && first !== undefined) peers.delete(first);
  };

  return {
    get size() {
      return peers.size;
    },
    demands(team) {
      const demands = new Map<string, number>();
      for (const [name, peer] of peers)
        if (!isSilent(peer)) demands.set(name, peer.teams.get(team)?.demandPerS ?? 0);
      return demands;
    },
    silent() {
      const names: string[] = [];
      for (const [name, peer] of peers) if (isSilent(peer)) names.push(name);
      return names;
    },
    viewAgeMs() {
      let oldest = clock.now();
      for (const peer of peers.values())
        if (!isSilent(peer)) oldest = Math.min(oldest, peer.heardAt);
      return clock.now() - oldest;
    },
    merge(value, { instance, incarnation }) {
      const hint = readHint(value);
      if (!hint) return;
      const known = peers.get(instance);
      const now = clock.now();
      const isOther = known !== undefined && known.incarnation !== incarnation;
      const isNewIncarnation = isOther || (known?.isNewIncarnation ?? false);
      // The use of a peer that ran before this process is from before its start; its demand and the
      // part that was reserved for it cover the time until its first hint.
      const isBaseline = known && !isOther ? known.isBaseline : hint.a > now - startedAt;
      const sinceHeardMs = now - (known?.heardAt ?? startedAt);
      const silentForMs = !known || isSilent(known) ? sinceHeardMs + (known?.silentForMs ?? 0) : 0;
      // Use from before the window no longer counts.
      const countedShare = Math.min(1, windowMs / Math.max(1, silentForMs));
      const teams: PeerRecord['teams'] = known && !isOther ? known.teams : new Map();
      peers.delete(instance);
      const report = (team: string, use: number): void =>
        onReport(team, { peer: instance, use, silentForMs, countedShare, isNewIncarnation });
      const limited = options.limited();
      const absent = new Set(hint.f === 1 ? limited.keys() : []);
      for (const [team, used, demandPerS, balance] of hint.u) {
        if (!limited.has(team)) continue;
        absent.delete(team);
        report(team, used - (teams.get(team)?.used ?? (isBaseline ? used : 0)));
        teams.set(team, { used, demandPerS });
        if (isBaseline && hint.a >= windowMs) options.onBalance(team, balance);
      }
      for (const team of absent) {
        report(team, 0);
        const record = teams.get(team);
        if (record) record.demandPerS = 0;
      }
      if (teams.size > maxTeams) teams.clear();
      const isPartial = hint.f === 0;
      peers.set(instance, {
        incarnation,
        heardAt: now,
        isBaseline: isBaseline && isPartial,
        silentForMs: isPartial ? silentForMs : 0,
        isNewIncarnation: isNewIncarnation && isPartial,
        teams,
      });
      prune();
    },
  };
}
