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
 * Divides the limits of teams among the entries by the demand that they exchange, without a shared
 * counter. An increase of the own demand takes effect only after its delivery to every reporting
 * peer, a decrease at once. So no entry assumes less demand of a peer than the peer itself does,
 * and while all entries have each other's newest reports the allocations never add up to more than
 * the limit.
 *
 * For a silent peer 1/n of the limit is reserved, and the rest is divided among the others; an
 * entry that receives no reports uses 1/n with the last known n. The sum can exceed the limit in
 * three cases. An entry that the others do not have in their lists yet adds its 1/n until the next
 * exchange. Entries that reach the same peers but not each other may both use the unused allocation
 * of such a peer until they reach each other. A report that is the reply to a peer's report counts
 * as delivered before it is sent, so when it is lost the peer assumes a lower demand until it
 * receives the next report.
 */
export interface LimitAllocator {
  /** Part of a limit that this entry may use. */
  allocation(team: string, dimension: Dimension, limit: number): number;
  /**
   * Sets the demand for this entry's next report. Decreases take effect at once, increases only
   * when no peer reports.
   */
  propose(demand: DemandByTeam): void;
  /** Demand in the newest report. */
  readonly proposed: DemandByTeam;
  /** Records that a peer has the newest report; it takes effect once all reporting peers have it. */
  markDelivered(instance: string): void;
  /** Records the demand that a peer has reported. */
  recordPeerDemand(instance: string, demand: DemandByTeam): void;
  /**
   * Sets the number of listed peers. The number of entries n is 1 plus this number or, if larger,
   * the number of peers that have sent a report in the last 60 s.
   */
  setListedPeers(count: number): void;
}

/** Age up to which a report of a peer counts as recent. */
export const reportMaxAgeMs = 3_000;

/** Time without a report after which the 1/n of a peer that isn't listed is released. */
const removePeerAfterMs = 60_000;

/**
 * Fraction of each limit that is divided equally regardless of demand, so that a team whose
 * requests arrive at another entry is served there before the next exchange.
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

  const isReporting = ({ receivedAt }: Peer): boolean => clock.now() - receivedAt <= reportMaxAgeMs;

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
      // Below the limit each entry receives its demand and an equal part of the rest.
      const byDemand =
        total <= limitByDemand
          ? own + (limitByDemand - total) / reportingEntryCount
          : (limitByDemand * own) / total;
      return (available * equalFraction) / reportingEntryCount + byDemand;
    },
    propose(demand) {
      const lowered = new Map<string, Demand>();
      for (const [team, current] of effective) {
        lowered.set(team, minDemand(current, demand.get(team) ?? noDemand));
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
