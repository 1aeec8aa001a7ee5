/** What is known of an idle connection and its target when a request could be sent on it. */
export interface ReuseFacts {
  /** Time since the last response on this connection ended, in milliseconds. */
  readonly idleMs: number;
  /** Time after which the target closes idle connections, as it states; undefined when it does not. */
  readonly statedTimeoutMs: number | undefined;
  /** Shortest idle time after which the target closed a connection lately; Infinity when unknown. */
  readonly closedAfterMs: number;
  /** Longest idle time after which a connection to a target of the service worked; 0 if unknown. */
  readonly workedAfterMs: number;
  /** Time since this process last received bytes from the target, or it accepted a connection. */
  readonly ownContactMs: number;
  /** Time since another gateway received bytes from this incarnation of the target. */
  readonly fleetContactMs: number;
  /** Time since this process last received bytes from any target in that data centre. */
  readonly pathContactMs: number;
  /** A request on a reused connection to the target has had no byte, so only own contacts count. */
  readonly isSuspect: boolean;
}

/** `repeatable`: the request may run again at another target. `once`: it is lost if its connection is. */
export type RequestRisk = 'repeatable' | 'once';

/**
 * Age of the last contact up to which a target counts as up. The host of a target may have been lost
 * since; a repeatable request then costs a retry, another one is lost. 400 ms is the limit that held
 * for all requests when each gateway knew its own contacts only.
 */
const contactWindowMs: Readonly<Record<RequestRisk, number>> = { repeatable: 1_000, once: 400 };

/** Longest idle time, if the target states none. */
export const maxIdleMs = 15_000;

/**
 * Idle time after which a request that can't be repeated is sent on a connection of a target that
 * states no timeout and has not shown a longer one; servers' defaults are 5 s and more.
 */
const cautiousIdleMs = 2_000;

/** Fraction of an observed idle time that is used, because targets check their timers coarsely. */
const observedFraction = 0.8;

/**
 * Margin before the time that the target states: network and event loops delay both sides. Timeouts
 * are whole seconds, so short ones get a fifth.
 */
const closeMarginMs = 1_000;

const closeMarginFraction = 0.2;

/** Margins that are kept, by risk. */
const marginFactor: Readonly<Record<RequestRisk, number>> = { repeatable: 1, once: 2 };

/** Largest timeout in seconds that is read; larger ones are longer than `maxIdleMs` anyway. */
const maxTimeoutDigits = 6;

/** Reads the timeout of a `Keep-Alive` header in milliseconds; undefined when it states none. */
export function readKeepAliveMs(header: string | undefined): number | undefined {
  const digits = header && /(?:^|[\s,;])timeout\s*=\s*"?(\d+)/i.exec(header)?.[1];
  if (!digits) return undefined;
  return digits.length > maxTimeoutDigits ? Infinity : Number(digits) * 1_000;
}

/** Idle time up to which a connection may be reused, in milliseconds. */
export function idleLimitMs(
  {
    statedTimeoutMs,
    closedAfterMs,
    workedAfterMs,
  }: Pick<ReuseFacts, 'statedTimeoutMs' | 'closedAfterMs' | 'workedAfterMs'>,
  risk: RequestRisk,
): number {
  const observedMs = closedAfterMs * observedFraction;
  if (statedTimeoutMs !== undefined) {
    const marginMs = Math.min(closeMarginMs, statedTimeoutMs * closeMarginFraction);
    return Math.min(maxIdleMs, observedMs, statedTimeoutMs - marginMs * marginFactor[risk]);
  }
  if (risk === 'repeatable') return Math.min(maxIdleMs, observedMs);
  return Math.min(
    maxIdleMs,
    observedMs,
    Math.max(cautiousIdleMs, workedAfterMs * observedFraction),
  );
}

/**
 * Age of the newest contact that counts as evidence that the target is up, in milliseconds. Contacts
 * of other gateways count only while this process hears from targets in the same data centre,
 * because it may be cut off from them itself.
 */
export function evidenceAgeMs({
  ownContactMs,
  fleetContactMs,
  pathContactMs,
  isSuspect,
}: Pick<ReuseFacts, 'ownContactMs' | 'fleetContactMs' | 'pathContactMs' | 'isSuspect'>): number {
  if (isSuspect) return ownContactMs;
  return Math.min(ownContactMs, Math.max(fleetContactMs, pathContactMs));
}

/**
 * Decides whether a request may be sent on an idle connection instead of a new one, which takes a
 * round trip and proves that the host is up. Load: 30 gateways with 7 requests/s each on 40 targets,
 * where a gateway uses each target every 6 s and all gateways together use it every 0.2 s.
 */
export function mayReuse(facts: ReuseFacts, risk: RequestRisk): boolean {
  return facts.idleMs < idleLimitMs(facts, risk) && evidenceAgeMs(facts) < contactWindowMs[risk];
}
