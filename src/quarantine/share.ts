import { type Clock } from '../base/clock.js';
import { type Evidence, type Sighting } from './evidence.js';

/** Evidence in a hint. Times are ages in milliseconds, because the clocks of gateways differ. */
export interface EvidenceHint {
  /** Crashed target, age of the crash, parts that never were answered, other parts. */
  readonly s: readonly (readonly [string, number, readonly string[], readonly string[]])[];
  /** Part and age of an answer to a prompt with it. */
  readonly a: readonly (readonly [string, number])[];
}

/** Exchanges evidence with the peers. Adding the same evidence again changes nothing. */
export interface EvidenceShare {
  publishSightings(sightings: readonly Sighting[]): void;
  publishAnswers(partIds: readonly string[]): void;
  /** Evidence for the next hint; undefined when there is none. */
  pack(): EvidenceHint | undefined;
  /** Adds a peer's evidence. */
  merge(hint: EvidenceHint): MergedEvidence;
}

/** Parts that a peer's evidence was about. */
export interface MergedEvidence {
  readonly suspected: readonly string[];
  /** Parts that were suspected here until a peer reported an answer. */
  readonly cleared: readonly string[];
}

export interface EvidenceShareOptions {
  readonly clock: Clock;
  readonly evidence: Evidence;
  /** Schedules a hint. */
  requestHint(): void;
}

/** Evidence is repeated in all hints of this time, of which any may be lost; two a second at least. */
const repeatMs = 4_000;

/** Items in one hint, which keep it below 6 KB; the newest ones are sent. */
const maxItems = 32;

/** Longest accepted part id, in characters; longer ones are never published by a gateway. */
const maxIdLength = 64;

interface Timed<T> {
  readonly until: number;
  readonly item: T;
}

const areIds = (value: unknown): value is readonly string[] =>
  Array.isArray(value) &&
  value.every((id) => typeof id === 'string' && id.length > 0 && id.length <= maxIdLength);

const isAge = (value: unknown): value is number => typeof value === 'number' && value >= 0;

/** Checks evidence from the network. */
export function isEvidenceHint(value: unknown): value is EvidenceHint {
  const { s: sightings, a: answers } = (value ?? {}) as Partial<EvidenceHint>;
  if (!Array.isArray(sightings) || !Array.isArray(answers)) return false;
  return (
    sightings.every(
      (item) =>
        Array.isArray(item) &&
        typeof item[0] === 'string' &&
        isAge(item[1]) &&
        areIds(item[2]) &&
        areIds(item[3]),
    ) && answers.every((item) => Array.isArray(item) && areIds([item[0]]) && isAge(item[1]))
  );
}

export function createEvidenceShare(options: EvidenceShareOptions): EvidenceShare {
  const { clock, evidence } = options;
  let sightings: readonly Timed<Sighting>[] = [];
  let answers: ReadonlyMap<string, Timed<number>> = new Map();

  const publishAnswers = (partIds: readonly string[]): void => {
    if (partIds.length === 0) return;
    const next = new Map(answers);
    for (const partId of partIds) {
      next.delete(partId);
      const at = evidence.lastAnswerAt(partId);
      if (at !== undefined) next.set(partId, { until: clock.now() + repeatMs, item: at });
    }
    answers = new Map([...next].slice(-maxItems));
    options.requestHint();
  };

  const ageOf = (at: number): number => Math.max(0, Math.round(clock.now() - at));

  return {
    publishSightings(added) {
      if (added.length === 0) return;
      const until = clock.now() + repeatMs;
      sightings = [...sightings, ...added.map((item) => ({ until, item }))].slice(-maxItems);
      options.requestHint();
    },
    publishAnswers,
    pack() {
      const isFresh = ({ until }: Timed<unknown>): boolean => until > clock.now();
      sightings = sightings.filter(isFresh);
      answers = new Map([...answers].filter(([, answer]) => isFresh(answer)));
      if (sightings.length === 0 && answers.size === 0) return undefined;
      return {
        s: sightings.map(({ item }) => [
          item.targetId,
          ageOf(item.at),
          item.unanswered,
          item.answered,
        ]),
        a: [...answers].map(([partId, { item }]) => [partId, ageOf(item)]),
      };
    },
    merge(hint) {
      const now = clock.now();
      const soundHere = new Set<string>();
      for (const [targetId, ageMs, unanswered, answered] of hint.s) {
        const sound = evidence.addSighting({ targetId, at: now - ageMs, unanswered, answered });
        for (const partId of sound) if (!answers.has(partId)) soundHere.add(partId);
      }
      publishAnswers([...soundHere]);
      const cleared = hint.a.filter(([partId, ageMs]) => evidence.addAnswer(partId, now - ageMs));
      return {
        suspected: hint.s.flatMap(([, , unanswered, answered]) => [...unanswered, ...answered]),
        cleared: cleared.map(([partId]) => partId),
      };
    },
  };
}
