import { type Clock } from '../base/clock.js';

/** A crash of a target, with the prompt parts of one lost request that may have caused it. */
export interface Sighting {
  readonly targetId: string;
  /** Local monotonic time of the crash. */
  readonly at: number;
  /** Parts that never were in an answered prompt. */
  readonly unanswered: readonly string[];
  /** The other parts, which are less suspicious. */
  readonly answered: readonly string[];
}

/** Prompt parts that together explain crashes; a prompt with all of them is expected to crash. */
export interface Accusation {
  /** The accused part with the most crashes, and the parts that were with it in all of them. */
  readonly partIds: readonly string[];
  readonly crashes: number;
}

/**
 * Evidence of which prompt parts crash engines. A crash takes along requests of all gateways, of
 * which one is to blame. A part is accused when it was in lost requests of several crashes and no
 * prompt with it was answered since the first of them. Parts that occurred only together are accused together,
 * so that prompts with some of them are still sent and clear the innocent ones.
 */
export interface Evidence {
  /** Adds what this process saw; returns the sightings to publish. */
  observeCrash(targetId: string, prompts: readonly (readonly string[])[]): readonly Sighting[];
  /** Clears the parts of an answered prompt; returns those that were suspected. */
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

/** The same for a part that was answered before: its content has not changed since. */
const crashesToAccuseAnswered = 4;

/** Reports of the same target within this time are about the same crash; a restart takes longer. */
const sameCrashMs = 1_500;

/** Crashes of several targets within this time count once: they may share a cause, such as power. */
const commonCauseMs = 50;

/** Evidence of a part is dropped when nothing was added to it for this long. */
const evidenceMaxAgeMs = 3_600_000;

/** Suspected parts in memory, most of which are sound and cleared within seconds. */
const maxRecords = 1_024;

/** Answered parts in memory; the least recently answered ones are dropped. */
const maxAnswered = 16_384;

/** Crashes in memory for one part; the oldest ones are dropped. */
const maxCrashes = 16;

interface CrashOfPart {
  readonly targetId: string;
  readonly at: number;
  /** Suspected parts of all lost requests with the part. */
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
  for (const { at } of crashes) {
    if (at - countedAt < commonCauseMs) continue;
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
    dropOldest(records, maxRecords);
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
    { targetId, at }: Sighting,
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
    const crash = known ?? { targetId, at, together: new Set<string>() };
    for (const other of suspects) crash.together.add(other);
    if (known) return;
    crashes.push(crash);
    crashes.sort((a, b) => a.at - b.at);
    if (crashes.length > maxCrashes) crashes.shift();
  };

  const add = (sighting: Sighting): void => {
    const unanswered = sighting.unanswered.filter((id) => !answeredAt.has(id));
    const answered = [...sighting.answered, ...sighting.unanswered].filter(
      (id) => !unanswered.includes(id) && (answeredAt.get(id) ?? -Infinity) < sighting.at,
    );
    for (const partId of unanswered) addToPart(partId, sighting, false, unanswered);
    const suspects = [...unanswered, ...answered];
    for (const partId of answered) addToPart(partId, sighting, true, suspects);
    dropStaleRecords();
  };

  const accusationOf = (partId: string): Accusation | undefined => {
    const record = records.get(partId);
    if (!record) return undefined;
    const count = countCrashes(record);
    if (count < (record.isAnswered ? crashesToAccuseAnswered : crashesToAccuse)) return undefined;
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
    observeCrash(targetId, prompts) {
      const at = clock.now();
      const sightings = prompts
        .filter((partIds) => partIds.length > 0)
        .map((partIds) => ({
          targetId,
          at,
          unanswered: partIds.filter((id) => !answeredAt.has(id)),
          answered: partIds.filter((id) => answeredAt.has(id)),
        }));
      for (const sighting of sightings) add(sighting);
      return sightings;
    },
    observeAnswer: (partIds) => partIds.filter((partId) => clearPart(partId, clock.now())),
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
