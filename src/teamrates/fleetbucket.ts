import { type Clock } from '../base/clock.js';
import { type RateBounds } from './bounds.js';
import { type Demand } from './demand.js';
import { createWindowSum } from './windowsum.js';

/** Peers of this gateway as far as one team is concerned. */
export interface FleetView {
  /** Gateways that share the limit, this one included, at least 1. */
  readonly gateways: number;
  /** Requested cost per second of the team by peer, for peers that are not silent. */
  readonly demands: ReadonlyMap<string, number>;
  /** Known peers that are silent. */
  readonly silent: readonly string[];
}

export type BucketDecision =
  { readonly isAdmitted: true } | { readonly isAdmitted: false; readonly retryAfterMs: number };

/** Report of a peer: its use of the team's limit since its last report. */
export interface PeerReport {
  readonly peer: string;
  readonly use: number;
  /** Time for which the peer was silent before, 0 if it was not, in milliseconds. */
  readonly silentForMs: number;
  /** Part of the time since its last report that still counts; below 1 after a long silence. */
  readonly countedShare: number;
  /** What was assumed of the peer's use stays used, because another incarnation may have used it. */
  readonly isNewIncarnation: boolean;
}

/**
 * This gateway's simulation of the token bucket that all gateways share for one team, for the load
 * of a team above its limit at many gateways whose hints are late or lost. Between two reports of a
 * peer its use is assumed from its demand: all of it below the limit, its share of the rate above.
 * The part 1/n of the rate is reserved for each silent peer. Reports replace the assumptions.
 */
export interface FleetBucket {
  /** Balance in units of the limit; below 0 after more use than allowed or one large request. */
  readonly balance: number;
  readonly bounds: RateBounds;
  /** Applies other bounds. A debt is reduced to what the new limit allows. */
  configure(bounds: RateBounds): void;
  admit(cost: number): BucketDecision;
  /** Takes back the cost of an admitted request that did not run. */
  refund(cost: number): void;
  report(report: PeerReport): void;
  /** Takes over the balance of a peer that has run for a window; only the first call counts. */
  adopt(balance: number): void;
}

export interface FleetBucketOptions {
  readonly clock: Clock;
  readonly windowMs: number;
  readonly bounds: RateBounds;
  readonly startBalance: number;
  /** Requested cost at this gateway. */
  readonly demand: Demand;
  view(): FleetView;
}

/** What is assumed of a peer since its last report. */
interface Assumption {
  use: number;
  /** Part of `use` that returns to the balance if it proves wrong; 0 once the bucket was full. */
  creditable: number;
}

/** Retry-After when the balance does not grow at this gateway; the view of the peers changes soon. */
const idleRetryMs = 1_000;

/** Smallest Retry-After, so that a rejected caller does not return at once. */
const minRetryMs = 20;

/** Age up to which one view serves; a hint reports on ten and more teams in the same moment. */
const viewMaxAgeMs = 5;

/**
 * Time for which the reservation outlasts the silence of the last peer: its full list of uses comes
 * within 0.3 s if it is not lost.
 */
const reservedHoldMs = 1_500;

/**
 * Silence after which unused reservations do not return: it is no loss of single hints but a
 * partition, after which other peers report use before or after this one that makes up for it.
 */
const maxCreditedSilenceMs = 1_500;

/** Costs are sums of floating-point numbers. */
const epsilon = 1e-6;

export function createFleetBucket(options: FleetBucketOptions): FleetBucket {
  const { clock, windowMs, demand } = options;
  let { bounds } = options;
  let balance = options.startBalance;
  let isAdopted = false;
  /** Part of the capacity that is left to the gateways that are not silent. */
  let { capacity } = bounds;
  /** What this gateway may use while it hears no peer; a started process begins with nothing. */
  let isolatedBalance = 0;
  /** Cost reserved for silent peers that was not yet reported as use. */
  let reserved = 0;
  let updatedAt = clock.now();
  /** Refill per second that this gateway expects from its view. */
  let inflowPerS = 0;
  let view: FleetView | undefined;
  /** Gateways that use the balance: this one and the peers that are not silent. */
  let active = 1;
  /** The same as a fraction of all gateways. */
  let activeShare = 1;
  let lastSilentAt = -Infinity;
  const used = createWindowSum(clock, windowMs);
  const assumptions = new Map<string, Assumption>();

  const isolatedCapacity = (gateways: number): number => bounds.unrefilled / gateways;

  /** Takes the part of the balance that peers which have fallen silent may be using; returns it. */
  const takeSilentPart = (nextActive: number, gateways: number): number => {
    const taken = balance > 0 ? balance * Math.max(0, 1 - nextActive / active) : 0;
    balance -= taken;
    active = nextActive;
    activeShare = active / gateways;
    capacity = bounds.capacity * activeShare;
    return taken;
  };

  const assume = (peer: string, use: number): void => {
    const assumption = assumptions.get(peer) ?? { use: 0, creditable: 0 };
    assumption.use += use;
    assumption.creditable += use;
    assumptions.set(peer, assumption);
  };

  const addToBalance = (amount: number): void => {
    const floor = -(bounds.ratePerS * windowMs) / 1_000;
    balance = Math.max(floor, Math.min(capacity, balance + amount));
  };

  /** Refills the bucket; within `viewMaxAgeMs` of the last refill nothing changes. */
  const advance = (): FleetView => {
    if (view && clock.now() - updatedAt < viewMaxAgeMs) return view;
    view = options.view();
    const { gateways, demands } = view;
    const elapsedS = (clock.now() - updatedAt) / 1_000;
    updatedAt = clock.now();
    const silent = Math.max(0, gateways - 1 - demands.size);
    const reservedPerS = (bounds.ratePerS * silent) / gateways;
    const availablePerS = bounds.ratePerS - reservedPerS;
    let peerDemand = 0;
    for (const peerPerS of demands.values()) peerDemand += peerPerS;
    const share = Math.min(1, availablePerS / Math.max(epsilon, peerDemand + demand.perSecond()));
    inflowPerS = availablePerS - peerDemand * share;
    for (const [peer, peerPerS] of demands) assume(peer, peerPerS * share * elapsedS);
    if (silent > 0) lastSilentAt = clock.now();
    const taken = takeSilentPart(gateways - silent, gateways) + reservedPerS * elapsedS;
    for (const peer of view.silent) assume(peer, taken / Math.max(silent, view.silent.length));
    reserved = Math.min((bounds.ratePerS * windowMs) / 1_000, reserved + taken);
    if (clock.now() - lastSilentAt > reservedHoldMs) reserved = 0;
    const isFull = balance + inflowPerS * elapsedS >= capacity;
    addToBalance(inflowPerS * elapsedS);
    if (isFull) for (const assumption of assumptions.values()) assumption.creditable = 0;
    isolatedBalance = Math.min(
      isolatedCapacity(gateways),
      isolatedBalance + (bounds.ratePerS / gateways) * elapsedS,
    );
    return view;
  };

  /** Balance that admits a request of this cost; undefined when none does at present. */
  const neededFor = (cost: number): number | undefined => {
    const maxDebt = bounds.maxDebt * activeShare;
    if (cost <= capacity + maxDebt) return Math.max(0, cost - maxDebt);
    // A request that no balance covers needs a full bucket and room in the window.
    return used.sum() + cost <= bounds.windowAllowance * activeShare ? capacity : undefined;
  };

  /** Missing amount of `isolatedBalance`; Infinity when the share of one gateway never covers it. */
  const missingInIsolation = (cost: number, gateways: number): number => {
    if (cost > bounds.windowAllowance / gateways) return Infinity;
    return Math.min(cost, isolatedCapacity(gateways)) - isolatedBalance;
  };

  const charge = (cost: number, gateways: number): void => {
    used.add(cost);
    addToBalance(-cost);
    isolatedBalance = Math.max(
      -bounds.windowAllowance / gateways,
      Math.min(isolatedCapacity(gateways), isolatedBalance - cost),
    );
  };

  const waitMs = (missing: number, perS: number): number => {
    const ms = perS > epsilon ? (missing * 1_000) / perS : idleRetryMs;
    return Math.ceil(Math.min(windowMs, Math.max(minRetryMs, ms)));
  };

  return {
    get balance() {
      advance();
      return balance;
    },
    get bounds() {
      return bounds;
    },
    configure(next) {
      advance();
      view = undefined;
      bounds = next;
      advance();
      balance = Math.max(Math.min(balance, capacity), -bounds.unrefilled);
    },
    admit(cost) {
      demand.add(Math.min(cost, bounds.windowAllowance));
      const { gateways, demands } = advance();
      const needed = neededFor(cost);
      if (needed === undefined) return { isAdmitted: false, retryAfterMs: windowMs };
      const missing = needed - balance;
      if (missing > epsilon)
        return { isAdmitted: false, retryAfterMs: waitMs(missing, inflowPerS) };
      if (gateways > 1 && demands.size === 0) {
        const missingAlone = missingInIsolation(cost, gateways);
        if (missingAlone > epsilon) {
          const retryAfterMs = waitMs(missingAlone, bounds.ratePerS / gateways);
          return { isAdmitted: false, retryAfterMs };
        }
      }
      charge(cost, gateways);
      return { isAdmitted: true };
    },
    refund(cost) {
      charge(-cost, advance().gateways);
    },
    adopt(peerBalance) {
      if (isAdopted) return;
      isAdopted = true;
      advance();
      addToBalance(peerBalance - balance);
    },
    report({ peer, use, silentForMs, countedShare, isNewIncarnation }) {
      advance();
      const assumption = assumptions.get(peer) ?? { use: 0, creditable: 0 };
      assumptions.delete(peer);
      const boundedUse = Math.min(use * countedShare, bounds.windowAllowance);
      used.add(boundedUse);
      const assumed = isNewIncarnation ? 0 : assumption.use * countedShare;
      const difference = boundedUse - assumed;
      const wasSilent = silentForMs > 0;
      const unspent = Math.max(0, Math.min(-difference, assumption.creditable));
      const credit = silentForMs < maxCreditedSilenceMs ? unspent : 0;
      if (wasSilent) reserved = Math.max(0, reserved - Math.min(assumed, boundedUse) - credit);
      const covered = wasSilent ? Math.max(0, Math.min(reserved, difference)) : 0;
      reserved -= covered;
      addToBalance(difference > 0 ? covered - difference : credit);
    },
  };
}
