import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type HintSection } from '../gateway/peers.js';
import { type RateLimit, type TeamSpec } from '../ports/site.js';
import { type CallerHead } from '../ports/wire.js';
import { boundsOf, costOf, type RateTolerance } from './bounds.js';
import { createDemand, type Demand } from './demand.js';
import { createFleetBucket, type FleetBucket } from './fleetbucket.js';
import { createPeerUse, maxTeams, type TeamUse, type UseHint } from './peeruse.js';

/** Decision on one request of a team that has a limit. */
export interface RateDecision {
  readonly isAdmitted: boolean;
  /** Time until a request of this cost would be admitted here, in milliseconds; 0 if it is. */
  readonly retryAfterMs: number;
  /** Inputs of the decision, for the log line of the request. */
  readonly logFields: Readonly<Record<string, number | undefined>>;
  /** Takes back the cost of an admitted request that no target ran. Only the first call counts. */
  refund(): void;
}

/** What becomes of a cost, for the metrics. */
export type RateOutcome = 'admitted' | 'rejected' | 'refunded';

/** Rate limits of the teams over all gateways together. */
export interface TeamRates extends Disposable {
  /** Section of the hints that carries this gateway's use to its peers. */
  readonly section: HintSection;
  /** Applies the limits of a configuration; use before it still counts. */
  configure(teams: readonly TeamSpec[]): void;
  /** Charges a request to its team; undefined when the team has no limit. */
  admit(
    team: Pick<TeamSpec, 'name'>,
    head: Pick<CallerHead, 'promptTokens' | 'maxOutputTokens'>,
  ): RateDecision | undefined;
  /** Share of the allowance in use by team: 0 after a time without use, 1 and above at the limit. */
  usedShares(): ReadonlyMap<string, number>;
}

export interface TeamRatesOptions {
  readonly clock: Clock;
  readonly tolerance: RateTolerance;
  /** Gateways that share the limits, at least 1; undefined while that is not known. */
  gatewayCount(): number | undefined;
  /** Called when the peers should learn of use at this gateway. */
  requestHint(): void;
  onOutcome(team: string, unit: RateLimit['unit'], outcome: RateOutcome, cost: number): void;
}

/**
 * Gateways that are assumed to share the limits while their number is not known, which lasts until
 * the first read of the store; twice the largest fleet in docs/design/overview.md.
 */
const assumedGateways = 64;

/**
 * Time between two hints without traffic. Without them idle peers would count as silent, and a part
 * of the limit would be reserved for each of them.
 */
const heartbeatMs = 250;

/** Shortest time between two hints with use while there is traffic. */
const hintIntervalMs = 125;

/** Time for which changed use is repeated in each hint, about six hints of a large fleet. */
const repeatMs = 500;

/** Time between two full lists, which a gateway needs from each peer after its start. */
const fullListMs = 250;

/** Demand per second below which a team is left out of the hints. */
const minDemandPerS = 0.01;

/**
 * Part of the rate that a process owes at its start, as a time: all gateways may have been restarted
 * at once with a debt that is forgotten, and hear each other only after a heartbeat and the delay of
 * a hint. A gateway whose peers run on takes over their balance instead.
 */
const startDebtMs = 500;

/** One team under its limit. The key also names the unit, because counters of two units differ. */
interface LimitedTeam {
  readonly key: string;
  readonly limit: RateLimit;
  readonly bucket: FleetBucket;
  readonly demand: Demand;
}

const keyOf = (name: string, { unit }: RateLimit): string =>
  `${unit === 'tokens' ? 't' : 'r'}:${name}`;

export function createTeamRates(options: TeamRatesOptions): TeamRates {
  const { clock, tolerance, onOutcome } = options;
  const startedAt = clock.now();
  let byName = new Map<string, LimitedTeam>();
  let byKey = new Map<string, LimitedTeam>();
  /** Cost that this process has admitted, and when that last changed; kept for removed limits. */
  const own = new Map<string, { used: number; changedAt: number }>();
  let fullListAt = -Infinity;
  let heartbeat: Disposable | undefined;

  const peers = createPeerUse({
    clock,
    windowMs: tolerance.windowMs,
    limited: () => byKey,
    onReport: (key, report) => byKey.get(key)?.bucket.report(report),
    onBalance: (key, balance) => byKey.get(key)?.bucket.adopt(balance),
  });

  const createTeam = (key: string, limit: RateLimit): LimitedTeam => {
    const demand = createDemand(clock);
    const bounds = boundsOf(limit, tolerance);
    // A limit that is new to a fleet in service has not been used yet.
    const isInService = clock.now() - startedAt > tolerance.windowMs;
    const startDebt = (limit.ratePerS * startDebtMs) / 1_000;
    const bucket = createFleetBucket({
      clock,
      windowMs: tolerance.windowMs,
      bounds,
      startBalance: isInService ? bounds.capacity : -startDebt,
      demand,
      view: () => ({
        gateways: options.gatewayCount() ?? Math.max(assumedGateways, peers.size + 1),
        demands: peers.demands(key),
        silent: peers.silent(),
      }),
    });
    return { key, limit, bucket, demand };
  };

  const addUse = (key: string, cost: number): void => {
    own.set(key, { used: (own.get(key)?.used ?? 0) + cost, changedAt: clock.now() });
    options.requestHint();
  };

  /** Drops counters of teams without a limit once there are too many. */
  const pruneCounters = (): void => {
    if (own.size <= maxTeams) return;
    for (const key of own.keys()) if (!byKey.has(key)) own.delete(key);
  };

  const beat = (): void => {
    options.requestHint();
    heartbeat = clock.setTimer(heartbeatMs, beat);
  };

  const pack = (): UseHint | undefined => {
    if (byKey.size === 0) return undefined;
    const now = clock.now();
    const isFull = now - fullListAt >= fullListMs;
    if (isFull) fullListAt = now;
    const uses: TeamUse[] = [];
    for (const { key, demand, bucket } of byKey.values()) {
      const { used, changedAt } = own.get(key) ?? { used: 0, changedAt: -Infinity };
      const isListed = isFull && (used > 0 || demand.perSecond() > minDemandPerS);
      if (!isListed && now - changedAt > repeatMs) continue;
      const demandPerS = Math.round(demand.perSecond() * 100) / 100;
      uses.push([key, used, demandPerS, Math.round(bucket.balance * 100) / 100]);
    }
    return { a: Math.round(now - startedAt), f: isFull ? 1 : 0, u: uses };
  };

  return {
    section: {
      key: 't',
      intervalMs: hintIntervalMs,
      pack,
      merge: (value, sender) => peers.merge(value, sender),
    },
    configure(teams) {
      const next = new Map<string, LimitedTeam>();
      for (const { name, rateLimit } of teams) {
        if (!rateLimit) continue;
        const key = keyOf(name, rateLimit);
        const known = byKey.get(key);
        known?.bucket.configure(boundsOf(rateLimit, tolerance));
        next.set(name, known ? { ...known, limit: rateLimit } : createTeam(key, rateLimit));
      }
      byName = next;
      byKey = new Map([...next.values()].map((team) => [team.key, team]));
      pruneCounters();
      heartbeat?.dispose();
      heartbeat = undefined;
      if (byKey.size > 0) beat();
    },
    admit({ name }, head) {
      const team = byName.get(name);
      if (!team) return undefined;
      const { key, bucket, limit } = team;
      const cost = costOf(limit, head);
      const decision = bucket.admit(cost);
      onOutcome(name, limit.unit, decision.isAdmitted ? 'admitted' : 'rejected', cost);
      const retryAfterMs = decision.isAdmitted ? 0 : decision.retryAfterMs;
      if (decision.isAdmitted) addUse(key, cost);
      let isRefundable = decision.isAdmitted;
      return {
        isAdmitted: decision.isAdmitted,
        retryAfterMs,
        logFields: {
          rateCost: cost,
          rateBalance: Math.round(bucket.balance),
          ratePeers: peers.demands(key).size,
          rateViewAgeMs: Math.round(peers.viewAgeMs()),
          rateRetryAfterMs: retryAfterMs || undefined,
        },
        refund() {
          if (!isRefundable) return;
          isRefundable = false;
          byKey.get(key)?.bucket.refund(cost);
          addUse(key, -cost);
          onOutcome(name, limit.unit, 'refunded', cost);
        },
      };
    },
    usedShares() {
      const shares = new Map<string, number>();
      for (const [name, { bucket }] of byName)
        shares.set(name, 1 - bucket.balance / Math.max(1, bucket.bounds.capacity));
      return shares;
    },
    dispose() {
      heartbeat?.dispose();
    },
  };
}
