import { type Clock } from '../base/clock.js';
import { isContentId } from './content.js';

/**
 * A crash of a target, with one lost request that may have caused it: its content id and the parts of
 * its prompt that others share.
 */
export interface Sighting {
  readonly targetId: string;
  /** Local monotonic time of the crash. */
  readonly at: number;
  /** Parts that never were in an answered prompt. */
  readonly unanswered: readonly string[];
  /** The other parts, which are less suspicious. */
  readonly answered: readonly string[];
  /** The request was sent after it had been lost in another crash. */
  readonly isLostAgain?: boolean;
}

/** Prompt parts that together explain crashes; a prompt with all of them is expected to crash. */
export interface Accusation {
  /**
   * The accused part with the most crashes, and the parts that were with it in all of them; or the id
   * of one accused content.
   */
  readonly partIds: readonly string[];
  readonly crashes: number;
}

/**
 * Evidence of which prompt parts crash engines. A crash takes along requests of all gateways, of
 * which one is to blame. A part is accused when it was in lost requests of several crashes and no
 * prompt with it was answered since the first of them. Parts that occurred only together are accused together,
 * so that prompts with some of them are still sent and clear the innocent ones.
 *
 * A request may also crash engines by what it shares with no other, so its content id is suspected
 * like a part. It is accused alone, and answers to it before its first crash don't count in its favour: a
 * content that is sent again after crashes has been lost in each of them.
 */
export interface Evidence {
  /** Adds what this process saw; returns the sightings to publish. */
  observeCrash(
    targetId: string,
    prompts: readonly (readonly string[])[],
    lostAgain?: ReadonlySet<string>,
  ): readonly Sighting[];
  /** Number of suspected parts and contents. */
  readonly size: number;
  /** Clears the parts of an answered prompt and its content; returns those that were suspected. */
  observeAnswer(partIds: readonly string[]): readonly string[];
  /** Adds a peer's sighting; returns parts that it calls unanswered and that were answered here. */
  addSighting(sighting: Sighting): readonly string[];
  /** Adds an answer that a peer saw, at a local time; returns true when it clears the part. */
  addAnswer(partId: string, at: number): boolean;
  /** Drops what was seen of the parts, so that only new crashes accuse them. */
  forget(partIds: readonly string[]): void;
  /** Local time of the last answer; undefined when none is known. */
  lastAnswerAt(partId: string): number | undefined;
  /** Accusation of a part; undefined when the evidence does not suffice. */
  accusationOf(partId: string): Accusation | undefined;
}

/**
 * Crashes that accuse a part. Engines also crash for other reasons; a sound part is accused when each
 * of its prompts since its last answer was lost in a crash.
 */
const crashesToAccuse = 2;

/** The same for a part that was answered before. */
const crashesToAccuseAnswered = 4;

/** Reports of the same target within this time are about the same crash; a restart takes longer. */
const sameCrashMs = 1_500;

/**
 * Crashes of several targets within this time count once: they may share a cause, such as power. Those
 * that one request met one after the other count each, because it reached the second target alive.
 */
const commonCauseMs = 50;

/** Evidence of a part is dropped when nothing was added to it for this long. */
const evidenceMaxAgeMs = 3_600_000;

/** Suspected parts and contents in memory, most of which are sound and cleared within seconds. */
const maxRecords = 2_048;

/** Answered parts in memory; the least recently answered ones are dropped. */
const maxAnswered = 16_384;

/** Crashes in memory for one part; the oldest ones are dropped. */
const maxCrashes = 16;

interface CrashOfPart {
  readonly targetId: string;
  readonly at: number;
  /** A request with this content was sent after it had been lost in another crash. */
  isLostAgain: boolean;
  /** Suspected parts of all lost requests with the part; empty for a content. */
  readonly together: Set<string>;
}

interface PartRecord {
  /** The part was answered before its crashes. */
  isAnswered: boolean;
  /** In order of time. */
  readonly crashes: CrashOfPart[];
}

/** Number of crashes, of which those that may share a cause count once. */
function countCrashes({ crashes }: PartRecord): number {
  let count = 0;
  let countedAt = -Infinity;
  for (const { at, isLostAgain } of crashes) {
    if (!isLostAgain && at - countedAt < commonCauseMs) continue;
    count += 1;
    countedAt = at;
  }
  return count;
}

export function createEvidence(clock: Clock): Evidence {
  /** In the order in which evidence was last added. */
  const records = new Map<string, PartRecord>();
  /** Local time of the last answer, in order of time. */
  const answeredAt = new Map<string, number>();

  const dropOldest = (map: Map<string, unknown>, limit: number): void => {
    for (const key of map.keys()) {
      if (map.size <= limit) return;
      map.delete(key);
    }
  };

  const dropStaleRecords = (): void => {
    for (const [partId, { crashes }] of records) {
      if (clock.now() - (crashes.at(-1)?.at ?? -Infinity) < evidenceMaxAgeMs) break;
      records.delete(partId);
    }
  };

  /** Returns true when the part was suspected and no longer is. */
  const clearPart = (partId: string, at: number): boolean => {
    answeredAt.delete(partId);
    answeredAt.set(partId, at);
    dropOldest(answeredAt, maxAnswered);
    const record = records.get(partId);
    if (!record) return false;
    const newestCrashAt = record.crashes.at(-1)?.at ?? -Infinity;
    if (newestCrashAt <= at) return records.delete(partId);
    record.isAnswered = true;
    return false;
  };

  const addToPart = (
    partId: string,
    { targetId, at, isLostAgain = false }: Sighting,
    isAnswered: boolean,
    suspects: readonly string[],
  ): void => {
    const record = records.get(partId) ?? { isAnswered, crashes: [] };
    record.isAnswered ||= isAnswered;
    records.delete(partId);
    records.set(partId, record);
    const { crashes } = record;
    const known = crashes.find(
      (crash) => crash.targetId === targetId && Math.abs(crash.at - at) < sameCrashMs,
    );
    const crash = known ?? { targetId, at, isLostAgain: false, together: new Set<string>() };
    if (isContentId(partId)) crash.isLostAgain ||= isLostAgain;
    else for (const other of suspects) if (!isContentId(other)) crash.together.add(other);
    if (known) return;
    crashes.push(crash);
    crashes.sort((a, b) => a.at - b.at);
    if (crashes.length > maxCrashes) crashes.shift();
  };

  const add = (sighting: Sighting): void => {
    dropStaleRecords();
    const unanswered = sighting.unanswered.filter((id) => !answeredAt.has(id));
    const answered = [...sighting.answered, ...sighting.unanswered].filter(
      (id) => !unanswered.includes(id) && (answeredAt.get(id) ?? -Infinity) < sighting.at,
    );
    for (const partId of unanswered) addToPart(partId, sighting, false, unanswered);
    const suspects = [...unanswered, ...answered];
    for (const partId of answered) addToPart(partId, sighting, true, suspects);
    dropOldest(records, maxRecords);
  };

  const accusationOf = (partId: string): Accusation | undefined => {
    const record = records.get(partId);
    if (!record) return undefined;
    const count = countCrashes(record);
    const isContent = isContentId(partId);
    const isLessSuspicious = record.isAnswered && !isContent;
    if (count < (isLessSuspicious ? crashesToAccuseAnswered : crashesToAccuse)) return undefined;
    if (isContent) return { partIds: [partId], crashes: count };
    const [first, ...others] = record.crashes as [CrashOfPart, ...CrashOfPart[]];
    const isInnocent = (id: string): boolean => {
      const answered = answeredAt.get(id);
      return answered !== undefined && (!record.isAnswered || answered >= first.at);
    };
    const companions = [...first.together].filter(
      (id) => id !== partId && !isInnocent(id) && others.every(({ together }) => together.has(id)),
    );
    return { partIds: [partId, ...companions].sort(), crashes: count };
  };

  return {
    get size() {
      dropStaleRecords();
      return records.size;
    },
    observeCrash(targetId, prompts, lostAgain) {
      const at = clock.now();
      const sightings = prompts
        .filter((partIds) => partIds.length > 0)
        .map((partIds) => ({
          targetId,
          at,
          unanswered: partIds.filter((id) => !answeredAt.has(id)),
          answered: partIds.filter((id) => answeredAt.has(id)),
          isLostAgain: partIds.some((id) => lostAgain?.has(id)),
        }));
      for (const sighting of sightings) add(sighting);
      return sightings;
    },
    observeAnswer(partIds) {
      // Most contents are sent once, so their answers are kept only while they are suspected.
      const kept = partIds.filter((id) => !isContentId(id) || records.has(id));
      return kept.filter((id) => clearPart(id, clock.now()));
    },
    addSighting(sighting) {
      add(sighting);
      return sighting.unanswered.filter((partId) => answeredAt.has(partId));
    },
    addAnswer: (partId, at) => at >= (answeredAt.get(partId) ?? -Infinity) && clearPart(partId, at),
    forget(partIds) {
      for (const partId of partIds) records.delete(partId);
    },
    lastAnswerAt: (partId) => answeredAt.get(partId),
    accusationOf,
  };
}
