import { type Clock } from '../base/clock.js';
import { type HintSection } from './peers.js';

/** Counts requests of a service by priority, of all gateways, and which of them are late. */
export interface DeferralPressure {
  /** Records a request that was answered, deferred or refused. */
  observe(service: string, priority: number, isLate: boolean): void;
  /** Fraction of the recent requests of the service that are more urgent, and late. */
  lateShare(service: string, priority: number): number;
  /** Counts of this process for the hints; undefined when there are none. */
  pack: HintSection['pack'];
  /** Applies the value of a peer's hint, which has not been checked. */
  merge: HintSection['merge'];
}

/** Time constant of the counts: a burst begins within a second and lasts for some. */
const timeConstantMs = 1_000;

/** Counts of a peer that sends nothing for longer are ignored, as its other counts are. */
const maxAgeMs = 1_600;

/** Requests on time that are assumed in addition, so that a single late one closes nothing. */
const assumedOnTime = 4;

/** Peers whose counts are stored, and classes of one peer; further ones are ignored. */
const maxPeers = 1_024;

const maxClasses = 64;

/** Smaller counts are forgotten. */
const minCount = 0.05;

/** Service, priority, decayed number of requests, and of late ones. */
type ClassCount = readonly [service: string, priority: number, total: number, late: number];

interface PeerCounts {
  readonly counts: readonly ClassCount[];
  readonly receivedAt: number;
}

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && value >= 0 && value < 1e6;

function isClassCount(raw: unknown): raw is ClassCount {
  if (!Array.isArray(raw)) return false;
  const [service, priority, total, late] = raw as unknown[];
  if (typeof service !== 'string' || !isCount(priority)) return false;
  return isCount(total) && isCount(late) && late <= total;
}

const round = (value: number): number => Math.round(value * 100) / 100;

export function createDeferralPressure(clock: Clock): DeferralPressure {
  let own: readonly ClassCount[] = [];
  let decayedAt = clock.now();
  const peers = new Map<string, PeerCounts>();

  const decay = (): void => {
    const factor = Math.exp((decayedAt - clock.now()) / timeConstantMs);
    decayedAt = clock.now();
    if (factor === 1) return;
    own = own.flatMap(([service, priority, total, late]): ClassCount[] =>
      total * factor < minCount ? [] : [[service, priority, total * factor, late * factor]],
    );
  };

  return {
    observe(service, priority, isLate) {
      decay();
      const known = own.find(([name, index]) => name === service && index === priority);
      const [, , total, late] = known ?? [service, priority, 0, 0];
      const others = own.filter((count) => count !== known).slice(0, maxClasses - 1);
      own = [...others, [service, priority, total + 1, late + (isLate ? 1 : 0)]];
    },
    lateShare(service, priority) {
      decay();
      let total = assumedOnTime;
      let late = 0;
      const add = (counts: readonly ClassCount[], factor: number): void => {
        for (const [name, index, count, lateCount] of counts) {
          if (name !== service || index >= priority) continue;
          total += count * factor;
          late += lateCount * factor;
        }
      };
      add(own, 1);
      for (const { counts, receivedAt } of peers.values()) {
        const ageMs = clock.now() - receivedAt;
        if (ageMs <= maxAgeMs) add(counts, Math.exp(-ageMs / timeConstantMs));
      }
      return late / total;
    },
    pack() {
      decay();
      if (own.length === 0) return undefined;
      return own.map(([service, priority, total, late]) => [
        ...[service, priority],
        ...[round(total), round(late)],
      ]);
    },
    merge(value, { instance }) {
      if (!Array.isArray(value) || (peers.size >= maxPeers && !peers.has(instance))) return;
      const counts = value.slice(0, maxClasses).filter(isClassCount);
      peers.set(instance, { counts, receivedAt: clock.now() });
    },
  };
}
