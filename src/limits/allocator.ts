import { type Clock } from '../base/clock.js';

/** Dimensions of a team's limits. */
export const dimensions = ['requests', 'tokens', 'streams'] as const;

/** One of the {@link dimensions}. */
export type Dimension = (typeof dimensions)[number];

/** Demand of one team at one entry: requests/s, tokens/s and concurrent streams. */
export type Demand = Readonly<Record<Dimension, number>>;

/** Demand of all active teams at one entry. */
export type DemandByTeam = ReadonlyMap<string, Demand>;

/**
 * Divides a team's limits over the entries by the demand that they exchange, without a shared
 * counter. A raised own demand counts only once every peer knows it, and a lowered one at once.
 * So no entry counts less for a peer than the peer counts for itself, and while the entries know
 * each other the allocations never add up to more than the limit.
 *
 * A peer that is silent keeps its n-th part, and the rest is divided among the others; an entry
 * without peers uses 1/n of the last known n. Errors remain in two cases. An entry that the
 * others do not know yet adds its n-th part until the next exchange. Entries that reach the same
 * peers but not each other may both use a shared peer's unused part as long as that lasts.
 */
export interface LimitAllocator {
  /** This entry's part of a limit. */
  allocation(team: string, dimension: Dimension, limit: number): number;
  /** Sets what this entry's next report says; only decreases take effect. */
  propose(demand: DemandByTeam): void;
  /** Demand of the newest report. */
  readonly proposed: DemandByTeam;
  /** Records that a peer has the newest report; once all have it, it takes effect as a whole. */
  markDelivered(instance: string): void;
  /** Records the report of a peer. */
  recordPeerDemand(instance: string, demand: DemandByTeam): void;
  /** Number of peers that are known to exist; those that reported lately count in any case. */
  setListedPeers(count: number): void;
}

/** A peer without a report for this long counts as silent. */
export const silentAfterMs = 3_000;

/** A silent peer keeps its n-th part for this long, unless it is listed. */
const removePeerAfterMs = 60_000;

/**
 * Part of each limit that is divided equally whatever the demand, so that a team which appears
 * at another entry is served there before the next exchange.
 */
const equalFraction = 0.05;

const noDemand: Demand = { requests: 0, tokens: 0, streams: 0 };

interface Peer {
  readonly demand: DemandByTeam;
  readonly receivedAt: number;
}

function minDemand(a: Demand, b: Demand): Demand {
  return {
    requests: Math.min(a.requests, b.requests),
    tokens: Math.min(a.tokens, b.tokens),
    streams: Math.min(a.streams, b.streams),
  };
}

export function createLimitAllocator(clock: Clock): LimitAllocator {
  const peers = new Map<string, Peer>();
  const deliveredTo = new Set<string>();
  let listedPeers = 0;
  let effective: DemandByTeam = new Map();
  let proposed: DemandByTeam = new Map();

  const isReporting = ({ receivedAt }: Peer): boolean => clock.now() - receivedAt <= silentAfterMs;

  const applyWhenDelivered = (): void => {
    for (const [instance, peer] of peers) {
      if (isReporting(peer) && !deliveredTo.has(instance)) return;
    }
    effective = proposed;
  };

  return {
    allocation(team, dimension, limit) {
      let reportingPeerCount = 0;
      let total = effective.get(team)?.[dimension] ?? 0;
      const own = total;
      for (const peer of peers.values()) {
        if (!isReporting(peer)) continue;
        reportingPeerCount += 1;
        total += peer.demand.get(team)?.[dimension] ?? 0;
      }
      const entryCount = 1 + Math.max(listedPeers, peers.size);
      const reportingEntryCount = 1 + reportingPeerCount;
      const available = (limit * reportingEntryCount) / entryCount;
      const limitByDemand = available * (1 - equalFraction);
      // Below the limit everyone gets its demand and an equal part of the rest.
      const byDemand =
        total <= limitByDemand
          ? own + (limitByDemand - total) / reportingEntryCount
          : (limitByDemand * own) / total;
      return (available * equalFraction) / reportingEntryCount + byDemand;
    },
    propose(demand) {
      const lowered = new Map<string, Demand>();
      for (const [team, known] of effective) {
        lowered.set(team, minDemand(known, demand.get(team) ?? noDemand));
      }
      effective = lowered;
      proposed = demand;
      deliveredTo.clear();
      for (const [instance, { receivedAt }] of peers) {
        if (clock.now() - receivedAt > removePeerAfterMs) peers.delete(instance);
      }
      applyWhenDelivered();
    },
    get proposed() {
      return proposed;
    },
    markDelivered(instance) {
      deliveredTo.add(instance);
      applyWhenDelivered();
    },
    recordPeerDemand(instance, demand) {
      peers.set(instance, { demand, receivedAt: clock.now() });
    },
    setListedPeers(count) {
      listedPeers = count;
    },
  };
}
