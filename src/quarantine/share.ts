import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { isContentId } from './content.js';
import { type Evidence, type Sighting } from './evidence.js';

/** Evidence in a hint. Times are ages in milliseconds, because the clocks of gateways differ. */
export interface EvidenceHint {
  /**
   * Crashed target, age of the crash, contents and parts that never were answered, others, and 1 if the
   * request had been lost in another crash before; the last one may be absent.
   */
  readonly s: readonly (readonly [string, number, readonly string[], readonly string[], number?])[];
  /** Part and age of an answer to a prompt with it. */
  readonly a: readonly (readonly [string, number])[];
}

/** Exchanges evidence with the peers. Adding the same evidence again changes nothing. */
export interface EvidenceShare extends Disposable {
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

/**
 * Time from one hint with an item to the next, for the hints that repeat it within three seconds. At
 * least one arrives unless a peer is cut off; the store has the result for that peer.
 */
const repeatDelaysMs: readonly number[] = [150, 250, 250, 250, 250, 250, 500, 500, 500];

/** Items that wait to be repeated; the most telling ones are kept. */
const maxItems = 64;

/** Characters of part ids in one hint, which stays below 8 KB with everything else in it. */
const maxHintChars = 3_000;

/** Longest accepted part id, in characters; longer ones are never published by a gateway. */
const maxIdLength = 64;

interface Repeated<T> {
  readonly item: T;
  readonly sends: number;
  readonly dueAt: number;
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

const charsOf = (ids: readonly string[]): number =>
  ids.reduce((total, id) => total + id.length + 3, 0);

export function createEvidenceShare(options: EvidenceShareOptions): EvidenceShare {
  const { clock, evidence, requestHint } = options;
  let sightings: readonly Repeated<Sighting>[] = [];
  let answers: readonly Repeated<string>[] = [];
  let timer: Disposable | undefined;

  const isNew = (partId: string): boolean => !answers.some(({ item }) => item === partId);

  const publishAnswers = (partIds: readonly string[]): void => {
    if (partIds.length === 0) return;
    const kept = answers.filter(({ item }) => !partIds.includes(item));
    const added = partIds.map((item) => ({ item, sends: 0, dueAt: clock.now() }));
    answers = [...kept, ...added].slice(-maxItems);
    requestHint();
  };

  const ageOf = (at: number): number => Math.max(0, Math.round(clock.now() - at));

  const packSighting = (sighting: Sighting): EvidenceHint['s'][number] => {
    const { targetId, at, unanswered, answered, isLostAgain } = sighting;
    if (isLostAgain) return [targetId, ageOf(at), unanswered, answered, 1];
    return [targetId, ageOf(at), unanswered, answered];
  };

  /** Splits off the items that are due and fit into the hint, those that were sent least first. */
  const takeDue = <T>(
    items: readonly Repeated<T>[],
    fits: (item: T) => boolean,
  ): { readonly due: readonly T[]; readonly rest: readonly Repeated<T>[] } => {
    const due: T[] = [];
    const rest: Repeated<T>[] = [];
    for (const repeated of [...items].sort((a, b) => a.sends - b.sends)) {
      const { item, sends, dueAt } = repeated;
      if (dueAt > clock.now() || !fits(item)) {
        rest.push(repeated);
        continue;
      }
      due.push(item);
      const delayMs = repeatDelaysMs[sends];
      if (delayMs !== undefined)
        rest.push({ item, sends: sends + 1, dueAt: clock.now() + delayMs });
    }
    return { due, rest };
  };

  return {
    publishSightings(added) {
      if (added.length === 0) return;
      const items = added.map((item) => ({ item, sends: 0, dueAt: clock.now() }));
      const all = [...sightings, ...items];
      const isTelling = ({ item }: Repeated<Sighting>): boolean =>
        item.unanswered.some((id) => !isContentId(id));
      const telling = all.filter(isTelling).slice(-maxItems);
      const others = all.filter((repeated) => !isTelling(repeated));
      sightings = [...telling, ...others.slice(0, maxItems - telling.length)];
      requestHint();
    },
    publishAnswers,
    pack() {
      let chars = 0;
      const fits = (ids: readonly string[]): boolean => {
        chars += charsOf(ids);
        return chars <= maxHintChars;
      };
      const dueAnswers = takeDue(answers, (partId) => fits([partId]));
      const dueSightings = takeDue(sightings, ({ targetId, unanswered, answered }) =>
        fits([targetId, ...unanswered, ...answered]),
      );
      answers = dueAnswers.rest;
      sightings = dueSightings.rest;
      const nextAt = Math.min(...[...answers, ...sightings].map(({ dueAt }) => dueAt));
      timer?.dispose();
      if (nextAt < Infinity) timer = clock.setTimer(nextAt - clock.now(), requestHint);
      if (dueAnswers.due.length + dueSightings.due.length === 0) return undefined;
      return {
        s: dueSightings.due.map(packSighting),
        a: dueAnswers.due.map((partId) => [
          partId,
          ageOf(evidence.lastAnswerAt(partId) ?? clock.now()),
        ]),
      };
    },
    merge(hint) {
      const now = clock.now();
      const soundHere = new Set<string>();
      for (const [targetId, ageMs, unanswered, answered, again] of hint.s) {
        const sound = evidence.addSighting({
          targetId,
          at: now - ageMs,
          unanswered,
          answered,
          isLostAgain: again === 1,
        });
        for (const partId of sound) if (isNew(partId)) soundHere.add(partId);
      }
      publishAnswers([...soundHere]);
      const cleared = hint.a.filter(([partId, ageMs]) => evidence.addAnswer(partId, now - ageMs));
      return {
        suspected: hint.s.flatMap(([, , unanswered, answered]) => [...unanswered, ...answered]),
        cleared: cleared.map(([partId]) => partId),
      };
    },
    dispose: () => timer?.dispose(),
  };
}
