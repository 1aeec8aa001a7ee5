import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type RowChange } from '../configuration/watch.js';
import { type Row } from '../ports/rows.js';
import { type TablePort } from '../ports/table.js';
import { type StoreEras } from '../storeera/eras.js';
import { eraOf } from '../storeera/version.js';
import { idsOf, type RequestContent } from './content.js';
import { type Evidence } from './evidence.js';
import {
  decodeRow,
  encodeRow,
  holds,
  includesAll,
  isTooBroad,
  isQuarantineKey,
  quarantineKey,
  type QuarantineRow,
} from './row.js';
import { createRowWriter } from './rowwriter.js';
import { type EvidenceShare } from './share.js';
import { createWaitingRequests } from './waiting.js';

/** Why a request is not sent. */
export interface Quarantined {
  readonly partIds: readonly string[];
  readonly crashes: number;
  /** Time until a trial may be made; undefined when no more are due. */
  readonly retryAfterMs: number | undefined;
}

/**
 * Keeps requests from the engines that have crashed several of them: prompts by their parts, and any request by its content. All gateways share the evidence
 * through hints and the result through the store, where it outlasts every process. The load that it
 * answers is one of a few requests a second of which each takes an engine with all its streams along.
 */
export interface Quarantine {
  /** Returns undefined when the request may be sent. */
  find(content: RequestContent): Quarantined | undefined;
  /**
   * Claims the right to send one quarantined prompt, which tells whether its parts still crash
   * engines. Of all gateways one gets it, and only when a trial is due.
   */
  claimTrial(held: Quarantined, token: CancellationToken): Promise<boolean>;
  /** Calls `recall` when the prompt is quarantined while its request waits at an engine. */
  trackWaiting(content: RequestContent, recall: () => void): Disposable;
  observeAnswer(content: RequestContent): void;
  /**
   * Records what one crash took along. `lostAgain` holds the content ids of requests that an earlier
   * crash had taken along too.
   */
  observeCrash(
    targetId: string,
    contents: readonly RequestContent[],
    lostAgain?: ReadonlySet<string>,
  ): void;
  /** Rechecks parts to which the evidence of a peer was added. */
  recheck(partIds: readonly string[]): void;
  /** Releases the parts; a peer saw an answer to a prompt with each. */
  release(partIds: readonly string[]): void;
  /** Applies rows of the system's own table; ignores those of other features. */
  observeRows(change: Pick<RowChange, 'rows' | 'isSnapshot'>): void;
  /** Number of quarantined combinations of parts. */
  readonly size: number;
}

export interface QuarantineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly eras: Pick<StoreEras, 'current'>;
  readonly evidence: Evidence;
  readonly share: Pick<EvidenceShare, 'publishSightings' | 'publishAnswers'>;
  /** Time without a change after which a quarantine is lifted. */
  readonly holdMs: number;
  readonly token: CancellationToken;
}

/**
 * Time before each trial, counted from the quarantine or the trial before. A trial of a part that
 * does crash engines costs one with all its streams, so there are three in all and they get rarer.
 * After the last one only operators or the end of the hold time lift the quarantine.
 */
const trialDelaysMs: readonly number[] = [5_000, 60_000, 600_000];

/** Quarantined combinations; beyond it, the oldest one is lifted. Operators see only a few at a time. */
const maxEntries = 1_000;

/** Lifted combinations that are remembered for a restore of the store; the oldest one is forgotten. */
const maxLifted = 1_000;

/** End of a quarantine that a copy of the store may still have. */
interface Lifted {
  /** Era of the store in which it was lifted. */
  readonly era: number;
  /** Version under which the copy has it; undefined while that is not known. */
  readonly copyVersion?: number;
}

interface Entry {
  readonly row: QuarantineRow;
  /** Version in the store; undefined while this process's change has not come back from there. */
  readonly version: number | undefined;
  /** When this process last observed a change of the entry. */
  readonly changedAt: number;
}

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { clock, random, log, table, eras, evidence, share, token } = options;
  const entries = new Map<string, Entry>();
  const lifted = new Map<string, Lifted>();
  /** Era of the newest snapshot. */
  let snapshotEra = eras.current;
  const waiting = createWaitingRequests();
  const rowWriter = createRowWriter(options);
  const claiming = new Set<string>();

  const trialInMs = ({ row, version, changedAt }: Entry): number | undefined => {
    const delayMs = trialDelaysMs[row.trials];
    if (delayMs === undefined || version === undefined) return undefined;
    return Math.max(0, changedAt + delayMs - clock.now());
  };

  /** Lifts a quarantine in this process and, if `isWriter`, in the store. */
  const lift = (key: string, reason: string, isWriter: boolean): void => {
    const entry = entries.get(key);
    if (!entry) return;
    entries.delete(key);
    lifted.delete(key);
    lifted.set(key, { era: eras.current });
    const [oldest] = lifted.keys();
    if (lifted.size > maxLifted && oldest !== undefined) lifted.delete(oldest);
    log.warn({ parts: entry.row.partIds, reason }, 'quarantine of prompt parts was lifted');
    if (isWriter) rowWriter.remove(key);
  };

  /** Finds the matching entry whose next trial is the latest, so that a trial is due for all. */
  const findEntry = (matches: (row: QuarantineRow) => boolean): Entry | undefined => {
    let latest: Entry | undefined;
    let latestMs = -Infinity;
    for (const [key, entry] of entries) {
      if (!matches(entry.row)) continue;
      if (clock.now() - entry.changedAt >= options.holdMs) {
        evidence.forget(entry.row.partIds);
        lift(key, 'its hold time is over', true);
        continue;
      }
      const trialMs = trialInMs(entry) ?? Infinity;
      if (trialMs <= latestMs) continue;
      latest = entry;
      latestMs = trialMs;
    }
    return latest;
  };

  const isCovered = (partIds: readonly string[], except?: ReadonlySet<QuarantineRow>): boolean =>
    findEntry((row) => includesAll(partIds, row.partIds) && !except?.has(row)) !== undefined;

  const put = (key: string, row: QuarantineRow, version: number | undefined): void => {
    entries.set(key, { row, version, changedAt: clock.now() });
    waiting.recall(row);
    const [oldest] = entries.keys();
    if (entries.size > maxEntries && oldest !== undefined) lift(oldest, 'there are too many', true);
  };

  /**
   * Quarantines an accused part; combinations that contain the new one, or that later evidence shows to
   * be too broad, are no longer needed.
   */
  const accuse = (partId: string, trials = 0): void => {
    const accusation = evidence.accusationOf(partId);
    if (!accusation) return;
    const { partIds, crashes } = accusation;
    const key = quarantineKey(partIds);
    const broad = [...entries].filter(([, { row }]) => isTooBroad(row, partId, accusation));
    const isHeld = isCovered(partIds, new Set(broad.map(([, { row }]) => row)));
    for (const [otherKey] of broad)
      if (isHeld || otherKey !== key) lift(otherKey, 'more parts explain the crashes', true);
    if (isHeld) return;
    for (const [otherKey, { row }] of [...entries])
      if (otherKey !== key && includesAll(row.partIds, partIds))
        lift(otherKey, 'fewer parts explain the crashes', true);
    log.warn({ parts: partIds, crashes }, 'prompt parts were quarantined because engines crashed');
    const known = entries.get(key);
    put(key, { partIds, crashes, trials: known?.row.trials ?? trials }, known?.version);
    const replacedVersion = known?.version;
    rowWriter.write(key, replacedVersion, () => {
      const entry = entries.get(key);
      return entry?.version === replacedVersion ? entry?.row : undefined;
    });
  };

  /** Lifts quarantines with an answered part; the evidence may still accuse their other parts. */
  const release = (partIds: readonly string[], isWriter: boolean): void => {
    for (const [key, { row }] of [...entries]) {
      if (!row.partIds.some((id) => partIds.includes(id))) continue;
      lift(key, 'a prompt with one of the parts was answered', isWriter);
      for (const partId of row.partIds) accuse(partId, row.trials);
    }
  };

  const recheck = (partIds: readonly string[]): void => {
    for (const partId of partIds) accuse(partId);
  };

  const claim = async (key: string, entry: Entry, claimToken: CancellationToken) => {
    const row = { ...entry.row, trials: entry.row.trials + 1 };
    const condition = { version: entry.version as number };
    const value = encodeRow(row);
    const write = { partition: '', sort: key, value, condition };
    if ((await table.transact([write], claimToken)) === 'conflict') return false;
    // No other trial is due before the watch delivers the new version.
    if (entries.has(key)) entries.set(key, { row, version: undefined, changedAt: clock.now() });
    log.warn({ parts: row.partIds, trial: row.trials }, 'trial of quarantined prompt parts');
    return true;
  };

  /** Applies the removal of a row by another gateway or an operator. */
  const observeRemoval = (key: string): void => {
    const entry = entries.get(key);
    if (entry?.version === undefined) return;
    lift(key, 'it was removed from the store', false);
    // A gateway that found a smaller combination removed the larger one; the evidence stays.
    const { partIds } = entry.row;
    if (!isCovered(partIds)) evidence.forget(partIds);
  };

  /** Writes an entry again that the store has lost. */
  const restoreRow = (key: string, entry: Entry): void => {
    entries.set(key, { ...entry, version: undefined });
    rowWriter.write(key, undefined, () => {
      const current = entries.get(key);
      return current?.version === undefined ? current?.row : undefined;
    });
  };

  const observeRow = ({ key, value, version }: Row): void => {
    const known = entries.get(key);
    if (known?.version !== undefined && version <= known.version) return;
    if (value === undefined) {
      observeRemoval(key);
      return;
    }
    const row = decodeRow(value);
    if (!row || quarantineKey(row.partIds) !== key) {
      log.warn({ key }, 'ignoring a quarantine that could not be decoded');
      return;
    }
    if (!known) log.warn({ ...row }, 'prompt parts were quarantined by another gateway');
    // The row of a copy may lack trials that were made.
    put(key, { ...row, trials: Math.max(row.trials, known?.row.trials ?? 0) }, version);
  };

  /**
   * True for a row of a snapshot that a copy of the store still has although the quarantine was lifted.
   * Only the first snapshot of an era shows the copy.
   */
  const isLiftedBefore = ({ key, version }: Row): boolean => {
    const end = lifted.get(key);
    if (!end || entries.has(key)) return false;
    if (end.era < eras.current && snapshotEra < eras.current)
      lifted.set(key, { ...end, copyVersion: version });
    return lifted.get(key)?.copyVersion === version;
  };

  return {
    get size() {
      return entries.size;
    },
    find(content) {
      if (entries.size === 0) return undefined;
      const entry = findEntry((row) => holds(row, content));
      return entry && { ...entry.row, retryAfterMs: trialInMs(entry) };
    },
    async claimTrial({ partIds }, claimToken) {
      const key = quarantineKey(partIds);
      const entry = entries.get(key);
      if (!entry || claiming.has(key) || trialInMs(entry) !== 0) return false;
      claiming.add(key);
      try {
        return await claim(key, entry, claimToken);
      } catch (err) {
        log.warn(
          { key, err: errMessage(err) },
          'trial was not claimed because a store call failed',
        );
        return false;
      } finally {
        claiming.delete(key);
      }
    },
    trackWaiting: (content, recall) => waiting.track(content, recall),
    observeAnswer(content) {
      const isSuspecting = entries.size > 0 || evidence.size > 0;
      const ids = isSuspecting ? idsOf(content) : content.partIds;
      share.publishAnswers(evidence.observeAnswer(ids));
      if (entries.size > 0) release(ids, true);
    },
    observeCrash(targetId, contents, lostAgain) {
      const lost = contents.map(idsOf);
      share.publishSightings(evidence.observeCrash(targetId, lost, lostAgain));
      recheck(lost.flat());
    },
    recheck,
    release: (partIds) => release(partIds, false),
    observeRows({ rows, isSnapshot }) {
      const own = rows.filter(({ key }) => isQuarantineKey(key));
      for (const row of own) if (!isSnapshot || !isLiftedBefore(row)) observeRow(row);
      if (!isSnapshot) return;
      snapshotEra = eras.current;
      const present = new Set(own.map(({ key }) => key));
      for (const [key, entry] of [...entries]) {
        if (present.has(key)) continue;
        const { version } = entry;
        if (version !== undefined && eraOf(version) < eras.current) restoreRow(key, entry);
        else observeRemoval(key);
      }
    },
  };
}
