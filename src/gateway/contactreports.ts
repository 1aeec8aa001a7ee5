import { type Clock } from '../base/clock.js';
import { type HostPort } from '../base/address.js';
import { hashText } from '../routing/rendezvous.js';
import { type Connections } from './exchange.js';
import { type HintSection, type HintSender } from './peers.js';

/** Server of which gateways tell each other that it sent bytes: a target or a KV store. */
export interface ContactSubject {
  readonly id: string;
  readonly address: HostPort;
  /** Distinguishes two incarnations at one address; 0 for servers without. */
  readonly startedAt: number;
  readonly connections: Pick<Connections, 'heardAt' | 'reportedAt' | 'observeReport'>;
}

export interface ContactReportsOptions {
  readonly clock: Clock;
  subjects(): Iterable<ContactSubject>;
  find(id: string): ContactSubject | undefined;
}

/**
 * Value of the section: the sender's clock in milliseconds, and a flat list of id, tag of the
 * incarnation and age of the contact in units of 10 ms.
 */
interface ContactHint {
  readonly t: number;
  readonly h: readonly (string | number)[];
}

/** Key of the section in the hints. */
export const contactSectionKey = 'a';

const ageUnitMs = 10;

/** Older contacts are no evidence any more; a quarter of it is left for the way. */
const maxAgeMs = 800;

/** A contact is reported only if the newest one that the peers know is older by this. */
const reportIntervalMs = 100;

/** Targets in one hint, about 1.2 KB of its 16; the others are in the next one. */
const maxItems = 48;

const fieldsPerItem = 3;

/** Senders whose clock offset is remembered; the one that was heard first is dropped. */
const maxSenders = 512;

/** Fraction by which two clocks may drift apart. */
const maxClockDrift = 0.001;

/**
 * Least time that a hint is assumed to take. Between data centres it takes 1 ms; the event loops of
 * both sides may be late.
 */
const minTransitMs = 20;

/** Shortest time between two hints with contacts; a reused connection needs one younger than 400 ms. */
const hintIntervalMs = 150;

const tagLength = 5;

/** Text that differs between incarnations and addresses of a target. */
export const contactTag = ({
  address: { host, port },
  startedAt,
}: Pick<ContactSubject, 'address' | 'startedAt'>): string =>
  hashText(`${host}:${port}:${startedAt}`).toString(36).slice(-tagLength);

function readHint(value: unknown): ContactHint | undefined {
  const { t, h } = (value ?? {}) as Partial<Record<keyof ContactHint, unknown>>;
  if (typeof t !== 'number' || !Number.isFinite(t) || !Array.isArray(h)) return undefined;
  return { t, h: h.slice(0, maxItems * fieldsPerItem) as (string | number)[] };
}

/** Least difference of this clock and a sender's, which is the one of the fastest hint. */
interface SenderClock {
  readonly incarnation: number;
  readonly offsetMs: number;
  readonly observedAt: number;
}

/**
 * Creates the section of the hints that tells which targets sent bytes to a gateway a moment ago, so
 * that the others may send requests on idle connections. Only own contacts are reported. A hint that
 * was delayed makes its contacts older: its delay is that beyond the fastest hint of its sender.
 */
export function createContactReports({
  clock,
  subjects,
  find,
}: ContactReportsOptions): HintSection {
  const senders = new Map<string, SenderClock>();
  const sentAt = new WeakMap<ContactSubject['connections'], number>();
  /** Tags by connections, which belong to one address and incarnation. */
  const tags = new WeakMap<ContactSubject['connections'], string>();

  const tagOf = (subject: ContactSubject): string => {
    const tag = tags.get(subject.connections) ?? contactTag(subject);
    tags.set(subject.connections, tag);
    return tag;
  };

  const delayOf = (sender: HintSender, sentTime: number): number => {
    const now = clock.now();
    const known = senders.get(sender.instance);
    const isSameRun = known?.incarnation === sender.incarnation;
    const driftedMs = isSameRun
      ? known.offsetMs + (now - known.observedAt) * maxClockDrift
      : Infinity;
    const offsetMs = Math.min(driftedMs, now - sentTime);
    senders.set(sender.instance, {
      incarnation: sender.incarnation,
      offsetMs,
      observedAt: now,
    });
    if (senders.size > maxSenders) {
      const [first] = senders.keys();
      if (first !== undefined) senders.delete(first);
    }
    return now - sentTime - offsetMs;
  };

  return {
    key: contactSectionKey,
    intervalMs: hintIntervalMs,
    pack() {
      const now = clock.now();
      const items: (string | number)[] = [];
      for (const subject of subjects()) {
        const { connections } = subject;
        const { heardAt, reportedAt } = connections;
        const knownAt = Math.max(reportedAt, sentAt.get(connections) ?? -Infinity);
        if (now - heardAt > maxAgeMs || heardAt - knownAt < reportIntervalMs) continue;
        items.push(subject.id, tagOf(subject), Math.round((now - heardAt) / ageUnitMs));
        sentAt.set(connections, heardAt);
        if (items.length >= maxItems * fieldsPerItem) break;
      }
      return items.length > 0 ? { t: Math.round(now), h: items } : undefined;
    },
    merge(value, sender) {
      const hint = readHint(value);
      if (!hint) return;
      const delayMs = minTransitMs + delayOf(sender, hint.t);
      for (let index = 0; index + fieldsPerItem <= hint.h.length; index += fieldsPerItem) {
        const [id, tag, age] = hint.h.slice(index, index + fieldsPerItem);
        if (typeof id !== 'string' || typeof age !== 'number') continue;
        const ageMs = age * ageUnitMs;
        if (!(ageMs >= 0 && ageMs <= maxAgeMs)) continue;
        const subject = find(id);
        if (subject && tagOf(subject) === tag)
          subject.connections.observeReport(clock.now() - ageMs - delayMs);
      }
    },
  };
}
